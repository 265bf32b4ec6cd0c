// A caller's request in the form in which it is sent to upstreams; every attempt of a call (first try,
// retry or hedge) reads the same object.
#pragma once

#include "adapters/http/header_rules.h"

#include <event2/buffer.h>
#include <string>

namespace anvilpost {

/// Headers and body of one request; owned by the exchange with the caller.
struct outgoing_request {
    std::string method_;
    std::string target_;
    std::string request_id_;
    header_list headers_;
    std::string key_digest_;   ///< Of the caller's key, for other nodes; empty without one.
    std::string organisation_; ///< For upstreams; empty for anonymous callers.
    evbuffer* body_ = nullptr; ///< Owned by the caller's connection; attempts reference it without copying.
    bool has_body_ = false; ///< The method allows a body, possibly an empty one; Content-Length is then sent.
};

} // namespace anvilpost
