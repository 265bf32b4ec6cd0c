// Messages between the nodes that ask for slots of upstreams and the node that grants them (the dispatcher).
// One datagram carries several packed records of each kind. Records are numbered by the node that asks, so
// that repeated and reordered datagrams do no harm.
//
// A datagram is a CBOR map behind the self-described CBOR tag (RFC 8949, 3.4.6), which tells it from gossip.
// Unknown fields are ignored; builds without dispatch count it as unreadable.
#pragma once

#include "vocabulary/call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

inline constexpr int dispatch_message_version = 1;

/// Asks for a slot. Times are relative to the arrival of the message, in whole milliseconds.
struct slot_request {
    std::uint32_t number_ = 0;  ///< Of the sender; the same when it asks again.
    std::uint32_t service_ = 0; ///< See `service_key`.
    std::uint32_t route_ = 0;   ///< Hash of the route's name; its calls are assumed to need similar work.
    std::uint32_t kind_ = 0;    ///< Hash of route and organisation, between which capacity is shared.
    duration work_{};           ///< Expected work, as the sender has learnt it.
    duration objective_left_{}; ///< 0: the objective has passed.
    duration deadline_left_{};
    int priority_ = 0;
    bool repeatable_ = false;
    bool is_resend_ = false;
    std::vector<std::uint32_t> tried_; ///< Upstreams that may not be granted; see `upstream_key`.
};

/// The end of a grant, or of a request that has not been answered.
struct slot_release {
    std::uint32_t number_ = 0;
    std::uint32_t upstream_ = 0; ///< 0 for a request.
    int outcome_ = 0;            ///< A `slot_outcome`.
    std::optional<load_report> load_;
};

/// States that the sender still uses a slot. A dispatcher that does not know the grant records it.
struct slot_renewal {
    std::uint32_t number_ = 0;
    std::uint32_t upstream_ = 0;
};

enum class slot_answer_kind : std::uint8_t {
    granted = 1,
    queued = 2,        ///< A grant or a refusal will follow.
    refused = 3,       ///< No slot is expected in time.
    not_dispatcher = 4 ///< The sender grants no slots, or none any more.
};

struct slot_answer {
    std::uint32_t number_ = 0;
    slot_answer_kind kind_ = slot_answer_kind::refused;
    std::uint32_t upstream_ = 0; ///< The granted one.
    duration time_{};            ///< Lease of a grant; else the expected wait.
};

/// How a node is reached that the recipient may not know yet.
struct sender_address {
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string data_centre_;
};

struct dispatch_message {
    std::string sender_;                    ///< Name of the node.
    std::optional<sender_address> address_; ///< Stated until the recipient has answered.
    std::vector<slot_request> requests_;
    std::vector<slot_release> releases_;
    std::vector<slot_renewal> renewals_;
    std::vector<slot_answer> answers_;
};

/// Hash that stands for a service in messages.
std::uint32_t service_key(const std::string& service);

/// Returns true when the bytes are a message of this kind, readable or not.
bool is_dispatch_message(const std::string& bytes);

/// Returns the message as CBOR bytes.
std::string encode(const dispatch_message& message);

/// Returns nothing when the bytes are not a valid message of this version.
std::optional<dispatch_message> decode_dispatch_message(const std::string& bytes);

} // namespace anvilpost
