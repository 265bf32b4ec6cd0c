// Walks evhttp's queues.
#include "adapters/http/evhttp_headers.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace anvilpost {

header_list input_headers(evhttp_request* request)
{
    header_list headers;
    const evkeyvalq* queue = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = queue->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.emplace_back(header->key, header->value);
    }
    return headers;
}

void add_output_header(evhttp_request* request, const std::string& name, const std::string& value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
}

void copy_end_to_end_headers(const header_list& headers, evhttp_request* to)
{
    const std::string connection_value = find_header(headers, "Connection").value_or("");
    for (const auto& [name, value] : headers) {
        if (!is_hop_by_hop(name, connection_value) && !same_header(name, "Content-Length")) {
            add_output_header(to, name, value);
        }
    }
}

} // namespace anvilpost
