-- Functions that scenarios, the explorer and the measurements share.
function deployment(options)
    local r = rig(options)
    r:run(15) -- Slots wait for the longest timeout (5 s here) after a start.
    r:reset()
    return r
end

--- Lets requests in flight end, so that counts are complete.
function settle(r)
    for _, w in ipairs(r:names("workspaces")) do r:demand(w, 0) end
    r:run(6)
end

--- Raises an error if an invariant is broken.
function hold(r, name)
    for invariant, what in pairs(r:violations()) do error(name .. ": " .. invariant .. ": " .. what, 0) end
end

function atMost(r, stat, bound, name, of)
    local value = r:stat(stat, of)
    print(string.format("%s: %s %s = %.4f (at most %g)", name, stat, of or "", value, bound))
    if not (value <= bound) then error(string.format("%s: %s is %g, bound %g", name, stat, value, bound), 0) end
end

function atLeast(r, stat, bound, name, of)
    local value = r:stat(stat, of)
    print(string.format("%s: %s %s = %.4f (at least %g)", name, stat, of or "", value, bound))
    if not (value >= bound) then error(string.format("%s: %s is %g, bound %g", name, stat, value, bound), 0) end
end
