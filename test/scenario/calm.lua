-- Guards against refusals within the rate while nothing fails, and against a rig that breaks no invariant
-- because it serves nothing.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "1" }
    r:run(60)
    settle(r)
    hold(r, name)
    atLeast(r, "served", 10000, name)
    atMost(r, "refused-within", 0.001, name)
    atLeast(r, "worst-served", 0.99, name)
end
