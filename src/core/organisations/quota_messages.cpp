// Encodes the messages about quotas as packed records: the header, then one record for each organisation.
#include "core/organisations/quota_messages.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Writes the fields that both messages begin with. The node that passes a message on is rarely named, so a
/// byte tells whether it follows.
template <class Message>
void add_header(record_writer& writer, const Message& message)
{
    writer.add(static_cast<std::uint8_t>(message.via_ != 0 ? 1 : 0));
    writer.add(message.from_);
    writer.add(message.to_);
    if (message.via_ != 0) {
        writer.add(message.via_);
    }
    writer.add(message.number_);
    writer.add(saturating_cast<std::uint16_t>(message.nodes_));
}

template <class Message>
void read_header(record_reader& reader, Message& message)
{
    const bool has_via = reader.next<std::uint8_t>() != 0;
    message.from_ = reader.next<node_identity>();
    message.to_ = reader.next<node_identity>();
    message.via_ = has_via ? reader.next<node_identity>() : 0;
    message.number_ = reader.next<std::uint32_t>();
    message.nodes_ = reader.next<std::uint16_t>();
}

} // namespace

std::uint32_t organisation_key(const std::string& name)
{
    return static_cast<std::uint32_t>(stable_hash(name));
}

packed_bytes pack(const quota_request& request)
{
    record_writer writer;
    add_header(writer, request);
    writer.add(request.echo_);
    writer.add(saturating_cast<std::uint16_t>(request.share_of_));
    for (const auto& ask : request.asks_) {
        writer.add(ask.organisation_);
        writer.add(saturating_cast<std::uint8_t>(ask.waiting_));
        writer.add(saturating_cast<std::uint8_t>(ask.expected_));
        writer.add(saturating_cast<std::uint8_t>(ask.returned_));
    }
    return writer.take();
}

packed_bytes pack(const quota_answer& answer)
{
    record_writer writer;
    add_header(writer, answer);
    writer.add(answer.stamp_);
    for (const auto& grant : answer.grants_) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(grant.ask_again_in_).count();
        writer.add(grant.organisation_);
        writer.add(saturating_cast<std::uint16_t>(grant.granted_));
        writer.add(saturating_cast<std::uint16_t>(wait));
        writer.add(saturating_cast<std::uint16_t>(grant.used_));
    }
    return writer.take();
}

quota_request unpack_quota_request(const packed_bytes& bytes)
{
    quota_request request;
    record_reader reader(bytes);
    read_header(reader, request);
    request.echo_ = reader.next<std::uint32_t>();
    request.share_of_ = reader.next<std::uint16_t>();
    while (!reader.at_end()) {
        auto& ask = request.asks_.emplace_back();
        ask.organisation_ = reader.next<std::uint32_t>();
        ask.waiting_ = reader.next<std::uint8_t>();
        ask.expected_ = reader.next<std::uint8_t>();
        ask.returned_ = reader.next<std::uint8_t>();
    }
    return request;
}

quota_answer unpack_quota_answer(const packed_bytes& bytes)
{
    quota_answer answer;
    record_reader reader(bytes);
    read_header(reader, answer);
    answer.stamp_ = reader.next<std::uint32_t>();
    while (!reader.at_end()) {
        auto& grant = answer.grants_.emplace_back();
        grant.organisation_ = reader.next<std::uint32_t>();
        grant.granted_ = reader.next<std::uint16_t>();
        grant.ask_again_in_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
        grant.used_ = reader.next<std::uint16_t>();
    }
    return answer;
}

} // namespace anvilpost
