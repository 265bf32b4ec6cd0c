// A caller's request in the form that attempts at upstreams need.
#pragma once

#include "adapters/http/header_rules.h"

#include <event2/http.h>
#include <string>

namespace anvilpost {

struct outgoing_request {
    evhttp_cmd_type command_ = EVHTTP_REQ_GET;
    std::string target_;
    std::string request_id_;
    header_list headers_;
    evbuffer* body_ = nullptr; ///< Owned by the caller's side; attempts refer to it without copying.
};

} // namespace anvilpost
