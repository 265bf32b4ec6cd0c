// The gossip message between nodes, encoded in CBOR (RFC 8949): a heartbeat that also carries what its
// sender knows of the store, the upstreams and the other nodes. All parts but the sender may be empty.
// Unknown fields are ignored; a message of an unknown version is rejected.
#pragma once

#include "core/fleet/peer_table.h"
#include "core/fleet/store_view.h"
#include "core/organisations/quota_messages.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace anvilpost {

inline constexpr int peer_message_version = 1;

/// A node that the sender knows, with the time since its last heartbeat.
struct known_peer {
    peer peer_;
    duration age_{};
};

/// Acknowledges the latest message that the sender has received from a node, as in a round-trip measurement.
struct peer_echo {
    std::uint64_t identity_ = 0; ///< Of the acknowledged node, see `identity_of`.
    std::uint64_t sequence_ = 0; ///< Of the acknowledged message.
    duration hold_time_{};       ///< From its arrival to the sending of this message.
};

/// An upstream's load, measured `age_` before the message was sent.
struct upstream_load {
    std::uint32_t upstream_ = 0; ///< See `upstream_key`.
    int in_flight_ = 0;          ///< Calls of all callers together.
    int slots_ = 0;              ///< 0: unknown.
    int slowdown_percent_ = 100; ///< 100: normal speed; 200: calls take twice as long.
    bool slowdown_known_ = false;
    bool answered_ = true; ///< False: a probe got no response, and the other values are meaningless.
    bool healthy_ = true;
    bool probed_ = false; ///< Measured by a probe, not taken from the response to a call.
    duration age_{};
};

/// The rate limit that an upstream names in its responses, or the end of one.
struct upstream_rate_limit {
    std::uint32_t upstream_ = 0;       ///< See `upstream_key`.
    std::uint64_t incarnation_ = 0;    ///< Hash of the incarnation that named it.
    std::optional<double> per_second_; ///< Requests per second of all nodes together; empty: no limit.
    duration age_{};                   ///< Since a node learnt of it from a response.
};

/// An upstream said in a response that it leaves.
struct upstream_leaving {
    std::uint32_t upstream_ = 0;    ///< See `upstream_key`.
    std::uint64_t incarnation_ = 0; ///< Hash of the incarnation that said so; another one is not concerned.
};

/// An upstream said in a response that it is cold.
struct upstream_warm_up {
    std::uint32_t upstream_ = 0;    ///< See `upstream_key`.
    std::uint64_t incarnation_ = 0; ///< Hash of the incarnation that said so; another one is not concerned.
    duration left_{};               ///< Time for which it stays cold, as of the sending of this message.
};

/// The sender's own calls to an upstream.
struct upstream_call_counts {
    std::uint32_t upstream_ = 0;
    int in_flight_ = 0;
    int served_ = 0; ///< Since the sender's last message that carried counts.
    int failed_ = 0; ///< Likewise.
};

/// A request, by its fingerprint, crashed an upstream.
struct request_strike {
    std::uint64_t fingerprint_ = 0;
    std::string upstream_;

    bool operator==(const request_strike&) const = default;
    bool operator<(const request_strike& other) const
    {
        return std::tie(fingerprint_, upstream_) < std::tie(other.fingerprint_, other.upstream_);
    }
};

/// One message; see the head of this file.
struct peer_message {
    peer sender_;
    std::uint64_t sequence_ = 0;   ///< Increases with each message of the sender's incarnation.
    bool reply_requested_ = false; ///< The sender asks for a reply that lists peers.
    std::uint64_t view_revision_ = 0;
    std::optional<duration> view_age_; ///< Empty: the sender has no complete view.
    int view_format_ = view_format;    ///< Of the sender's view; nodes of earlier builds send none.
    std::vector<peer_echo> echoes_;
    std::vector<known_peer> peers_;
    std::vector<upstream_load> loads_;
    bool has_call_counts_ = false; ///< `call_counts_` lists all of the sender's calls in flight.
    std::vector<upstream_call_counts> call_counts_;
    std::vector<request_strike> strikes_;
    std::vector<upstream_rate_limit> rate_limits_;
    std::vector<upstream_leaving> leaving_;
    std::vector<upstream_warm_up> warm_ups_;
    std::vector<std::uint32_t> unreached_; ///< Hashes of services of which the sender reaches no upstream.

    /// A message about quotas has one of these and nothing else, not even a sender.
    std::optional<quota_request> quota_request_{};
    std::optional<quota_answer> quota_answer_{};
};

/// Hash that stands for an upstream in messages. Receivers ignore data about upstreams whose keys collide.
std::uint32_t upstream_key(const std::string& service, const std::string& upstream);

/// Returns the message as CBOR bytes.
std::string encode(const peer_message& message);

/// Return a message about quotas, with nothing else in it.
std::string encode(const quota_request& request);
std::string encode(const quota_answer& answer);

/// Returns nothing when the bytes are not a valid message of this version.
std::optional<peer_message> decode_peer_message(const std::string& bytes);

} // namespace anvilpost
