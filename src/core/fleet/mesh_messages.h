// Messages between nodes: typed, versioned, in CBOR (RFC 8949). Unknown fields are ignored; an unknown
// version, an unknown type or a field of the wrong type makes the whole message unreadable.
#pragma once

#include "core/fleet/membership.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace anvilpost {

inline constexpr int mesh_version = 1;

/// First message of the accepting side: proof of the secret is due over this nonce.
struct challenge_message {
    std::string nonce_;
};

/// First message of the connecting side, with its proof and a nonce for the other's.
struct hello_message {
    std::string nonce_;
    std::string proof_;
    member sender_;
};

/// The accepting side's proof; from here on both sides trust each other.
struct welcome_message {
    std::string proof_;
    member sender_;
};

/// Heartbeat with a digest of the membership.
struct heartbeat_message {
    std::vector<member> members_;
};

/// Asks for the configuration if it is newer than the given revision.
struct configuration_request_message {
    std::uint64_t newer_than_ = 0;
};

struct configuration_message {
    nlohmann::json document_;
};

/// An upstream is leaving. Passed on once by each node that learns of it.
struct leaving_message {
    std::string service_;
    std::string upstream_;
    std::string incarnation_;
};

/// A request broke an upstream. Passed on once by each node that learns of it.
struct strike_message {
    std::uint64_t fingerprint_ = 0;
    std::string upstream_;
};

/// What a probe of an upstream found.
struct finding_message {
    std::string service_;
    std::string upstream_;
    bool healthy_ = false;
};

using mesh_message = std::variant<challenge_message, hello_message, welcome_message, heartbeat_message,
                                  configuration_request_message, configuration_message, leaving_message,
                                  strike_message, finding_message>;

std::string encode(const mesh_message& message);

/// Returns nothing when the bytes are not a message of this version.
std::optional<mesh_message> decode_mesh_message(const std::string& bytes);

} // namespace anvilpost
