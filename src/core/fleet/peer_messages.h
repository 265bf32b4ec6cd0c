// The message between nodes, in CBOR (RFC 8949): a sign of life with what its sender knows. All parts but
// the sender may be empty. Unknown fields are ignored; an unknown version makes a message unreadable.
#pragma once

#include "core/fleet/peer_table.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace anvilpost {

inline constexpr int peer_message_version = 1;

/// A node that the sender knows of, with the time since its last sign of life.
struct peer_sighting {
    peer peer_;
    duration age_{};
};

/// The sender has received the message `sequence_` of the node `identity_`, `held_` before this one.
struct peer_echo {
    std::uint64_t identity_ = 0;
    std::uint64_t sequence_ = 0;
    duration held_{};
};

/// An upstream's load, as of `age_` before the message.
struct upstream_load {
    std::uint32_t upstream_ = 0; ///< See `upstream_key`.
    int in_flight_ = 0;          ///< Of all callers together.
    int slots_ = 0;
    int slowdown_percent_ = 100;
    bool slowdown_known_ = false;
    bool answered_ = true; ///< False: a probe got no answer, and the figures mean nothing.
    bool healthy_ = true;
    bool probed_ = false; ///< Found by a probe, not by a call.
    duration age_{};
};

/// The sender's own calls at an upstream.
struct upstream_share {
    std::uint32_t upstream_ = 0;
    int in_flight_ = 0;
    int served_ = 0; ///< Since its last message.
    int failed_ = 0;
};

struct request_strike {
    std::uint64_t fingerprint_ = 0;
    std::string upstream_;

    bool operator==(const request_strike&) const = default;
    bool operator<(const request_strike& other) const
    {
        return std::tie(fingerprint_, upstream_) < std::tie(other.fingerprint_, other.upstream_);
    }
};

struct peer_message {
    peer sender_;
    std::uint64_t sequence_ = 0; ///< Grows with each message of the sender's lifetime.
    bool answer_wanted_ = false; ///< The sender knows few nodes and asks for a message.
    std::uint64_t view_revision_ = 0;
    std::optional<duration> view_age_; ///< Nothing: the sender has no complete view.
    std::vector<peer_echo> echoes_;
    std::vector<peer_sighting> peers_;
    std::vector<upstream_load> loads_;
    bool has_shares_ = false; ///< `shares_` lists all of the sender's calls in flight.
    std::vector<upstream_share> shares_;
    std::vector<request_strike> strikes_;
};

/// Short name of an upstream in messages. Two upstreams with the same key are both left out by receivers.
std::uint32_t upstream_key(const std::string& service, const std::string& upstream);

std::string encode(const peer_message& message);

/// Returns nothing when the bytes are no message of this version.
std::optional<peer_message> decode_peer_message(const std::string& bytes);

} // namespace anvilpost
