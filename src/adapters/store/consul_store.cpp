// Maps store operations to requests of Consul's HTTP API, and its responses to store_status.
#include "adapters/store/consul_store.h"

#include "adapters/store/base64.h"

#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr duration read_timeout = 2s;
constexpr duration write_timeout = 2s;
/// Added to the longest wait of a watch, so that the store can answer before the request times out.
constexpr duration watch_timeout_margin = 3s;
constexpr int http_ok = 200;
constexpr int http_not_found = 404;

stored_value parse_value(const fetch_result& result)
{
    if (result.status_ == http_not_found) {
        return {store_status::not_found, "", 0};
    }
    if (result.status_ != http_ok) {
        return {store_status::unavailable, "", 0};
    }
    const auto document = nlohmann::json::parse(result.body_, nullptr, false);
    const bool usable = document.is_array() && document.size() == 1 && document[0].is_object() &&
                        document[0].contains("Value") && document[0].contains("ModifyIndex") &&
                        document[0]["Value"].is_string() && document[0]["ModifyIndex"].is_number_unsigned();
    if (!usable) {
        return {store_status::unavailable, "", 0};
    }
    auto value = decode_base64(document[0]["Value"].get<std::string>());
    if (!value) {
        return {store_status::unavailable, "", 0};
    }
    return {store_status::ok, std::move(*value), document[0]["ModifyIndex"].get<std::uint64_t>()};
}

/// A write is known to be refused only by a response that says so; otherwise it may have taken effect.
store_status parse_write(const fetch_result& result)
{
    const auto written = nlohmann::json::parse(result.body_, nullptr, false);
    if (result.status_ == http_ok && written.is_boolean()) {
        return written.get<bool>() ? store_status::ok : store_status::conflict;
    }
    return result.sent_ ? store_status::unknown : store_status::unavailable;
}

} // namespace

void consul_store::get(const std::string& target, duration timeout, read_callback done)
{
    ++calls_;
    fetch_request request;
    request.ip_ = address_.ip_;
    request.port_ = address_.port_;
    request.target_ = target;
    request.timeout_ = timeout;
    fetch(loop_, request,
          [done = std::move(done)](const fetch_result& result) { done(parse_value(result)); });
}

void consul_store::read(const std::string& key, read_callback done)
{
    get("/v1/kv/" + key, read_timeout, std::move(done));
}

void consul_store::watch(const std::string& key, std::uint64_t version, duration longest, read_callback done)
{
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
    get("/v1/kv/" + key + "?index=" + std::to_string(version) + "&wait=" + std::to_string(wait_ms) + "ms",
        longest + watch_timeout_margin, std::move(done));
}

void consul_store::compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                                    write_callback done)
{
    ++calls_;
    fetch_request request;
    request.method_ = "PUT";
    request.ip_ = address_.ip_;
    request.port_ = address_.port_;
    request.target_ = "/v1/kv/" + key + "?cas=" + std::to_string(version);
    request.body_ = text;
    request.timeout_ = write_timeout;
    fetch(loop_, request,
          [done = std::move(done)](const fetch_result& result) { done(parse_write(result)); });
}

} // namespace anvilpost
