// A caller's request in the form that attempts at upstreams need.
#pragma once

#include "adapters/http/header_rules.h"

#include <event2/buffer.h>
#include <string>

namespace anvilpost {

struct outgoing_request {
    std::string method_;
    std::string target_;
    std::string request_id_;
    header_list headers_;
    evbuffer* body_ = nullptr; ///< Owned by the caller's side; attempts refer to it without copying.
    bool has_body_ = false;    ///< The request carried a body, possibly an empty one.
};

} // namespace anvilpost
