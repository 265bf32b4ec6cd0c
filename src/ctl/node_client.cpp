// Sends a request and runs the event loop until the response has arrived or the request has failed or timed
// out.
#include "ctl/node_client.h"

namespace anvilpost {

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
        response.status_ = result.status_;
        response.text_ = result.body_;
        response.body_ = nlohmann::json::parse(result.body_, nullptr, false);
        if (response.body_.is_discarded()) {
            response.body_ = nullptr;
        }
        loop_.stop();
    });
    loop_.run();
    return response;
}

} // namespace anvilpost
