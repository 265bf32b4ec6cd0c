// Runs scenarios written in Lua against a simulated fleet. usage: scenario FILE.lua
// A file may contain several scenarios; each runs in a simulation of its own. docs/scenarios.md describes the
// language. Exit codes: 0 all expectations were met, 1 at least one was not, 2 the file failed to run or has
// no expectation.
#include "scenario/simulation.h"

#include <iostream>
#include <lua.hpp>
#include <memory>
#include <stdexcept>

namespace anvilpost::testing {
namespace {

/// State shared by the functions that one Lua state can call.
struct runner_state {
    std::unique_ptr<simulation> simulation_;
    std::string scenario_;
    int expectations_ = 0;
    int failures_ = 0;
};

runner_state& state_of(lua_State* lua)
{
    return *static_cast<runner_state*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

simulation& simulation_of(lua_State* lua)
{
    auto& state = state_of(lua);
    if (!state.simulation_) {
        luaL_error(lua, "call fleet{} before using the fleet");
    }
    return *state.simulation_;
}

duration milliseconds(double count)
{
    return duration(static_cast<duration::rep>(count * 1000));
}

double number_field(lua_State* lua, int table, const char* name, double default_value)
{
    lua_getfield(lua, table, name);
    const double value = luaL_optnumber(lua, -1, default_value);
    lua_pop(lua, 1);
    return value;
}

bool flag_field(lua_State* lua, int table, const char* name, bool default_value)
{
    lua_getfield(lua, table, name);
    const bool value = lua_isnil(lua, -1) ? default_value : lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    return value;
}

std::string text_field(lua_State* lua, int table, const char* name)
{
    lua_getfield(lua, table, name);
    std::string value = luaL_optstring(lua, -1, "");
    lua_pop(lua, 1);
    return value;
}

/// fleet{nodes=, upstreams=, slots=, service_ms=, retry_share=, hedge_share=, queue_wait_ms=}
int script_fleet(lua_State* lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    simulation_settings settings;
    settings.nodes_ = static_cast<int>(number_field(lua, 1, "nodes", 1));
    settings.upstreams_ = static_cast<int>(number_field(lua, 1, "upstreams", 3));
    settings.slots_ = static_cast<int>(number_field(lua, 1, "slots", 2));
    settings.service_time_ = milliseconds(number_field(lua, 1, "service_ms", 10));
    settings.policy_.retry_share_ = number_field(lua, 1, "retry_share", settings.policy_.retry_share_);
    settings.policy_.hedge_share_ = number_field(lua, 1, "hedge_share", settings.policy_.hedge_share_);
    settings.policy_.queue_wait_ = std::chrono::milliseconds(static_cast<int>(
        number_field(lua, 1, "queue_wait_ms", static_cast<double>(settings.policy_.queue_wait_.count()))));
    state_of(lua).simulation_ = std::make_unique<simulation>(settings);
    return 0;
}

simulated_call read_call(lua_State* lua, int table)
{
    simulated_call call_spec;
    call_spec.node_ = static_cast<int>(number_field(lua, table, "node", 0));
    call_spec.repeatable_ = flag_field(lua, table, "repeatable", true);
    call_spec.key_ = text_field(lua, table, "key");
    call_spec.crashes_upstreams_ = flag_field(lua, table, "crashes", false);
    call_spec.timeout_ = milliseconds(number_field(lua, table, "timeout_ms", 1000));
    call_spec.fingerprint_ = static_cast<std::uint64_t>(number_field(lua, table, "fingerprint", 0));
    return call_spec;
}

/// call{node=, repeatable=, key=, crashes=, timeout_ms=, fingerprint=} -> index
int script_call(lua_State* lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    lua_pushinteger(lua, static_cast<lua_Integer>(simulation_of(lua).send(read_call(lua, 1))));
    return 1;
}

/// calls{every_ms=, from_ms=, to_ms=, nodes=, key_prefix=, ...}: sends calls at a fixed interval, round-robin
/// over the nodes.
int script_calls(lua_State* lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    simulation& simulated = simulation_of(lua);
    const double interval_ms = number_field(lua, 1, "every_ms", 10);
    const double from_ms = number_field(lua, 1, "from_ms", 0);
    const double to_ms = number_field(lua, 1, "to_ms", 1000);
    const int nodes = static_cast<int>(number_field(lua, 1, "nodes", 1));
    const std::string prefix = text_field(lua, 1, "key_prefix");
    const simulated_call call_spec = read_call(lua, 1);
    int count = 0;
    for (double when_ms = from_ms; when_ms < to_ms; when_ms += interval_ms) {
        simulated_call next = call_spec;
        next.node_ = count % nodes;
        if (!prefix.empty()) {
            next.key_ = prefix + std::to_string(count);
        }
        ++count;
        simulated.schedule_at(milliseconds(when_ms), [&simulated, next] { simulated.send(next); });
    }
    return 0;
}

/// fault("u1", {slow=, fails=, silent=, down=, draining=}); an empty table clears the faults.
int script_fault(lua_State* lua)
{
    const std::string upstream = luaL_checkstring(lua, 1);
    luaL_checktype(lua, 2, LUA_TTABLE);
    upstream_condition condition;
    condition.slow_factor_ = number_field(lua, 2, "slow", 1);
    condition.fails_ = flag_field(lua, 2, "fails", false);
    condition.silent_ = flag_field(lua, 2, "silent", false);
    condition.down_ = flag_field(lua, 2, "down", false);
    condition.draining_ = flag_field(lua, 2, "draining", false);
    simulation_of(lua).set_condition(upstream, condition);
    return 0;
}

/// store("up" | "down" | "loses_answers" | "late_writes")
int script_store(lua_State* lua)
{
    const auto condition = enum_from_name<store_condition>(luaL_checkstring(lua, 1));
    if (!condition) {
        return luaL_error(lua, "unknown store condition");
    }
    simulation_of(lua).set_store_condition(*condition);
    return 0;
}

/// leave("u1"): tells every node that the upstream is leaving.
int script_leave(lua_State* lua)
{
    simulation_of(lua).announce_leaving(luaL_checkstring(lua, 1));
    return 0;
}

/// freeze(node): pauses a node.
int script_freeze(lua_State* lua)
{
    simulation_of(lua).freeze(static_cast<int>(luaL_checkinteger(lua, 1)), true);
    return 0;
}

/// thaw(node): lets a paused node continue.
int script_thaw(lua_State* lua)
{
    simulation_of(lua).freeze(static_cast<int>(luaL_checkinteger(lua, 1)), false);
    return 0;
}

/// run(milliseconds): advances virtual time.
int script_run(lua_State* lua)
{
    simulation_of(lua).run(milliseconds(luaL_checknumber(lua, 1)));
    return 0;
}

void push_outcome(lua_State* lua, const call_outcome& outcome)
{
    lua_createtable(lua, 0, 7);
    const auto set_text = [&](const char* name, const std::string& value) {
        lua_pushlstring(lua, value.data(), value.size());
        lua_setfield(lua, -2, name);
    };
    set_text("key", outcome.key_);
    set_text("upstream", outcome.upstream_);
    set_text("problem", outcome.problem_);
    set_text("verdict", outcome.verdict_);
    lua_pushboolean(lua, outcome.finished_ ? 1 : 0);
    lua_setfield(lua, -2, "over");
    lua_pushnumber(lua, static_cast<double>((outcome.answered_at_ - outcome.sent_at_).count()) / 1000);
    lua_setfield(lua, -2, "latency_ms");
    lua_pushinteger(lua, outcome.executions_);
    lua_setfield(lua, -2, "executions");
}

/// outcome(index) -> {key, upstream, problem, verdict, over, latency_ms, executions}
int script_outcome(lua_State* lua)
{
    const auto index = static_cast<std::size_t>(luaL_checkinteger(lua, 1));
    const auto& outcomes = simulation_of(lua).outcomes();
    if (index >= outcomes.size()) {
        return luaL_error(lua, "no call has this index");
    }
    push_outcome(lua, outcomes[index]);
    return 1;
}

/// outcomes() -> list of all outcomes, in the order in which calls were sent
int script_outcomes(lua_State* lua)
{
    const auto& outcomes = simulation_of(lua).outcomes();
    lua_createtable(lua, static_cast<int>(outcomes.size()), 0);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        push_outcome(lua, outcomes[i]);
        lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
    }
    return 1;
}

/// executions(key) -> number of executions of the key, over all upstreams
int script_executions(lua_State* lua)
{
    lua_pushinteger(lua, simulation_of(lua).executions(luaL_checkstring(lua, 1)));
    return 1;
}

/// started_at("u1", from_ms, to_ms) -> number of requests that reached the upstream
int script_started_at(lua_State* lua)
{
    const std::string upstream = luaL_checkstring(lua, 1);
    lua_pushinteger(lua, simulation_of(lua).started_at(upstream, milliseconds(luaL_checknumber(lua, 2)),
                                                       milliseconds(luaL_checknumber(lua, 3))));
    return 1;
}

/// upstreams_down() -> number of upstreams that refuse connections
int script_upstreams_down(lua_State* lua)
{
    lua_pushinteger(lua, simulation_of(lua).upstreams_down());
    return 1;
}

/// expect(condition, message)
int script_expect(lua_State* lua)
{
    auto& state = state_of(lua);
    ++state.expectations_;
    if (lua_toboolean(lua, 1) == 0) {
        ++state.failures_;
        std::cout << "FAILED " << state.scenario_ << ": " << luaL_optstring(lua, 2, "(no message)") << "\n";
    }
    return 0;
}

/// scenario(name, function): runs the function as a scenario and prints whether it passed.
int script_scenario(lua_State* lua)
{
    auto& state = state_of(lua);
    state.scenario_ = luaL_checkstring(lua, 1);
    state.simulation_.reset();
    const int before = state.failures_;
    lua_pushvalue(lua, 2);
    lua_call(lua, 0, 0);
    std::cout << (state.failures_ == before ? "passed " : "failed ") << state.scenario_ << "\n";
    return 0;
}

/// Registers the script functions as Lua globals.
void add_functions(lua_State* lua, runner_state& state)
{
    const std::pair<const char*, lua_CFunction> functions[] = {
        {"scenario", script_scenario},
        {"fleet", script_fleet},
        {"call", script_call},
        {"calls", script_calls},
        {"fault", script_fault},
        {"store", script_store},
        {"leave", script_leave},
        {"freeze", script_freeze},
        {"thaw", script_thaw},
        {"run", script_run},
        {"outcome", script_outcome},
        {"outcomes", script_outcomes},
        {"executions", script_executions},
        {"started_at", script_started_at},
        {"upstreams_down", script_upstreams_down},
        {"expect", script_expect},
    };
    for (const auto& [name, function] : functions) {
        lua_pushlightuserdata(lua, &state);
        lua_pushcclosure(lua, function, 1);
        lua_setglobal(lua, name);
    }
}

int run_file(const char* file)
{
    runner_state state;
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    add_functions(lua, state);
    const bool script_failed = luaL_dofile(lua, file) != LUA_OK;
    if (script_failed) {
        std::cout << "error: " << lua_tostring(lua, -1) << "\n";
    }
    lua_close(lua);
    if (script_failed || state.expectations_ == 0) {
        return 2;
    }
    return state.failures_ == 0 ? 0 : 1;
}

} // namespace
} // namespace anvilpost::testing

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: scenario FILE.lua\n";
        return 2;
    }
    return anvilpost::testing::run_file(argv[1]);
}
