-- Guards against rates that are exceeded when shares and grants change hands: store outage, pause, cut of a
-- region, and a host that is replaced, each with workspaces far above their rates.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    for _, kind in ipairs { "outage", "pause", "cut", "kill" } do
        local r = deployment { deployment = name, seed = "2", demand = "0.3" }
        for i, w in ipairs(r:names("workspaces")) do
            if i % 2 == 0 then r:demand(w, 60) end
        end
        for _, h in ipairs(r:names("hosts")) do
            local target = kind == "cut" and r:names("regions")[#h % 3 + 1] or h
            if h:match("[147]$") then
                r:fault(kind, target, 4)
                r:run(9)
            end
        end
        r:run(10)
        hold(r, name .. " " .. kind)
        atLeast(r, "served", 1000, name .. " " .. kind)
    end
end
