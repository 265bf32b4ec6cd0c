// Conversions between evhttp's header queue and header_list.
#pragma once

#include "adapters/http/header_rules.h"

struct evhttp_request;

namespace anvilpost {

header_list input_headers(evhttp_request* request);
void add_output_header(evhttp_request* request, const std::string& name, const std::string& value);

/// Copies the end-to-end headers of `headers` to the outgoing message; framing headers are left to evhttp.
void copy_end_to_end_headers(const header_list& headers, evhttp_request* to);

} // namespace anvilpost
