-- Guards against hosts that stop serving, or serve wrongly, when the store is down for all of them.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "8", demand = "0.3" }
    r:fault("outage", "", 600)
    r:run(120)
    r:fault("pause", r:names("hosts")[3], 3)
    r:run(530)
    settle(r)
    hold(r, name)
    atMost(r, "for-lease", 0, name)
end
