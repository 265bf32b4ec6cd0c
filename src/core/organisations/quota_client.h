// This node's side of the quotas: it keeps its share at a coordinator, asks it for the tokens of calls that
// wait, holds granted tokens for a short time, and refuses calls by itself while the coordinator has no
// tokens.
#pragma once

#include "core/configuration/configuration.h"
#include "core/organisations/coordinator_choice.h"
#include "core/organisations/organisation_usage.h"
#include "core/organisations/window_count.h"
#include "ports/clock_port.h"
#include "ports/quota_port.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvilpost {

/// Totals since the start of this node.
struct quota_client_counters {
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t refused_without_answer_ = 0; ///< Part of `refused_`: no coordinator answered in time.
    std::uint64_t from_reserve_ = 0;           ///< Part of `admitted_`.
    std::uint64_t tokens_asked_ = 0;
    std::uint64_t tokens_granted_ = 0;
    std::uint64_t tokens_returned_ = 0;
    std::uint64_t requests_sent_ = 0;
    std::uint64_t coordinator_changes_ = 0;
};

/// Invariants:
/// - a call is admitted only with a token that the present coordinator granted in answer to the latest
///   request, or one of this node's reserve;
/// - there is at most one unanswered request to the coordinator.
class quota_client : public quota_port {
public:
    /// `name` is the node's: it decides which nodes hold the reserve of an organisation.
    quota_client(const clock_port& clock, node_identity self, std::string name, fleet_size& size);

    void apply(const configuration& config);
    void set_candidates(std::vector<node_identity> ranked) { choice_.set_candidates(std::move(ranked)); }
    void set_relays(std::vector<node_identity> relays) { choice_.set_relays(std::move(relays)); }

    void admit(call_id call, const std::string& organisation, time_point answer_by) override;
    void withdraw(call_id call, const std::string& organisation) override;
    void refund(const std::string& organisation, time_point admitted_at) override;

    void on_answer(const quota_answer& answer);

    /// Must be called every few tens of milliseconds.
    void on_tick();

    /// Sends a request. May hand the answer to `on_answer` before it returns.
    std::function<void(const quota_request&)> send_;

    /// Delivers a decision. May call `admit`, `withdraw` and `refund`.
    std::function<void(call_id, const quota_decision&)> decide_;

    /// The coordinator has changed; empty: none answers.
    std::function<void(std::optional<node_identity>)> on_coordinator_changed_;

    [[nodiscard]] std::optional<node_identity> coordinator() const { return choice_.current(); }
    [[nodiscard]] const quota_client_counters& counters() const { return counters_; }
    [[nodiscard]] organisation_usages usages() const;

private:
    struct waiting {
        call_id call_{};
        time_point answer_by_{};
        bool refused_once_ = false; ///< Waits for the token that the coordinator expects next.
    };

    /// An organisation with a limit.
    struct account {
        std::string name_;
        std::uint32_t key_ = 0;
        double rate_ = 0;
        double burst_ = 0;
        std::deque<waiting> waiting_;
        int held_ = 0; ///< Granted tokens without a call, until `held_until_`.
        time_point held_until_{};
        int returned_ = 0; ///< Tokens to return with the next request.
        time_point refused_until_{};
        bool active_ = false;     ///< Is in `active_`.
        int arrivals_ = 0;        ///< Since `arrivals_since_`.
        int arrivals_before_ = 0; ///< In the stretch before it.
        time_point arrivals_since_{};
        time_slots<5> reserve_used_{std::chrono::seconds(5)};
        int used_ = 0; ///< In a window, by all nodes, as the coordinator said at `used_at_`.
        time_point used_at_{};
        std::uint64_t admitted_ = 0;
        std::uint64_t refused_ = 0;
    };

    struct sent_request {
        std::uint32_t number_ = 0;
        time_point sent_at_{};
        bool release_ = false;
    };

    struct pending_decision {
        call_id call_{};
        quota_decision decision_;
    };

    void send_request();
    void send_probe(const contact_request& probe);
    void add_asks(quota_request& request, time_point now);
    void take_grant(const quota_grant& grant, bool in_time, time_point now);
    void refuse_waiting(account& of, duration ask_again_in, time_point now);
    void activate(account& which);
    void count_arrival(account& of, time_point now) const;
    [[nodiscard]] int expected_calls(const account& of) const;
    [[nodiscard]] int reserve_of(const account& of, time_point now) const;
    bool take_reserve(account& from, time_point now);
    void admit_now(account& of, call_id call);
    void refuse(account& of, call_id call, duration retry_after);
    void expire(account& of, time_point now);
    void deliver();
    void note_coordinator();

    const clock_port& clock_;
    node_identity self_;
    std::string name_;
    fleet_size& size_;
    coordinator_choice choice_;
    std::unordered_map<std::string, account> accounts_;
    std::unordered_map<std::uint32_t, account*> by_key_;
    std::vector<account*> active_; ///< With waiting calls, held tokens, or tokens to return.
    std::optional<sent_request> unanswered_;
    std::optional<time_point> unanswered_since_;
    bool ask_again_ = false; ///< Calls have come since the last request was sent.
    /// Unanswered ones, by the node and the node that passes them on.
    std::map<std::pair<node_identity, node_identity>, sent_request> probes_;
    time_point last_sent_{};
    std::uint32_t number_ = 0;
    double slack_ = 0;
    time_point started_at_;
    std::vector<pending_decision> decisions_;
    bool delivering_ = false;
    std::optional<node_identity> noted_coordinator_;
    quota_client_counters counters_;
};

} // namespace anvilpost
