// Encodes and decodes slot requests, releases, renewals and answers as packed records in a CBOR map.
#include "core/dispatch/dispatch_messages.h"

#include "core/fleet/packed_records.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

using json = nlohmann::json;

/// Tag 55799, "self-described CBOR".
constexpr std::string_view self_described_tag = "\xd9\xd9\xf7";

// Bits of the flags in packed records; they are part of the wire format.
constexpr int flag_repeatable = 1;
constexpr int flag_resend = 2;
constexpr int flag_has_load = 1;
constexpr int flag_slots_known = 2;
constexpr int flag_slowdown_known = 4;
constexpr double percent = 100.0;

/// Milliseconds, rounded down, in the range of a field.
std::uint16_t time_field(duration length)
{
    return saturating_cast<std::uint16_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

std::uint16_t number_field(double value)
{
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(value < largest ? std::max(0.0, value) : largest);
}

packed_bytes pack(const std::vector<slot_request>& requests)
{
    record_writer writer;
    for (const auto& request : requests) {
        writer.add(request.number_);
        writer.add(request.service_);
        writer.add(request.route_);
        writer.add(request.kind_);
        writer.add(time_field(request.work_));
        writer.add(time_field(request.objective_left_));
        writer.add(time_field(request.deadline_left_));
        writer.add(saturating_cast<std::uint8_t>(request.priority_));
        writer.add(static_cast<std::uint8_t>((request.repeatable_ ? flag_repeatable : 0) |
                                             (request.is_resend_ ? flag_resend : 0)));
        const auto count = saturating_cast<std::uint8_t>(static_cast<std::int64_t>(request.tried_.size()));
        writer.add(count);
        for (std::size_t i = 0; i < count; ++i) {
            writer.add(request.tried_[i]);
        }
    }
    return writer.take();
}

std::vector<slot_request> unpack_requests(const packed_bytes& bytes)
{
    std::vector<slot_request> requests;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& request = requests.emplace_back();
        request.number_ = reader.next<std::uint32_t>();
        request.service_ = reader.next<std::uint32_t>();
        request.route_ = reader.next<std::uint32_t>();
        request.kind_ = reader.next<std::uint32_t>();
        request.work_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
        request.objective_left_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
        request.deadline_left_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
        request.priority_ = reader.next<std::uint8_t>();
        const int flags = reader.next<std::uint8_t>();
        request.repeatable_ = (flags & flag_repeatable) != 0;
        request.is_resend_ = (flags & flag_resend) != 0;
        const auto count = reader.next<std::uint8_t>();
        for (std::size_t i = 0; i < count; ++i) {
            request.tried_.push_back(reader.next<std::uint32_t>());
        }
    }
    return requests;
}

packed_bytes pack(const std::vector<slot_release>& releases)
{
    record_writer writer;
    for (const auto& release : releases) {
        const auto load = release.load_.value_or(load_report{});
        writer.add(release.number_);
        writer.add(release.upstream_);
        writer.add(saturating_cast<std::uint8_t>(release.outcome_));
        writer.add(static_cast<std::uint8_t>((release.load_ ? flag_has_load : 0) |
                                             (load.slots_ ? flag_slots_known : 0) |
                                             (load.slowdown_ ? flag_slowdown_known : 0)));
        if (release.load_) {
            writer.add(number_field(load.in_flight_));
            writer.add(saturating_cast<std::uint16_t>(load.slots_.value_or(0)));
            writer.add(number_field(load.slowdown_.value_or(1.0) * percent));
        }
    }
    return writer.take();
}

std::vector<slot_release> unpack_releases(const packed_bytes& bytes)
{
    std::vector<slot_release> releases;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& release = releases.emplace_back();
        release.number_ = reader.next<std::uint32_t>();
        release.upstream_ = reader.next<std::uint32_t>();
        release.outcome_ = reader.next<std::uint8_t>();
        const int flags = reader.next<std::uint8_t>();
        if ((flags & flag_has_load) != 0) {
            load_report load;
            load.in_flight_ = reader.next<std::uint16_t>();
            const int slots = reader.next<std::uint16_t>();
            const double slowdown = reader.next<std::uint16_t>() / percent;
            if ((flags & flag_slots_known) != 0) {
                load.slots_ = slots;
            }
            if ((flags & flag_slowdown_known) != 0) {
                load.slowdown_ = slowdown;
            }
            release.load_ = load;
        }
    }
    return releases;
}

packed_bytes pack(const std::vector<slot_renewal>& renewals)
{
    record_writer writer;
    for (const auto& renewal : renewals) {
        writer.add(renewal.number_);
        writer.add(renewal.upstream_);
    }
    return writer.take();
}

std::vector<slot_renewal> unpack_renewals(const packed_bytes& bytes)
{
    std::vector<slot_renewal> renewals;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& renewal = renewals.emplace_back();
        renewal.number_ = reader.next<std::uint32_t>();
        renewal.upstream_ = reader.next<std::uint32_t>();
    }
    return renewals;
}

packed_bytes pack(const std::vector<slot_answer>& answers)
{
    record_writer writer;
    for (const auto& answer : answers) {
        writer.add(answer.number_);
        writer.add(static_cast<std::uint8_t>(answer.kind_));
        writer.add(answer.upstream_);
        writer.add(time_field(answer.time_));
    }
    return writer.take();
}

std::vector<slot_answer> unpack_answers(const packed_bytes& bytes)
{
    std::vector<slot_answer> answers;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& answer = answers.emplace_back();
        answer.number_ = reader.next<std::uint32_t>();
        answer.kind_ = static_cast<slot_answer_kind>(reader.next<std::uint8_t>());
        answer.upstream_ = reader.next<std::uint32_t>();
        answer.time_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
    }
    return answers;
}

/// Returns the bytes of a field, or an empty list where the field is missing.
packed_bytes bytes_of(const json& document, const char* field)
{
    const auto found = document.find(field);
    return found == document.end() ? packed_bytes{} : packed_bytes(found->get_binary());
}

} // namespace

std::uint32_t service_key(const std::string& service)
{
    return static_cast<std::uint32_t>(stable_hash(service));
}

bool is_dispatch_message(const std::string& bytes)
{
    return bytes.compare(0, self_described_tag.size(), self_described_tag) == 0;
}

std::string encode(const dispatch_message& message)
{
    json document{{"v", dispatch_message_version}, {"from", message.sender_}};
    if (message.address_) {
        document["at"] = {message.address_->ip_, message.address_->port_, message.address_->data_centre_};
    }
    const auto add = [&](const char* field, const auto& records) {
        if (!records.empty()) {
            document[field] = json::binary(pack(records));
        }
    };
    add("ask", message.requests_);
    add("end", message.releases_);
    add("keep", message.renewals_);
    add("ans", message.answers_);
    std::string bytes(self_described_tag);
    json::to_cbor(document, bytes);
    return bytes;
}

std::optional<dispatch_message> decode_dispatch_message(const std::string& bytes)
{
    if (!is_dispatch_message(bytes)) {
        return std::nullopt;
    }
    const auto start = bytes.begin() + static_cast<std::ptrdiff_t>(self_described_tag.size());
    const auto document = json::from_cbor(start, bytes.end(), true, false);
    try {
        if (!document.is_object() || document.value("v", 0) != dispatch_message_version) {
            return std::nullopt;
        }
        std::optional<sender_address> address;
        if (const auto found = document.find("at"); found != document.end()) {
            address = {found->at(0).get<std::string>(), found->at(1).get<std::uint16_t>(),
                       found->at(2).get<std::string>()};
        }
        return dispatch_message{
            document.at("from").get<std::string>(),      address,
            unpack_requests(bytes_of(document, "ask")),  unpack_releases(bytes_of(document, "end")),
            unpack_renewals(bytes_of(document, "keep")), unpack_answers(bytes_of(document, "ans"))};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace anvilpost
