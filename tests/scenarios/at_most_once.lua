-- Unrepeatable requests under faults of the store, pauses and resends through other nodes.

scenario("a resend through another node while the first try runs is refused", function()
  fleet{nodes = 2, upstreams = 2, service_ms = 100}
  local first = call{node = 0, repeatable = false, key = "renew"}
  run(30)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(first).verdict == "ran", "the first try is answered")
  expect(outcome(resend).problem == "duplicate_request", "the resend is a duplicate: " .. outcome(resend).problem)
  expect(executions("renew") == 1, "runs: " .. executions("renew"))
end)

scenario("with the store down nothing runs, and the resend runs when it is back", function()
  fleet{nodes = 2, upstreams = 2}
  store("down")
  local refused = call{node = 0, repeatable = false, key = "renew"}
  run(200)
  expect(outcome(refused).verdict == "not_run", "verdict: " .. outcome(refused).verdict)
  expect(executions("renew") == 0, "nothing ran")
  store("up")
  run(1000)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(resend).verdict == "ran", "the resend is answered: " .. outcome(resend).problem)
  expect(executions("renew") == 1, "runs: " .. executions("renew"))
end)

scenario("lost answers of the store double nothing and lose nothing", function()
  fleet{nodes = 3, upstreams = 3}
  store("loses_answers")
  local indexes = {}
  for node = 0, 2 do indexes[node] = call{node = node, repeatable = false, key = "renew"} end
  run(800)
  local ran = 0
  for node = 0, 2 do if outcome(indexes[node]).verdict == "ran" then ran = ran + 1 end end
  expect(ran == 1, "answered by running: " .. ran)
  expect(executions("renew") == 1, "runs: " .. executions("renew"))
end)

scenario("a write that takes effect late cannot bring a refused request back to life", function()
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
  expect(executions("renew") <= 1, "runs: " .. executions("renew"))
  expect(outcome(resend).verdict == "ran" or outcome(again).verdict == "ran", "a resend ran")
end)

scenario("a paused claimant whose deadline passed does not forward", function()
  fleet{nodes = 2, upstreams = 2}
  local first = call{node = 0, repeatable = false, key = "renew", timeout_ms = 200}
  run(3) -- The claim's write is on its way; its answer will wait for the node.
  freeze(0)
  run(5000)
  local resend = call{node = 1, repeatable = false, key = "renew"}
  run(200)
  thaw(0)
  run(1000)
  expect(outcome(first).verdict == "not_run", "verdict: " .. outcome(first).verdict)
  expect(executions("renew") == 0, "runs: " .. executions("renew"))
  local last = call{node = 1, repeatable = false, key = "renew"}
  run(500)
  expect(outcome(last).verdict == "ran", "the released claim lets the next resend run: " .. outcome(last).problem)
  expect(outcome(first).over and outcome(resend).over, "both callers have their answers")
end)
