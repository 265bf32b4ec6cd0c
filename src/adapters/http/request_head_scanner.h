// Watches the head of a request (request line and headers) while it arrives, so that what evhttp would
// refuse with a page of its own is refused with a problem document and a verdict instead.
#pragma once

#include "vocabulary/problem.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilpost {

/// Fed with the bytes of one request from its first byte on. Stores no more than the request line and
/// the start of the current header line.
class request_head_scanner {
public:
    explicit request_head_scanner(std::size_t max_head_bytes) : max_head_bytes_(max_head_bytes) {}

    /// Takes further bytes. Returns a kind of problem as soon as the head is too large or malformed: a
    /// request line without a known method, a target and HTTP/1.0 or HTTP/1.1; a header line without a
    /// name and colon; a folded header line; a Content-Length that is not digits only.
    std::optional<problem_kind> feed(std::string_view bytes);

    /// True once the empty line after the headers has been seen; later bytes are ignored.
    [[nodiscard]] bool complete() const { return complete_; }

    /// Starts over for the connection's next request.
    void reset();

private:
    std::optional<problem_kind> end_line();

    std::size_t max_head_bytes_;
    std::size_t head_bytes_ = 0;
    bool first_line_ = true;
    bool complete_ = false;
    std::string line_; ///< Of a header line only the first `kept_of_header_line` bytes.
};

} // namespace anvilpost
