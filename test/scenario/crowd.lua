-- Guards against one workspace that sends ten times its rate and takes the service of the others.
dofile("test/scenario/common.lua")
for _, name in ipairs { "sanad", "darna" } do
    local loud = name == "sanad" and "jerash-power" or "sahel-projects"
    local r = deployment { deployment = name, seed = "3" }
    r:demand(loud, 1000)
    r:run(40)
    settle(r)
    hold(r, name)
    for _, w in ipairs(r:names("workspaces")) do
        if w ~= loud then atLeast(r, "worst-served", 0.99, name, w) end
    end
end
