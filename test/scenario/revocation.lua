-- Guards against a revoked key that works for more than 3 s on a host that the store cannot reach.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local r = deployment { deployment = name, seed = "7" }
    for i, h in ipairs(r:names("hosts")) do
        if i % 3 == 0 then r:fault("cut-host", h, 10) end
    end
    r:run(0.1)
    for i, k in ipairs(r:names("keys")) do
        if i % 2 == 1 then r:fault("revoke", k) end
    end
    r:run(30)
    hold(r, name)
    atLeast(r, "revoked", 1, name)
    atMost(r, "revocation-time", 3, name)
end
