// Tests of making and confirming plans against a mocked store: lost responses to writes, a configuration that
// changed after the plan was made, and store outages.
#include "adapters/operators/intent_service.h"

#include "core/configuration/configuration_json.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace anvilpost;
using nlohmann::json;
using trompeloeil::_;

namespace {

class mock_store : public key_value_port {
public:
    MAKE_MOCK2(read, void(const std::string&, read_callback), override);
    MAKE_MOCK4(watch, void(const std::string&, std::uint64_t, duration, read_callback), override);
    MAKE_MOCK4(compare_and_swap, void(const std::string&, const std::string&, std::uint64_t, write_callback),
               override);
};

json desk_intent()
{
    return {
        {"changes",
         {{{"change", "put_service"},
           {"service", "desk"},
           {"value",
            {{"hosts", {"desk.example"}}, {"upstreams", {{"u1", {{"ip", "10.0.0.1"}, {"port", 80}}}}}}}}}}};
}

json remove_intent()
{
    return {{"changes", {{{"change", "remove_service"}, {"service", "desk"}}}}};
}

plan desk_plan()
{
    return derive_plan(parse_intent(desk_intent()), {});
}

std::string confirm_body(const plan& reviewed)
{
    return json{{"base_revision", reviewed.base_revision_}, {"intent", reviewed.intent_document_}}.dump();
}

stored_value stored(const configuration& config, std::uint64_t version)
{
    return {store_status::ok, to_json(config).dump(), version};
}

const stored_value nothing_stored{store_status::not_found, "", 0};
const stored_value store_down{store_status::unavailable, "", 0};

struct confirm_fixture {
    api_response confirm(const plan& reviewed)
    {
        api_response response{0, nullptr};
        service_.confirm(reviewed.id_, confirm_body(reviewed),
                         [&](const api_response& received) { response = received; });
        return response;
    }

    mock_store store_;
    intent_service service_{store_};
};

} // namespace

TEST_CASE("making a plan from an intent reads the store and writes nothing")
{
    confirm_fixture fixture;
    REQUIRE_CALL(fixture.store_, read(configuration_key, _)).SIDE_EFFECT(_2(nothing_stored));
    FORBID_CALL(fixture.store_, compare_and_swap(_, _, _, _));
    api_response response;
    fixture.service_.make_plan(desk_intent().dump(),
                               [&](const api_response& received) { response = received; });
    REQUIRE(response.status_ == 200);
    REQUIRE(response.body_["plan"] == desk_plan().id_);
}

TEST_CASE("confirming a plan writes its result, conditional on the version that was read")
{
    confirm_fixture fixture;
    std::string written;
    REQUIRE_CALL(fixture.store_, read(configuration_key, _)).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(configuration_key, _, 0U, _))
        .LR_SIDE_EFFECT(written = _2)
        .SIDE_EFFECT(_4(store_status::ok));
    const auto response = fixture.confirm(desk_plan());
    REQUIRE(response.status_ == 200);
    REQUIRE(response.body_["revision"] == 1);
    REQUIRE(parse_configuration(json::parse(written)) == desk_plan().result_);
}

TEST_CASE("confirming a plan after the configuration has changed writes nothing and returns a new plan")
{
    confirm_fixture fixture;
    configuration changed;
    changed.revision_ = 5;
    REQUIRE_CALL(fixture.store_, read(_, _)).SIDE_EFFECT(_2(stored(changed, 9)));
    FORBID_CALL(fixture.store_, compare_and_swap(_, _, _, _));
    const auto response = fixture.confirm(desk_plan());
    REQUIRE(response.status_ == 409);
    REQUIRE(response.body_["new_plan"]["base_revision"] == 5);
}

TEST_CASE("confirming a plan while another operator's write comes first is answered with a conflict")
{
    confirm_fixture fixture;
    configuration changed;
    changed.revision_ = 1;
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(_, _, 0U, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_4(store_status::conflict));
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(stored(changed, 3)));
    REQUIRE(fixture.confirm(desk_plan()).status_ == 409);
}

TEST_CASE("a confirmed plan is reported as applied when its write took effect but the response was lost")
{
    confirm_fixture fixture;
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(_, _, _, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_4(store_status::unknown));
    REQUIRE_CALL(fixture.store_, read(_, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_2(stored(desk_plan().result_, 4)));
    const auto response = fixture.confirm(desk_plan());
    REQUIRE(response.status_ == 200);
    REQUIRE(response.body_["revision"] == 1);
}

TEST_CASE("a confirmed plan is written again when its first write was lost")
{
    confirm_fixture fixture;
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(_, _, _, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_4(store_status::unknown));
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(_, _, _, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_4(store_status::ok));
    REQUIRE(fixture.confirm(desk_plan()).status_ == 200);
}

TEST_CASE("confirming a plan reports when it is unknown whether the write took effect")
{
    confirm_fixture fixture;
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.store_, read(_, _)).IN_SEQUENCE(order).SIDE_EFFECT(_2(nothing_stored));
    REQUIRE_CALL(fixture.store_, compare_and_swap(_, _, _, _))
        .IN_SEQUENCE(order)
        .SIDE_EFFECT(_4(store_status::unknown));
    REQUIRE_CALL(fixture.store_, read(_, _))
        .IN_SEQUENCE(order)
        .TIMES(AT_LEAST(1))
        .SIDE_EFFECT(_2(store_down));
    const auto response = fixture.confirm(desk_plan());
    REQUIRE(response.status_ == 503);
    REQUIRE(response.body_["detail"].get<std::string>().find("may take effect") != std::string::npos);
}

TEST_CASE("confirming a plan while the store is unavailable reports that the plan was not applied")
{
    confirm_fixture fixture;
    REQUIRE_CALL(fixture.store_, read(_, _)).SIDE_EFFECT(_2(store_down));
    FORBID_CALL(fixture.store_, compare_and_swap(_, _, _, _));
    const auto response = fixture.confirm(desk_plan());
    REQUIRE(response.status_ == 503);
    REQUIRE(response.body_["detail"].get<std::string>().find("not applied") != std::string::npos);
}

TEST_CASE("confirming an applied plan again after later plans returns the same revision")
{
    confirm_fixture fixture;
    const auto first = desk_plan();
    const auto later = derive_plan(parse_intent(remove_intent()), first.result_);
    REQUIRE_CALL(fixture.store_, read(_, _)).SIDE_EFFECT(_2(stored(later.result_, 8)));
    FORBID_CALL(fixture.store_, compare_and_swap(_, _, _, _));
    const auto response = fixture.confirm(first);
    REQUIRE(response.status_ == 200);
    REQUIRE(response.body_["revision"] == 1);
}

TEST_CASE("confirming a plan with the intent of another plan is rejected")
{
    confirm_fixture fixture;
    auto swapped = desk_plan();
    swapped.intent_document_["changes"][0]["service"] = "other";
    REQUIRE_CALL(fixture.store_, read(_, _)).SIDE_EFFECT(_2(nothing_stored));
    FORBID_CALL(fixture.store_, compare_and_swap(_, _, _, _));
    REQUIRE(fixture.confirm(swapped).status_ == 422);
}
