-- Injects every fault that users listed, alone and in pairs, under mixed calls and resends.
-- In every case a call that was answered "not run" did not run, an unrepeatable request runs at most once, every
-- caller gets a response, and a leaving upstream gets no new requests.

local faults = {
  straggler       = {start = function() fault("u1", {slow = 10}) end,       stop = function() fault("u1", {}) end},
  fast_errors     = {start = function() fault("u2", {fails = true}) end,    stop = function() fault("u2", {}) end},
  silent          = {start = function() fault("u3", {silent = true}) end,   stop = function() end},
  departure       = {start = function() leave("u4") end,                    stop = function() end, leaves = "u4"},
  own_signal      = {start = function() fault("u4", {draining = true}) end, stop = function() end},
  refuses         = {start = function() fault("u1", {down = true}) end,     stop = function() fault("u1", {}) end},
  store_down      = {start = function() store("down") end,                  stop = function() store("up") end},
  lost_answers    = {start = function() store("loses_answers") end,         stop = function() store("up") end},
  late_writes     = {start = function() store("late_writes") end,           stop = function() store("up") end},
  paused_node     = {start = function() freeze(1) end,                      stop = function() thaw(1) end},
  crashing_call   = {start = function()
                       for node = 0, 2 do
                         call{node = node, repeatable = false, crashes = true, fingerprint = 99, key = "poison"}
                       end
                     end, stop = function() end},
}

local names = {}
for name in pairs(faults) do names[#names + 1] = name end
table.sort(names)

-- Checks the guarantees above on all calls of the scenario.
local function check(label, leaving)
  local runs_of_key = {}
  local unrepeatable = {}
  for index, result in ipairs(outcomes()) do
    local prefix = label .. ": call " .. index .. " (" .. result.key .. ", " .. result.problem .. ") "
    expect(result.over, prefix .. "got no response")
    if result.verdict == "not_run" then
      expect(result.executions == 0, prefix .. "was answered as not run but ran " .. result.executions .. " times")
    end
    if result.verdict == "ran" then
      expect(result.executions >= 1 or result.problem ~= "" or result.upstream ~= "", prefix .. "is marked as run but no upstream executed it")
    end
    if result.key:sub(1, 5) == "renew" then unrepeatable[result.key] = true end
  end
  for key in pairs(unrepeatable) do
    expect(executions(key) <= 1, label .. ": " .. key .. " ran " .. executions(key) .. " times")
  end
  if leaving then
    expect(started_at(leaving.upstream, leaving.from_ms, 60000) == 0, label .. ": a leaving upstream got new requests")
  end
  expect(upstreams_down() <= 3, label .. ": upstreams down: " .. upstreams_down())
end

-- Runs mixed load while both faults start and stop, so that they overlap. Returns the leaving upstream, if any, and
-- the time in milliseconds from which it must get no new requests.
local function run_with(first, second)
  fleet{nodes = 3, upstreams = 6, slots = 3, service_ms = 10}
  calls{every_ms = 7, to_ms = 3000, nodes = 3, key_prefix = "page", timeout_ms = 800}
  calls{every_ms = 50, to_ms = 3000, nodes = 3, repeatable = false, key_prefix = "renew", timeout_ms = 800}
  -- Every unrepeatable request is sent again twice: after 20 ms, in most cases through another node, and after 3.5 s
  -- through the same node.
  calls{every_ms = 50, from_ms = 20, to_ms = 3000, nodes = 2, repeatable = false, key_prefix = "renew", timeout_ms = 800}
  calls{every_ms = 50, from_ms = 3500, to_ms = 6500, nodes = 3, repeatable = false, key_prefix = "renew", timeout_ms = 800}
  run(700)
  first.start()
  run(400)
  second.start()
  run(1200)
  first.stop()
  run(500)
  second.stop()
  run(8000)
  local leaving
  if first.leaves then leaving = {upstream = first.leaves, from_ms = 702} end
  if second.leaves then leaving = {upstream = second.leaves, from_ms = 1102} end
  return leaving
end

for i, first in ipairs(names) do
  for j = i, #names do
    local label = first .. " with " .. names[j]
    scenario(label, function() check(label, run_with(faults[first], faults[names[j]])) end)
  end
end
