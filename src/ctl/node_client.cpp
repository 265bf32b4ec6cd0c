// Sends a request and runs the event loop until the response has arrived or the request has failed or timed
// out.
#include "ctl/node_client.h"

namespace anvilpost {
namespace {

node_response parse_response(const fetch_result& result)
{
    constexpr int http_ok = 200;
    node_response response{result.status_, nlohmann::json::parse(result.body_, nullptr, false), result.body_};
    if (response.body_.is_discarded()) {
        response.body_ = nullptr;
    }
    if (response.status_ == http_ok && !response.body_.is_object()) {
        return {}; // A success without its document must not be reported as one.
    }
    return response;
}

} // namespace

node_response node_client::send(const std::string& method, const std::string& path, const std::string& body)
{
    fetch_request request;
    request.method_ = method;
    request.ip_ = ip_;
    request.port_ = port_;
    request.target_ = path;
    request.body_ = body;
    request.timeout_ = timeout_;
    node_response response;
    fetch(loop_, request, [&](const fetch_result& result) {
        response = parse_response(result);
        loop_.stop();
    });
    loop_.run();
    return response;
}

} // namespace anvilpost
