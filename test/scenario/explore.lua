-- Explorer: explore.lua SEED COUNT. Runs COUNT seeded schedules of faults, checks all invariants after each
-- step, and prints the shortest schedule that still breaks one. Started by support/explore.
dofile("test/scenario/common.lua")
io.stdout:setvbuf("line")
local first, count = tonumber(arg[1]), tonumber(arg[2])

--- A generator of its own (xorshift), because math.random differs between releases of Lua.
local function generator(seed)
    local state = (seed * 0x9E3779B97F4A7C15) | 1
    return function(n)
        state = state ~ (state << 13)
        state = state ~ (state >> 7)
        state = state ~ (state << 17)
        return (state >> 11) % n + 1
    end
end

local function open(seed)
    local r = deployment { deployment = seed % 2 == 0 and "sanad" or "darna", seed = tostring(seed), demand = "0.15" }
    -- Small workspaces send several times their rate, so that an excess of rate would show.
    for _, w in ipairs(r:names("workspaces")) do
        if r:stat("within", w) < 40 and r:stat("offered", w) >= 0 then r:demand(w, 40) end
    end
    return r
end

local kinds = { "outage", "lost", "pause", "cut", "cut-host", "kill", "revoke", "publish", "silent", "bad", "good", "crash", "drain", "poison" }
local lists = { pause = "hosts", ["cut-host"] = "hosts", kill = "hosts", cut = "regions", revoke = "keys", silent = "upstreams", crash = "upstreams", drain = "upstreams" }

--- Two to five faults. Two at once, and one twice, come up by themselves and are forced in a third each.
local function schedule(seed, r)
    local pick = generator(seed)
    local faults = {}
    for i = 1, 1 + pick(4) do
        local kind = kinds[pick(#kinds)]
        local names = lists[kind] and r:names(lists[kind])
        faults[i] = { at = pick(120) / 10, kind = kind, target = names and names[pick(#names)] or "", length = pick(80) / 10 }
    end
    local shape = pick(3)
    if shape == 1 then faults[2].at = faults[1].at end
    if shape == 2 then
        local f = faults[1]
        faults[#faults + 1] = { at = f.at + pick(80) / 10, kind = f.kind, target = f.target, length = f.length }
    end
    table.sort(faults, function(a, b) return a.at < b.at end)
    return faults
end

--- Name and text of the first broken invariant, or nothing.
local function violation(seed, faults, r)
    r = r or open(seed)
    local now = 0
    local function step(to)
        r:run(math.max(0, to - now))
        now = math.max(now, to)
        return next(r:violations())
    end
    for _, f in ipairs(faults) do
        local invariant, what = step(f.at)
        if invariant then return invariant, what end
        r:fault(f.kind, f.target, f.length)
    end
    return step(28)
end

local function shrink(seed, faults, invariant)
    local i = 1
    while i <= #faults do
        local fewer = table.move(faults, 1, #faults, 1, {})
        table.remove(fewer, i)
        if violation(seed, fewer) == invariant then faults = fewer else i = i + 1 end
    end
    return faults
end

local failed = 0
for seed = first, first + count - 1 do
    local r = open(seed)
    local faults = schedule(seed, r)
    local invariant, what = violation(seed, faults, r)
    if invariant then
        failed = failed + 1
        print(string.format("seed %d: %s: %s", seed, invariant, what))
        for _, f in ipairs(shrink(seed, faults, invariant)) do
            print(string.format("    %4.1f s: %s %s for %.1f s", f.at, f.kind, f.target, f.length))
        end
    end
    r = nil
    collectgarbage()
end
print(string.format("%d schedules from seed %d, %d break an invariant", count, first, failed))
if failed > 0 then error("invariants broken", 0) end
