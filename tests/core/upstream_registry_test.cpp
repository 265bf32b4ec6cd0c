// Tests of the registry of upstreams.
#include "core/fakes.h"
#include "core/upstreams/upstream_registry.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// Configurations are written as their revision; upstreams as "service incarnation state".
class text_codec : public document_codec {
public:
    [[nodiscard]] configuration parse_configuration(const std::string& bytes) const override
    {
        if (bytes == "broken") {
            throw invalid_document(std::vector<field_fault>{{"/", "broken"}});
        }
        configuration config;
        config.revision_ = std::stoull(bytes);
        config.services_["log"] = {};
        return config;
    }

    [[nodiscard]] registered_upstream parse_upstream(const std::string& bytes) const override
    {
        std::istringstream words(bytes);
        registered_upstream parsed;
        std::string state;
        words >> parsed.service_ >> parsed.config_.incarnation_ >> state;
        if (state.empty()) {
            throw invalid_document(std::vector<field_fault>{{"/state", "is required"}});
        }
        parsed.config_.state_ = state == "leaving" ? upstream_state::leaving : upstream_state::active;
        return parsed;
    }
};

struct registry_bench {
    registry_bench()
    {
        registry_.on_event_ = [this](const registry_event& event) { events_.push_back(event.kind_); };
        registry_.apply({{item_kind::configuration, "", "7", 1, false, false}});
    }

    bool put(const std::string& name, const std::string& text)
    {
        return registry_.apply({{item_kind::upstream, name, text, ++revision_, false, false}});
    }

    bool remove(const std::string& name, bool lapsed)
    {
        return registry_.apply({{item_kind::upstream, name, "", ++revision_, true, lapsed}});
    }

    [[nodiscard]] std::size_t upstreams() const
    {
        return registry_.effective().services_.at("log").upstreams_.size();
    }

    manual_clock clock_;
    text_codec codec_;
    upstream_registry registry_{codec_, clock_, 2s};
    std::vector<registry_event::kind> events_;
    std::uint64_t revision_ = 1;
};

} // namespace

TEST_CASE("registered upstreams appear in their service, those of unknown services wait for it")
{
    registry_bench bench;
    REQUIRE(bench.put("a", "log 1 active"));
    REQUIRE(bench.put("b", "elsewhere 1 active"));
    REQUIRE(bench.upstreams() == 1);
}

TEST_CASE("an entry that cannot be read names no upstream, and the others hold")
{
    registry_bench bench;
    bench.put("a", "log 1 active");
    bench.put("b", "log 1 active");
    REQUIRE(bench.put("a", "log"));
    REQUIRE(bench.upstreams() == 1);
    REQUIRE(bench.events_.back() == registry_event::kind::gone);
    REQUIRE(bench.registry_.refused_entries() == 1);
}

TEST_CASE("leaving stays in force for a lifetime and ends with it")
{
    registry_bench bench;
    bench.put("a", "log 1 leaving");
    bench.put("a", "log 1 active");
    REQUIRE(bench.registry_.effective().services_.at("log").upstreams_.at("a").state_ ==
            upstream_state::leaving);
    bench.put("a", "log 2 active");
    REQUIRE(bench.registry_.effective().services_.at("log").upstreams_.at("a").state_ ==
            upstream_state::active);
}

TEST_CASE("a deleted entry is gone at once, a lapsed one after its grace time unless it comes back")
{
    registry_bench bench;
    bench.put("a", "log 1 active");
    bench.put("b", "log 1 active");
    bench.put("c", "log 1 active");
    REQUIRE(bench.remove("a", false));
    REQUIRE_FALSE(bench.remove("b", true));
    REQUIRE_FALSE(bench.remove("c", true));
    REQUIRE(bench.upstreams() == 2);
    bench.clock_.advance(1s);
    bench.put("c", "log 1 active");
    bench.clock_.advance(2s);
    REQUIRE(bench.registry_.drop_lapsed());
    REQUIRE(bench.registry_.effective().services_.at("log").upstreams_.contains("c"));
    REQUIRE_FALSE(bench.registry_.effective().services_.at("log").upstreams_.contains("b"));
}

TEST_CASE("a configuration that does not parse or is not newer is refused, and the last good one stays")
{
    registry_bench bench;
    REQUIRE_FALSE(bench.registry_.apply({{item_kind::configuration, "", "broken", 5, false, false}}));
    REQUIRE_FALSE(bench.registry_.apply({{item_kind::configuration, "", "6", 6, false, false}}));
    REQUIRE(bench.registry_.effective().revision_ == 7);
    REQUIRE(bench.registry_.apply({{item_kind::configuration, "", "9", 7, false, false}}));
    REQUIRE(bench.registry_.effective().revision_ == 9);
}
