-- Guards against upstreams above their slots while hosts borrow slots and die with slots in use.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "4", demand = "0.8" }
    local hosts = r:names("hosts")
    for _, i in ipairs { 1, 5, 2, 8 } do
        r:fault("kill", hosts[i], 3)
        r:fault("pause", hosts[i % #hosts + 1], 2.5)
        r:run(12)
    end
    for _, u in ipairs(r:names("upstreams")) do
        if u:match("-1$") then r:fault("silent", u) end
    end
    r:run(10)
    hold(r, name)
    atMost(r, "slot-excess", 0, name)
    atMost(r, "duplicates", 0, name)
    atLeast(r, "members", #hosts, name)
end
