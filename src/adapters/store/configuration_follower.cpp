// Watches the stored configuration, with jittered retries, and applies only documents with a greater
// revision.
#include "adapters/store/configuration_follower.h"

#include "adapters/logging/json_log.h"
#include "core/configuration/configuration_json.h"

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr duration max_watch_time = 20s;
/// Delay before the watch is repeated after a failure or while nothing is stored: this plus random jitter.
constexpr duration min_retry_delay = 200ms;
constexpr duration max_retry_jitter = 800ms;

} // namespace

configuration_follower::configuration_follower(event_loop& loop, key_value_port& store, random_port& random)
    : loop_(loop), store_(store), random_(random), retry_(loop, [this] { watch(); })
{
}

void configuration_follower::set_watching(bool watching)
{
    if (watching == watching_) {
        return;
    }
    watching_ = watching;
    ++watch_generation_;
    if (watching) {
        watch();
    }
    else {
        retry_.stop();
    }
}

void configuration_follower::watch()
{
    store_.watch(configuration_key, watched_version_, max_watch_time,
                 [this, generation = watch_generation_](const stored_value& value) {
                     if (generation != watch_generation_) {
                         return;
                     }
                     on_value(value);
                     const auto jitter = duration(static_cast<duration::rep>(
                         random_unit(random_) * static_cast<double>(max_retry_jitter.count())));
                     retry_.start(store_reachable_ && value.status_ == store_status::ok
                                      ? duration{}
                                      : min_retry_delay + jitter);
                 });
}

void configuration_follower::read_once()
{
    store_.read(configuration_key, [this](const stored_value& value) { on_value(value); });
}

void configuration_follower::on_value(const stored_value& value)
{
    store_reachable_ = value.status_ == store_status::ok || value.status_ == store_status::not_found;
    if (!store_reachable_) {
        return;
    }
    if (value.status_ == store_status::not_found) {
        watched_version_ = 0;
        ready_ = true;
        rewrite_if_restored(std::nullopt, 0);
        return;
    }
    watched_version_ = value.version_;
    const auto document = nlohmann::json::parse(value.text_, nullptr, false);
    if (offer(document, configuration_source::store) || in_force_.revision_ == 0) {
        return;
    }
    try {
        rewrite_if_restored(parse_configuration(document), value.version_);
    }
    catch (const invalid_document&) { // `offer` has reported it.
    }
}

/// A stale read leads here too; its compare-and-swap fails.
void configuration_follower::rewrite_if_restored(const std::optional<configuration>& stored,
                                                 std::uint64_t version)
{
    const auto decision = compare_with_stored(in_force_, stored);
    if (!decision.rewrite_ || rewriting_) {
        return;
    }
    rewriting_ = true;
    const auto document = to_json(*decision.rewrite_);
    store_.compare_and_swap(configuration_key, document.dump(), version,
                            [this, document, relation = decision.relation_](store_status status) {
                                rewriting_ = false;
                                if (status != store_status::ok) {
                                    return; // The next read of the store decides again.
                                }
                                ++store_restores_;
                                write_log(log_level::warning,
                                          relation == stored_relation::older_copy
                                              ? "the store came back from an older copy; wrote the "
                                                "configuration in force again"
                                              : "the store came back from an older copy; gave the operators' "
                                                "later configuration a revision that nodes accept",
                                          {{"revision", document.at("revision")}});
                                offer(document, configuration_source::store);
                            });
}

bool configuration_follower::offer(const nlohmann::json& document, configuration_source source)
{
    try {
        configuration parsed = parse_configuration(document);
        ready_ = true;
        if (parsed.revision_ <= in_force_.revision_) {
            return false;
        }
        for (const auto& plan : compare_with_stored(in_force_, parsed).lost_plans_) {
            write_log(log_level::error, "the new configuration lacks a plan that was in force",
                      {{"plan", plan.id_}, {"plan_revision", plan.revision_}});
            lost_plans_.push_back(plan);
        }
        in_force_ = std::move(parsed);
        last_refusal_.clear();
    }
    catch (const invalid_document& error) {
        last_refusal_ = error.what();
        write_log(log_level::error, "rejected an invalid configuration", {{"faults", last_refusal_}});
        return false;
    }
    write_log(log_level::info, "configuration in force",
              {{"revision", in_force_.revision_},
               {"from", source == configuration_source::store ? "store" : "peer"}});
    for (const auto& listener : listeners_) {
        listener(in_force_, source);
    }
    return true;
}

} // namespace anvilpost
