// Tests of parsing intents, deriving plans and the JSON form of the configuration.
#include "core/configuration/configuration_json.h"
#include "core/configuration/intent.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using nlohmann::json;

namespace {

json put_service(const std::string& name, const std::string& host)
{
    return {{"change", "put_service"},
            {"service", name},
            {"value", {{"hosts", {host}}, {"upstreams", {{"u1", {{"ip", "10.0.0.1"}, {"port", 80}}}}}}}};
}

json changes(const std::vector<json>& list)
{
    return {{"changes", list}};
}

std::vector<std::string> fault_paths(const json& document)
{
    try {
        parse_intent(document);
    }
    catch (const invalid_document& invalid) {
        std::vector<std::string> paths;
        for (const auto& fault : invalid.faults()) {
            paths.push_back(fault.path_);
        }
        return paths;
    }
    return {};
}

} // namespace

TEST_CASE("a plan lists each difference and increments the revision by one")
{
    const auto derived = derive_plan(parse_intent(changes({put_service("desk", "desk.example")})), {});
    REQUIRE(derived.base_revision_ == 0);
    REQUIRE(derived.result_.revision_ == 1);
    REQUIRE(derived.differences_ == std::vector<std::string>{"+ service desk for [\"desk.example\"]",
                                                             "+ upstream desk/u1 at 10.0.0.1:80 (active)"});
    REQUIRE(derived.warnings_ ==
            std::vector<std::string>{"leaves service desk with 1 upstreams that receive calls"});
}

// Each node derives a plan on its own, so the id may depend on nothing else.
TEST_CASE("the same intent and base revision give the same plan id, another base revision another id")
{
    const auto document = changes({put_service("desk", "desk.example")});
    REQUIRE(derive_plan(parse_intent(document), {}).id_ == derive_plan(parse_intent(document), {}).id_);
    configuration newer_base;
    newer_base.revision_ = 4;
    REQUIRE(derive_plan(parse_intent(document), {}).id_ !=
            derive_plan(parse_intent(document), newer_base).id_);
}

TEST_CASE("the configuration that a plan results in lists the plan as applied")
{
    const auto derived = derive_plan(parse_intent(changes({put_service("desk", "desk.example")})), {});
    REQUIRE(applied_revision(derived.result_, derived.id_) == 1U);
    REQUIRE_FALSE(applied_revision(derived.result_, "another").has_value());
}

TEST_CASE("every fault in an intent is reported with the path of its field")
{
    const json invalid_intent{{"changes",
                               {{{"change", "put_upstream"},
                                 {"service", "desk"},
                                 {"upstream", "u1"},
                                 {"value", {{"ip", "nowhere"}, {"port", 70000}, {"colour", "red"}}}},
                                {{"change", "explode"}, {"service", 5}}}}};
    REQUIRE(fault_paths(invalid_intent) ==
            std::vector<std::string>{"/changes/0/value/ip", "/changes/0/value/port",
                                     "/changes/0/value/colour", "/changes/1/change", "/changes/1/service",
                                     "/changes/1/value"});
}

TEST_CASE("an intent that names an unknown service and upstream is rejected")
{
    const auto requested = parse_intent(changes(
        {{{"change", "set_upstream_state"}, {"service", "desk"}, {"upstream", "u9"}, {"state", "leaving"}}}));
    REQUIRE_THROWS_AS(derive_plan(requested, {}), invalid_document);
}

TEST_CASE("two services may not claim the same host")
{
    const auto requested =
        parse_intent(changes({put_service("a", "same.example"), put_service("b", "same.example")}));
    REQUIRE_THROWS_AS(derive_plan(requested, {}), invalid_document);
}

TEST_CASE("a configuration is unchanged by a JSON round trip")
{
    const auto derived = derive_plan(parse_intent(changes({put_service("desk", "desk.example")})), {});
    REQUIRE(parse_configuration(to_json(derived.result_)) == derived.result_);
}

TEST_CASE("a configuration without a revision is rejected")
{
    REQUIRE_THROWS_AS(parse_configuration(json{{"services", json::object()}}), invalid_document);
}

TEST_CASE("a put_routes intent replaces the routes, and its plan lists the difference")
{
    configuration base;
    base.revision_ = 3;
    base.services_["log"].hosts_ = {"log.example"};
    const auto requested = parse_intent(nlohmann::json::parse(R"({"changes":[{"change":"put_routes","value":[
        {"name":"lookups","host":"Log.Example","path_prefix":"/pens/","targets":[{"service":"log","weight":3}],
         "repeat":"repeatable","max_attempts":2,"timeout_ms":900,"objective_ms":300,"priority":1}]}]})"));
    const auto derived = derive_plan(requested, base);
    REQUIRE(derived.differences_.size() == 1);
    CHECK(derived.differences_.front().starts_with("~ route lookups"));
    const auto& result = derived.result_;
    REQUIRE(result.routes_.size() == 1);
    CHECK(result.routes_.front().host_ == "log.example");
    CHECK(parse_configuration(to_json(result)) == result);
}

TEST_CASE("routes that name an unknown service, repeat a host and prefix or lack targets are rejected")
{
    const auto first_fault_path = [](const char* routes) {
        configuration base;
        base.services_["log"].hosts_ = {"log.example"};
        try {
            const auto requested = parse_intent(nlohmann::json::parse(
                std::string(R"({"changes":[{"change":"put_routes","value":)") + routes + "}]}"));
            derive_plan(requested, base);
        }
        catch (const invalid_document& invalid) {
            return invalid.faults().front().path_;
        }
        return std::string("none");
    };
    CHECK(first_fault_path(R"([{"name":"a","host":"h","targets":[{"service":"nobody"}]}])") ==
          "/routes/0/targets");
    CHECK(first_fault_path(R"([{"name":"a","host":"h","targets":[{"service":"log"}]},
                       {"name":"b","host":"h","targets":[{"service":"log"}]}])") == "/routes/1/path_prefix");
    CHECK(first_fault_path(R"([{"name":"a","host":"h"}])") == "/changes/0/value/0/targets");
}
