-- Guards against a request that crashes one upstream after another when its caller sends it again.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "10" }
    r:fault("poison", "", 10)
    r:run(20)
    hold(r, name)
    atLeast(r, "crashes", 1, name)
    atMost(r, "crashes", 2, name)
end
