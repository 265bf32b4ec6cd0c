-- At-most-once execution: unrepeatable requests with an idempotency key are sent again through other nodes while
-- the store fails or nodes are paused.

scenario("a resend through another node is refused as a duplicate while the first request runs", function()
  fleet{nodes = 2, upstreams = 2, service_ms = 100}
  local first = call{node = 0, repeatable = false, key = "renew"}
  run(30)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(first).verdict == "ran", "the first request is answered")
  expect(outcome(resend).problem == "duplicate_request", "the resend is refused as a duplicate: " .. outcome(resend).problem)
  expect(executions("renew") == 1, "executions: " .. executions("renew"))
end)

scenario("no unrepeatable request runs while the store is down, and a resend runs once it is up", function()
  fleet{nodes = 2, upstreams = 2}
  store("down")
  local refused = call{node = 0, repeatable = false, key = "renew"}
  run(200)
  expect(outcome(refused).verdict == "not_run", "verdict: " .. outcome(refused).verdict)
  expect(executions("renew") == 0, "executions while the store is down")
  store("up")
  run(1000)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(resend).verdict == "ran", "the resend is answered: " .. outcome(resend).problem)
  expect(executions("renew") == 1, "executions: " .. executions("renew"))
end)

scenario("a request runs exactly once when the store loses its responses", function()
  fleet{nodes = 3, upstreams = 3}
  store("loses_answers")
  local indexes = {}
  for node = 0, 2 do indexes[node] = call{node = node, repeatable = false, key = "renew"} end
  run(800)
  local ran = 0
  for node = 0, 2 do if outcome(indexes[node]).verdict == "ran" then ran = ran + 1 end end
  expect(ran == 1, "calls answered by an execution: " .. ran)
  expect(executions("renew") == 1, "executions: " .. executions("renew"))
end)

scenario("a claim write that takes effect late does not make a refused request run", function()
  fleet{nodes = 2, upstreams = 2}
  store("late_writes")
  local refused = call{node = 0, repeatable = false, key = "renew", timeout_ms = 100}
  run(150)
  expect(outcome(refused).verdict == "not_run", "verdict: " .. outcome(refused).verdict)
  store("up")
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(3000)
  local again = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(executions("renew") <= 1, "executions: " .. executions("renew"))
  expect(outcome(resend).verdict == "ran" or outcome(again).verdict == "ran", "one of the resends runs")
end)

scenario("a node that is paused past the deadline of a claimed request does not forward it", function()
  fleet{nodes = 2, upstreams = 2}
  local first = call{node = 0, repeatable = false, key = "renew", timeout_ms = 200}
  run(3) -- The claim's write is on its way to the store; its result is delivered once the node is thawed.
  freeze(0)
  run(5000)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(200)
  thaw(0)
  run(1000)
  expect(outcome(first).verdict == "not_run", "verdict: " .. outcome(first).verdict)
  expect(executions("renew") == 0, "executions: " .. executions("renew"))
  local last = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(last).verdict == "ran", "the next resend runs after the claim was released: " .. outcome(last).problem)
  expect(outcome(first).over and outcome(resend).over, "both callers got a response")
end)
