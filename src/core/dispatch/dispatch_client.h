// This node's requests for slots and the slots that it holds: which dispatcher is asked, when it is asked
// again, when the next in rank takes its place, and when the call engine chooses alone.
#pragma once

#include "core/calls/call_engine.h"
#include "core/dispatch/dispatch_outbox.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilpost {

/// Totals since the start, for metrics.
struct dispatch_client_counters {
    std::uint64_t asked_ = 0;    ///< Calls' requests; without repetitions.
    std::uint64_t repeated_ = 0; ///< Requests sent again.
    std::uint64_t granted_ = 0;  ///< Grants that were used.
    std::uint64_t declined_ = 0; ///< Grants that this node's own rules forbade to use.
    std::uint64_t refused_ = 0;
    std::uint64_t unanswered_ = 0; ///< Requests after which the engine chose alone.
    std::uint64_t suspected_ = 0;  ///< Times that a dispatcher was found silent.
};

/// Invariants: a call has at most one open request; of each number, there is an open request or a held slot,
/// not both. A node loses at most `max_silence` per request when dispatchers do not answer.
class dispatch_client {
public:
    /// Longest time that a request waits while nothing comes from a dispatcher.
    static constexpr duration max_silence = std::chrono::milliseconds(40);

    dispatch_client(const clock_port& clock, random_port& random, call_engine& engine,
                    dispatch_outbox& outbox);

    void on_configuration(const configuration& effective);

    /// Sets the dispatchers of a service, the preferred one first; an empty list turns dispatch off.
    void set_dispatchers(const std::string& service, std::vector<std::string> ranked);

    /// True when a dispatcher of the service is known and not silent.
    [[nodiscard]] bool has_dispatcher(const std::string& service) const;

    /// True when the node has answered this node at least once.
    [[nodiscard]] bool has_heard(const std::string& node) const { return heard_at_.contains(node); }

    void request_slot(const call& wanted, duration work, time_point deadline,
                      const std::set<std::string>& tried);
    void withdraw(call_id call);
    void release(slot_id slot, const slot_end& end);

    /// Handles the answers in a dispatcher's message.
    void on_message(const dispatch_message& message);

    /// Returns when `on_wakeup` must be called next, if at all.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Asks again, turns to the next dispatcher or gives up, and renews held slots.
    void on_wakeup();

    [[nodiscard]] const dispatch_client_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t waiting() const { return open_.size(); }
    [[nodiscard]] std::size_t held() const { return held_.size(); }

private:
    struct open_request {
        std::string service_;
        call_id call_{};
        slot_request request_;
        time_point objective_{};
        time_point deadline_{};
        std::vector<std::string> asked_; ///< Dispatchers, the present one last.
        int sends_ = 0;                  ///< To the present dispatcher, without an answer.
        time_point unanswered_since_{};  ///< Time of the first of these.
        time_point due_{};               ///< When to ask again.
        int declined_ = 0;               ///< Grants that this node could not use.
    };

    struct held_slot {
        std::string service_;
        std::string dispatcher_;
        std::uint32_t upstream_ = 0;
        time_point renew_at_{};
    };

    struct known_upstream {
        std::string service_;
        std::string name_;
    };

    using open_requests = std::map<std::uint32_t, open_request>;

    [[nodiscard]] bool silent(const std::string& dispatcher) const;
    [[nodiscard]] std::optional<std::string> choose_dispatcher(const std::string& service,
                                                               const std::vector<std::string>& asked) const;
    void ask(open_request& open, const std::string& dispatcher);
    void send(open_request& open);
    void turn_to_next(std::uint32_t number);
    void suspect(const std::string& dispatcher);
    void on_answer(const slot_answer& answer, const std::string& from);
    void on_grant(const slot_answer& answer, const std::string& from);
    open_request take_open(std::uint32_t number);
    void give_back(const std::string& dispatcher, std::uint32_t number, std::uint32_t upstream);

    const clock_port& clock_;
    call_engine& engine_;
    dispatch_outbox& outbox_;
    std::unordered_map<std::uint32_t, known_upstream> upstreams_; ///< By `upstream_key`.
    std::map<std::string, std::vector<std::string>> dispatchers_; ///< By service.
    std::map<std::string, std::string> current_;                  ///< Dispatcher asked last, by service.
    std::map<std::string, time_point> silent_until_;              ///< By dispatcher that gave no answer.
    std::map<std::string, time_point> heard_at_;                  ///< By dispatcher.
    open_requests open_;                                          ///< By number.
    std::unordered_map<call_id, std::uint32_t> number_of_call_;
    std::map<std::uint32_t, held_slot> held_;
    std::uint32_t next_number_;
    dispatch_client_counters counters_;
};

} // namespace anvilpost
