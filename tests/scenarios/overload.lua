-- Overload: goodput and refusals above capacity, the retry budget, and how fast calls are refused.

-- Number of calls that were served, refused as "not run", and ended otherwise.
local function count_results()
  local served, refused_not_run, other = 0, 0, 0
  for _, result in ipairs(outcomes()) do
    if result.problem == "" and result.over then served = served + 1
    elseif result.verdict == "not_run" then refused_not_run = refused_not_run + 1
    else other = other + 1 end
  end
  return served, refused_not_run, other
end

scenario("at 1.5 times capacity goodput stays within 10% of capacity and every refused call is reported as not run", function()
  -- 4 upstreams of 2 slots and 10 ms: 800 calls/s. Load: 1200 calls/s for 4 s.
  fleet{upstreams = 4, slots = 2, service_ms = 10, queue_wait_ms = 100}
  calls{every_ms = 1000 / 1200, to_ms = 4000, timeout_ms = 1000}
  run(6000)
  local served, refused, other = count_results()
  expect(served >= 0.9 * 800 * 4, "served: " .. served)
  expect(other == 0, "neither served nor refused as not run: " .. other)
end)

scenario("when every upstream fails, retries stay within their budget", function()
  fleet{upstreams = 4, slots = 4, retry_share = 0.1, hedge_share = 0}
  for i = 1, 4 do fault("u" .. i, {fails = true}) end
  calls{every_ms = 2, to_ms = 2000}
  run(4000)
  local attempts = 0
  for i = 1, 4 do attempts = attempts + started_at("u" .. i, 0, 4000) end
  expect(attempts <= 1000 * 1.1 + 10, "attempts for 1000 calls: " .. attempts)
end)

scenario("a call is refused within the queue wait, not at its deadline", function()
  fleet{upstreams = 1, slots = 1, service_ms = 200, queue_wait_ms = 100}
  for i = 1, 40 do call{timeout_ms = 5000} end
  run(10000)
  for index = 2, 39 do
    local result = outcome(index)
    expect(result.latency_ms <= 101 or result.verdict == "ran", "refused after " .. result.latency_ms .. " ms")
  end
end)
