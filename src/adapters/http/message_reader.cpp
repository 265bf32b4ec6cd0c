// Implementation of the message parser: callbacks of Boost.Beast's incremental parser fill in the head and
// the body buffer.
#include "adapters/http/message_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>

namespace anvilpost {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using error_code = boost::beast::error_code;

constexpr int http_1_1 = 11; // Beast encodes a version as 10 * major + minor.

/// Range of the status codes of HTTP (RFC 9110, section 15).
constexpr int min_status = 100;
constexpr int max_status = 599;

} // namespace

/// Common interface of the parsers for requests and responses, which are different types in Beast.
class message_reader::parser_base {
public:
    parser_base() = default;
    parser_base(const parser_base&) = delete;
    parser_base& operator=(const parser_base&) = delete;
    virtual ~parser_base() = default;
    virtual std::size_t put(const void* bytes, std::size_t count, error_code& error) = 0;
    virtual void put_end(error_code& error) = 0;
    [[nodiscard]] virtual bool done() const = 0;
};

template <bool is_request>
class message_reader::parser : public message_reader::parser_base, public http::basic_parser<is_request> {
public:
    parser(message_reader& owner, std::size_t max_head_bytes, bool no_body) : owner_(owner)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(max_head_bytes));
        // The reader's owner limits bodies. Boost 1.74 treats "no limit" as a limit of zero, hence the
        // largest number.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->skip(no_body);
    }

    std::size_t put(const void* bytes, std::size_t count, error_code& error) override
    {
        return http::basic_parser<is_request>::put(boost::asio::const_buffer(bytes, count), error);
    }
    void put_end(error_code& error) override { this->put_eof(error); }
    [[nodiscard]] bool done() const override { return this->is_done(); }

private:
    void on_request_impl(http::verb method, string_view method_text, string_view target, int version,
                         error_code&) override
    {
        owner_.head_.method_ = std::string(method_text);
        owner_.head_.method_known_ = method != http::verb::unknown;
        owner_.head_.target_ = std::string(target);
        owner_.head_.http_1_1_ = version >= http_1_1;
    }

    void on_response_impl(int status, string_view reason, int version, error_code& error) override
    {
        if (status < min_status || status > max_status) {
            error = http::error::bad_status;
            return;
        }
        owner_.head_.status_ = status;
        owner_.head_.reason_ = std::string(reason);
        owner_.head_.http_1_1_ = version >= http_1_1;
    }

    void on_field_impl(http::field field, string_view name, string_view value, error_code& error) override
    {
        // The body of a response is passed on without its transfer coding. Requests are validated by their
        // receiver, which answers with a reason.
        if (!is_request && field == http::field::transfer_encoding &&
            !boost::beast::iequals(value, "chunked")) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        // Fields after the body are trailers; they are dropped, as RFC 9110, section 6.5.1, allows.
        if (!owner_.head_complete_) {
            owner_.head_.headers_.emplace_back(std::string(name), std::string(value));
        }
    }

    void on_header_impl(error_code&) override
    {
        owner_.head_complete_ = true;
        owner_.head_.keep_alive_ = this->keep_alive();
        owner_.head_.close_delimited_ = this->need_eof();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}

    std::size_t on_body_impl(string_view bytes, error_code&) override { return append_to_body(bytes); }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override
    {
        return append_to_body(bytes);
    }

    void on_finish_impl(error_code&) override {}

    std::size_t append_to_body(string_view bytes)
    {
        evbuffer_add(owner_.body_.get(), bytes.data(), bytes.size());
        owner_.body_bytes_seen_ += bytes.size();
        return bytes.size();
    }

    message_reader& owner_;
};

message_reader::message_reader(message_side side, std::size_t max_head_bytes, bool no_body)
    : body_(evbuffer_new())
{
    if (side == message_side::request) {
        parser_ = std::make_unique<parser<true>>(*this, max_head_bytes, false);
    }
    else {
        parser_ = std::make_unique<parser<false>>(*this, max_head_bytes, no_body);
    }
}

message_reader::~message_reader() = default;

read_status message_reader::feed(evbuffer* input)
{
    while (outcome_ == read_status::more) {
        const std::size_t available = evbuffer_get_length(input);
        if (available == 0) {
            break;
        }
        started_ = true;
        // The parser needs a head in contiguous memory; a body may be passed in fragments.
        const auto contiguous = head_complete_ ? evbuffer_get_contiguous_space(input) : available;
        const auto* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous));
        error_code error;
        const std::size_t consumed = parser_->put(bytes, contiguous, error);
        evbuffer_drain(input, consumed);
        if (error == http::error::need_more) {
            if (consumed == 0 && contiguous == available) {
                break;
            }
            if (consumed == 0) {
                evbuffer_pullup(input, -1); // A chunk's header spans two segments of the buffer.
                const auto* whole = evbuffer_pullup(input, -1);
                error = {};
                const std::size_t consumed_again = parser_->put(whole, available, error);
                evbuffer_drain(input, consumed_again);
                if (error == http::error::need_more && consumed_again == 0) {
                    break;
                }
            }
            if (error == http::error::need_more) {
                error = {};
            }
        }
        if (error) {
            outcome_ =
                error == http::error::header_limit ? read_status::head_too_large : read_status::malformed;
        }
        else if (parser_->done()) {
            outcome_ = read_status::complete;
        }
    }
    return outcome_;
}

read_status message_reader::on_end()
{
    if (outcome_ != read_status::more) {
        return outcome_;
    }
    error_code error;
    parser_->put_end(error);
    outcome_ = !error && parser_->done() && head_complete_ ? read_status::complete : read_status::malformed;
    return outcome_;
}

} // namespace anvilpost
