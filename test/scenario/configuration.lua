-- Guards against accepted configurations that a host reverts or does not apply within 6 s although it serves,
-- while regions are cut off, hosts restart and responses of the store are lost.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "6", demand = "0.1" }
    for i, region in ipairs(r:names("regions")) do
        r:fault("lost", "", 8)
        r:fault("cut", region, 6)
        r:run(1)
        r:fault("publish", "")
        r:fault("kill", r:names("hosts")[i * 2], 4)
        r:run(14)
    end
    r:run(20)
    hold(r, name)
    atLeast(r, "revision", 4, name)
end
