// The two messages about organisations' quotas: a node's request to its coordinator, which also delegates
// the node's share, and the coordinator's answer. They are small and are sent at once, apart from the gossip;
// see docs/design/quotas.md.
#pragma once

#include "core/fleet/packed_records.h"
#include "vocabulary/core_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// Identifies one lifetime of a node: the lower half of `identity_of`, since these messages are sent for
/// nearly every call. Where two nodes have the same one, the coordinator counts one share for both.
using node_identity = std::uint32_t;

/// A delegation is valid until this long after the coordinator's answer that it echoes.
inline constexpr duration delegation_lifetime = std::chrono::milliseconds(500);

/// Stands for an organisation in messages. Organisations whose keys collide share one bucket, the first by
/// name.
std::uint32_t organisation_key(const std::string& name);

/// Tokens that a node asks for one organisation.
struct quota_ask {
    std::uint32_t organisation_ = 0; ///< See `organisation_key`.
    int waiting_ = 0;                ///< Calls that wait for a token.
    int expected_ = 0;               ///< Calls that are expected in the next tens of milliseconds.
    int returned_ = 0;               ///< Granted tokens that the node did not use.
};

struct quota_request {
    node_identity from_ = 0;
    node_identity to_ = 0;
    node_identity via_ = 0;    ///< Node that passed the message on; 0: none.
    std::uint32_t number_ = 0; ///< Grows with each request of the sender.
    std::uint32_t echo_ = 0;   ///< `stamp_` of the latest answer of the recipient.
    int nodes_ = 0;            ///< Largest number of nodes that the sender knew at once lately.
    int share_of_ = 0;         ///< The sender delegates one of this many shares; 0: it delegates none.
    std::vector<quota_ask> asks_;
};

/// Answer for one organisation.
struct quota_grant {
    std::uint32_t organisation_ = 0;
    int granted_ = 0;
    duration ask_again_in_{}; ///< Above 0: calls without a token are refused for this long.
    int used_ = 0; ///< Tokens of the organisation used in the last window, as the coordinator knows.
};

struct quota_answer {
    node_identity from_ = 0;
    node_identity to_ = 0;
    node_identity via_ = 0;    ///< Node that passes the answer on; 0: none.
    std::uint32_t number_ = 0; ///< Of the request.
    std::uint32_t stamp_ = 0;  ///< Time of the coordinator's clock in milliseconds, modulo 2^32.
    int nodes_ = 0;            ///< Largest number of nodes that the coordinator knew at once lately.
    std::vector<quota_grant> grants_;
};

packed_bytes pack(const quota_request& request);
packed_bytes pack(const quota_answer& answer);

/// These throw std::out_of_range when the bytes are truncated.
quota_request unpack_quota_request(const packed_bytes& bytes);
quota_answer unpack_quota_answer(const packed_bytes& bytes);

} // namespace anvilpost
