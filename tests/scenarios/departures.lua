-- Upstreams that leave, become slow, fail, crash or stop responding, alone and in combination.

-- Number of calls that ended with the given problem.
local function count(problem)
  local found = 0
  for _, result in ipairs(outcomes()) do if result.problem == problem then found = found + 1 end end
  return found
end

local function all_answered()
  for _, result in ipairs(outcomes()) do if not result.over or result.problem ~= "" then return false end end
  return true
end

local function share_slower_than(limit_ms)
  local slow, all = 0, 0
  for _, result in ipairs(outcomes()) do
    all = all + 1
    if result.latency_ms > limit_ms then slow = slow + 1 end
  end
  return slow / all
end

scenario("a leaving upstream gets no new requests and no call is lost", function()
  fleet{nodes = 3, upstreams = 3, slots = 4}
  calls{every_ms = 2, to_ms = 2000, nodes = 3}
  run(1000)
  leave("u2")
  run(2000)
  expect(started_at("u2", 1001, 3000) == 0, "requests after it left: " .. started_at("u2", 1001, 3000))
  expect(all_answered(), "every call is answered")
end)

scenario("an upstream that fails fast gets less than 10% of the calls", function()
  fleet{upstreams = 4, slots = 4}
  fault("u1", {fails = true})
  calls{every_ms = 2, to_ms = 4000}
  run(6000)
  local share = started_at("u1", 1000, 4000) / 1500
  expect(share < 0.10, "share of calls sent to the failing upstream: " .. share)
end)

scenario("a slow upstream without load reports is detected by its latencies", function()
  fleet{upstreams = 4, slots = 4}
  calls{every_ms = 4, to_ms = 6000}
  run(2000)
  fault("u3", {slow = 10})
  run(6000)
  expect(all_answered(), "every call is answered")
  expect(share_slower_than(50) < 0.05, "share of slow calls: " .. share_slower_than(50))
end)

scenario("every call is answered when one upstream is slow and another leaves", function()
  fleet{nodes = 2, upstreams = 5, slots = 4}
  calls{every_ms = 3, to_ms = 4000, nodes = 2}
  run(1000)
  fault("u1", {slow = 10})
  run(500)
  leave("u2")
  run(5000)
  expect(started_at("u2", 1501, 6000) == 0, "the leaving upstream gets no new requests")
  expect(all_answered(), "every call is answered")
end)

scenario("a request that crashes upstreams is quarantined fleet-wide after two crashes", function()
  fleet{nodes = 3, upstreams = 6, slots = 4}
  for i = 0, 11 do
    call{node = i % 3, repeatable = false, crashes = true, fingerprint = 7}
    run(100)
  end
  expect(upstreams_down() == 2, "upstreams down: " .. upstreams_down())
  expect(count("quarantined") == 10, "refused as quarantined: " .. count("quarantined"))
  local other = call{node = 1}
  run(200)
  expect(outcome(other).verdict == "ran", "other requests are still answered")
end)

scenario("an upstream that stops responding is avoided after at most 12 missed deadlines", function()
  fleet{upstreams = 3, slots = 4, hedge_share = 0.2}
  calls{every_ms = 5, to_ms = 5000, timeout_ms = 500}
  run(1000)
  fault("u1", {silent = true})
  run(6000)
  expect(count("deadline_exceeded") <= 12, "deadlines missed: " .. count("deadline_exceeded"))
end)
