// Checks the head of a request (request line and headers) while it arrives. Whatever evhttp would refuse
// with its own error page is detected here first, so that it is refused with a problem document and a
// verdict (whether the request was executed) instead.
#pragma once

#include "vocabulary/problem.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilpost {

/// Must be fed every byte of a request from the first one on. Stores at most the request line or the start
/// of the current header line.
class request_head_scanner {
public:
    explicit request_head_scanner(std::size_t max_head_bytes) : max_head_bytes_(max_head_bytes) {}

    /// Checks further bytes. Returns a kind of problem as soon as the head is too large or malformed: a
    /// request line without a known method, a target and HTTP/1.0 or HTTP/1.1; a header line without a
    /// name and colon; a folded header line; a Content-Length that is not digits only.
    std::optional<problem_kind> feed(std::string_view bytes);

    /// True once the empty line after the headers has been seen; later bytes are ignored.
    [[nodiscard]] bool complete() const { return complete_; }

    /// Resets the scanner for the connection's next request.
    void reset();

private:
    std::optional<problem_kind> end_line();

    std::size_t max_head_bytes_;
    std::size_t head_bytes_ = 0;
    bool first_line_ = true;
    bool complete_ = false;
    std::string line_; ///< Current line; of a header line only its first `kept_header_line_bytes` bytes.
};

} // namespace anvilpost
