-- Measures of section 1.2 of the design page, as Markdown: measures.lua DEPLOYMENT SEED. Started by
-- support/bench --measures.
dofile("test/scenario/common.lua")
local name, seed = arg[1], tonumber(arg[2])
local policies = { "project", "round-robin", "least-in-flight" }

local function open(policy, shift, demand, timeout)
    return rig { deployment = name, seed = tostring(seed + (shift or 0)), policy = policy, demand = demand or "0.6", max_timeout_ms = timeout or "120000" }
end

--- Runs `body` after slots have come into use, and settles.
local function measure(policy, body, demand, shift)
    local r = open(policy, shift, demand)
    r:run(130)
    r:reset()
    body(r)
    settle(r)
    return r
end

local function percent(x) return string.format("%.3f%%", 100 * x) end
local function count(x) return string.format("%d", x) end
local function time(x) return string.format("%.2f s", x) end

local rows = {}
local function row(title, target, cell)
    local line = "| " .. title .. " | " .. target
    for _, policy in ipairs(policies) do line = line .. " | " .. cell(policy) end
    rows[#rows + 1] = line .. " |"
    io.stderr:write(rows[#rows], "\n")
end

local loud = name == "sanad" and "jerash-power" or "sahel-projects"
local hosts = open("project"):names("hosts")

row("requests above rate·t + burst, every workspace sends 90/s (small ones 3 to 9 times their rate), pause and kill, 60 s", "0", function(policy)
    local r = measure(policy, function(r)
        for _, w in ipairs(r:names("workspaces")) do
            if r:stat("offered", w) >= 0 then r:demand(w, 90) end
        end
        r:run(20)
        r:fault("pause", hosts[2], 5)
        r:run(20)
        r:fault("kill", hosts[5], 5)
        r:run(20)
    end)
    return count(r:stat("rate-excess"))
end)
local storage = {}
row("refused within rate, nothing fails, 120 s", "0.1%", function(policy)
    return percent(measure(policy, function(r) r:run(120) end):stat("refused-within"))
end)
row("refused within rate, one host killed, 60 s from the kill, mean of 3 hosts", "1%", function(policy)
    local sum = 0
    for i = 1, 3 do
        local r = measure(policy, function(r)
            r:fault("kill", hosts[4 * i - 3] or hosts[#hosts], 0)
            r:run(60)
        end, nil, i)
        sum = sum + r:stat("refused-within") / 3
        storage[policy] = (storage[policy] or 0) + r:stat("unknown")
    end
    return percent(sum)
end)
row("the same runs: requests whose outcome the caller does not learn", "", function(policy) return count(storage[policy]) end)
local outages = {}
row("refused within rate, store down for 10 min", "2%", function(policy)
    local r = measure(policy, function(r)
        r:fault("outage", "", 600)
        r:run(600)
    end)
    outages[policy] = r
    return percent(r:stat("refused-within"))
end)
row("of these: non-idempotent, refused without contact to the store", "", function(policy)
    return percent(outages[policy]:stat("for-store") / outages[policy]:stat("within"))
end)
row("worst-served workspace while " .. loud .. " sends 10 times its rate, 60 s", "99%", function(policy)
    local r = measure(policy, function(r)
        r:demand(loud, 1000)
        r:run(60)
    end)
    local worst = 1
    for _, w in ipairs(r:names("workspaces")) do
        if w ~= loud then worst = math.min(worst, r:stat("worst-served", w)) end
    end
    return percent(worst)
end)
local bad = {}
row("share of requests to a bad version before the trip", "1%", function(policy)
    bad[policy] = measure(policy, function(r)
        r:fault("bad", "")
        r:run(120)
    end)
    return percent(bad[policy]:stat("move-new-share")) .. (bad[policy]:stat("move-tripped") == 1 and "" or " (no trip)")
end)
row("requests to it 2 s after the trip, without a trip all", "0", function(policy) return count(bad[policy]:stat("move-late")) end)
row("good versions rolled out by the deadline of 180 s, of 10", "99%", function(policy)
    local done = 0
    for i = 1, 10 do
        -- The moved service has timeouts of at most 5 s, so shorter ones of other services change nothing.
        local r = open(policy, i, nil, "5000")
        r:run(15)
        r:fault("good", "")
        r:run(181)
        done = done + r:stat("move-done")
    end
    return count(done)
end)
local changes = {}
row("a key revocation holds on every host, one host cut off", "3 s", function(policy)
    local r = measure(policy, function(r)
        r:fault("cut-host", hosts[2], 30)
        r:run(0.2)
        r:fault("revoke", r:names("keys")[1])
        r:run(45)
    end)
    changes[policy] = r
    return time(r:stat("revocation-time"))
end)
row("a configuration is in effect on every host or the host refuses, one host cut off", "6 s", function(policy)
    return time(changes[policy]:stat("configuration-time"))
end)
row("last new work on a drained upstream, one host cut off", "2 s", function(policy)
    local r = measure(policy, function(r)
        r:fault("cut-host", hosts[2], 20)
        r:run(0.2)
        for i, u in ipairs(r:names("upstreams")) do
            if i % 5 == 1 then r:fault("drain", u) end
        end
        r:run(30)
    end)
    return time(r:stat("drain-time"))
end)
local rough = {}
row("duplicate executions of non-idempotent requests, 2 kills, pause and silent connections", "0", function(policy)
    rough[policy] = measure(policy, function(r)
        for i = 1, 2 do
            r:fault("kill", hosts[3 * i], 4)
            r:fault("pause", hosts[3 * i + 1], 3)
            for _, u in ipairs(r:names("upstreams")) do
                if u:match("-" .. i .. "$") then r:fault("silent", u) end
            end
            r:run(20)
        end
    end, "0.9")
    return count(rough[policy]:stat("duplicates"))
end)
row("starts above an upstream's slots in the same runs", "0", function(policy) return count(rough[policy]:stat("slot-excess")) end)

print("## " .. (name == "sanad" and "Sanad" or "Darna"))
print("")
print("| measure | target | project | round robin | least in flight |")
print("|---|---|---|---|---|")
for _, line in ipairs(rows) do print(line) end
