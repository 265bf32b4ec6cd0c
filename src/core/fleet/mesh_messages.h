// Messages that nodes exchange over mesh links, encoded as versioned CBOR (RFC 8949). Decoding ignores
// unknown fields; it rejects a message with an unknown version, an unknown type or a field of the wrong type.
#pragma once

#include "core/fleet/membership.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace anvilpost {

inline constexpr int mesh_version = 1;

/// First message of the accepting side: the peer must prove that it knows the secret over this nonce.
struct challenge_message {
    std::string nonce_;
};

/// First message of the connecting side, with its proof and the nonce for the accepting side's proof.
struct hello_message {
    std::string nonce_;
    std::string proof_;
    member sender_;
};

/// The accepting side's proof, which completes mutual authentication.
struct welcome_message {
    std::string proof_;
    member sender_;
};

/// Heartbeat with some entries of the sender's membership table, the sender's own first.
struct heartbeat_message {
    std::vector<member> members_;
};

/// Asks for the configuration if it is newer than the given revision.
struct configuration_request_message {
    std::uint64_t newer_than_ = 0;
};

/// The configuration that the sender has in force.
struct configuration_message {
    nlohmann::json document_;
};

/// An upstream is about to stop. Each node forwards a notice once.
struct leaving_message {
    std::string service_;
    std::string upstream_;
    std::string incarnation_; ///< Of the upstream.
};

/// A request broke the upstream that ran it. Each node forwards a strike once.
struct strike_message {
    std::uint64_t fingerprint_ = 0; ///< Of the request.
    std::string upstream_;
};

/// Result of a health probe of an upstream. Sent to linked nodes and not forwarded.
struct probe_result_message {
    std::string service_;
    std::string upstream_;
    bool healthy_ = false;
};

using mesh_message = std::variant<challenge_message, hello_message, welcome_message, heartbeat_message,
                                  configuration_request_message, configuration_message, leaving_message,
                                  strike_message, probe_result_message>;

std::string encode(const mesh_message& message);

/// Returns nothing when the bytes are not a message of this version.
std::optional<mesh_message> decode_mesh_message(const std::string& bytes);

} // namespace anvilpost
