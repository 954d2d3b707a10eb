-- Guards against checks that cannot fail: each rule of the decision code that is switched off must break the
-- invariant that it guards.
dofile("test/scenario/common.lua")
local function breaks(without, invariant, run)
    local r = deployment { seed = "9", demand = "0.8", without = without }
    run(r)
    if not r:violations()[invariant] then error(without .. " is off and " .. invariant .. " holds", 0) end
    print(without, invariant, r:violations()[invariant])
end
local function kills(r)
    for _, w in ipairs(r:names("workspaces")) do r:demand(w, 150) end
    for _, i in ipairs { 1, 2, 3, 4 } do
        r:fault("kill", r:names("hosts")[i], 2)
        r:run(8)
    end
end
breaks("grants", "I4", kills)
breaks("slots", "I2", function(r)
    for _, u in ipairs(r:names("upstreams")) do
        if u:match("^media") then r:fault("silent", u) end
    end
    kills(r)
end)
breaks("lease", "I3", function(r)
    for _, h in ipairs(r:names("hosts")) do
        if h:match("[258]$") then r:fault("cut-host", h, 20) end
    end
    r:run(0.1)
    for _, k in ipairs(r:names("keys")) do r:fault("revoke", k) end
    r:run(15)
end)
breaks("moves", "I1", function(r)
    r:fault("good", "")
    r:run(60)
end)
