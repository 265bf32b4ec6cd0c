// A fleet in virtual time for experiments on placing: nodes with the real call engine and the real gossip
// between them, emulated upstreams, links with delay and loss, and callers that arrive at random and come
// back once after a rejection. Results repeat for equal settings.
#pragma once

#include "emulator/emulated_upstream.h"

#include <memory>
#include <string>

namespace anvilpost::testing {

/// One experiment: sizes, load and links.
struct emulation_settings {
    int nodes_ = 19;
    int upstreams_ = 36;
    int data_centres_ = 3;
    double calls_per_second_ = 500;
    duration work_ =
        std::chrono::milliseconds(94); ///< Mean; each call needs half to one and a half times it.
    duration objective_ = std::chrono::milliseconds(250); ///< A response within it has its full worth.
    duration timeout_ = std::chrono::milliseconds(1200);
    double late_worth_ = 0.1;                                        ///< Of a response after the objective.
    double unrepeatable_share_ = 0.2;                                ///< Of the calls.
    duration delay_in_data_centre_ = std::chrono::microseconds(200); ///< One way.
    duration delay_between_data_centres_ = std::chrono::microseconds(1400);
    double datagram_loss_ = 0.001;
    duration warm_up_ = std::chrono::seconds(2); ///< Not counted.
    duration length_ = std::chrono::seconds(5);  ///< Counted.
    std::uint64_t seed_ = 1;
    upstream_model upstream_;
};

/// What callers got, as shares of all calls unless stated otherwise.
struct emulation_result {
    int calls_ = 0;
    double worth_ = 0; ///< Earned, of what full service in time would earn.
    double late_ = 0;
    double failed_ = 0;              ///< No response in time for the caller's timeout.
    double rejected_ = 0;            ///< Rejected for good by a node.
    double upstream_rejections_ = 0; ///< Attempts that upstreams rejected, of all attempts.
    double datagram_bytes_ = 0;      ///< Sent between nodes, per node and second.
    double elapsed_s_ = 0;           ///< Real time that the experiment took.
};

/// Plays the experiment.
emulation_result emulate(const emulation_settings& settings);

} // namespace anvilpost::testing
