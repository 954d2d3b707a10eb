-- Guards against a good version that is not rolled out by its deadline, and a bad one that gets more than 1% of
-- the requests before its detection, any 2 s after it, or a share again.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local good = deployment { deployment = name, seed = "5" }
    good:fault("good", "")
    good:run(185)
    hold(good, name .. " good")
    atLeast(good, "move-done", 1, name .. " good")
    for _, kind in ipairs { "bad", "slow" } do
        local bad = deployment { deployment = name, seed = "5" }
        bad:fault(kind, "")
        bad:run(185)
        hold(bad, name .. " " .. kind)
        atLeast(bad, "move-new", 1, name .. " " .. kind)
        atLeast(bad, "move-rolled-back", 1, name .. " " .. kind)
        atMost(bad, "move-new-share", 0.01, name .. " " .. kind)
        atMost(bad, "move-late", 0, name .. " " .. kind)
    end
end
