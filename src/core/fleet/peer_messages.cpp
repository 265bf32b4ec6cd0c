// Encodes and decodes gossip messages as CBOR with nlohmann-json. The lists that grow with the fleet (loads,
// counts and echoes) are encoded as packed records in byte strings, which are cheaper to read than CBOR
// arrays. Counts and times are cut off at the largest value of their field.
#include "core/fleet/peer_messages.h"

#include "core/fleet/message_age.h"
#include "core/fleet/packed_records.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

using json = nlohmann::json;

// Bits of the flags in a packed load; they are part of the wire format.
constexpr int flag_answered = 1;
constexpr int flag_healthy = 2;
constexpr int flag_probed = 4;
constexpr int flag_slowdown_known = 8;

/// Negative durations become 0.
std::int64_t milliseconds(duration length)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

json encode_peer(const peer& node)
{
    auto value =
        json::array({node.name_, node.incarnation_, node.data_centre_, node.ip_, node.port_,
                     node.control_port_, node.capacity_, node.stopping_, node.caller_port_, node.cut_off_});
    const bool has_access = node.store_access_ != store_access::unknown;
    if (node.capabilities_ != 0 || has_access) {
        value.push_back(node.capabilities_);
    }
    if (has_access) {
        value.push_back(static_cast<int>(node.store_access_));
    }
    return value;
}

/// A value of a later build counts as unknown.
store_access decode_store_access(const json& value)
{
    const auto access = static_cast<store_access>(value.get<std::uint8_t>());
    return access <= store_access::refuses ? access : store_access::unknown;
}

peer decode_peer(const json& value)
{
    peer node{value.at(0).get<std::string>(),   value.at(1).get<std::uint64_t>(),
              value.at(2).get<std::string>(),   value.at(3).get<std::string>(),
              value.at(4).get<std::uint16_t>(), value.at(5).get<std::uint16_t>(),
              value.at(6).get<std::uint32_t>(), value.at(7).get<bool>()};
    // Nodes of earlier versions do not send these.
    constexpr std::size_t fields_with_caller_port = 10;
    if (value.size() >= fields_with_caller_port) {
        node.caller_port_ = value.at(8).get<std::uint16_t>();
        node.cut_off_ = value.at(9).get<bool>();
    }
    constexpr std::size_t fields_with_capabilities = 11;
    if (value.size() >= fields_with_capabilities) {
        node.capabilities_ = value.at(10).get<std::uint32_t>();
    }
    constexpr std::size_t fields_with_store_access = 12;
    if (value.size() >= fields_with_store_access) {
        node.store_access_ = decode_store_access(value.at(11));
    }
    return node;
}

packed_bytes pack_loads(const std::vector<upstream_load>& loads)
{
    record_writer writer;
    for (const auto& load : loads) {
        const int flags = (load.answered_ ? flag_answered : 0) | (load.healthy_ ? flag_healthy : 0) |
                          (load.probed_ ? flag_probed : 0) | (load.slowdown_known_ ? flag_slowdown_known : 0);
        writer.add(load.upstream_);
        writer.add(saturating_cast<std::uint16_t>(load.in_flight_));
        writer.add(saturating_cast<std::uint16_t>(load.slots_));
        writer.add(saturating_cast<std::uint16_t>(load.slowdown_percent_));
        writer.add(static_cast<std::uint8_t>(flags));
        writer.add(saturating_cast<std::uint16_t>(milliseconds(load.age_)));
    }
    return writer.take();
}

std::vector<upstream_load> unpack_loads(const packed_bytes& bytes)
{
    std::vector<upstream_load> loads;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& load = loads.emplace_back();
        load.upstream_ = reader.next<std::uint32_t>();
        load.in_flight_ = reader.next<std::uint16_t>();
        load.slots_ = reader.next<std::uint16_t>();
        load.slowdown_percent_ = reader.next<std::uint16_t>();
        const int flags = reader.next<std::uint8_t>();
        load.answered_ = (flags & flag_answered) != 0;
        load.healthy_ = (flags & flag_healthy) != 0;
        load.probed_ = (flags & flag_probed) != 0;
        load.slowdown_known_ = (flags & flag_slowdown_known) != 0;
        load.age_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
    }
    return loads;
}

packed_bytes pack_echoes(const std::vector<peer_echo>& echoes)
{
    record_writer writer;
    for (const auto& echo : echoes) {
        writer.add(echo.identity_);
        writer.add(static_cast<std::uint32_t>(echo.sequence_));
        writer.add(saturating_cast<std::uint16_t>(milliseconds(echo.hold_time_)));
    }
    return writer.take();
}

std::vector<peer_echo> unpack_echoes(const packed_bytes& bytes)
{
    std::vector<peer_echo> echoes;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& echo = echoes.emplace_back();
        echo.identity_ = reader.next<std::uint64_t>();
        echo.sequence_ = reader.next<std::uint32_t>();
        echo.hold_time_ = std::chrono::milliseconds(reader.next<std::uint16_t>());
    }
    return echoes;
}

packed_bytes pack_call_counts(const std::vector<upstream_call_counts>& all_counts)
{
    record_writer writer;
    for (const auto& counts : all_counts) {
        writer.add(counts.upstream_);
        writer.add(saturating_cast<std::uint16_t>(counts.in_flight_));
        writer.add(saturating_cast<std::uint16_t>(counts.served_));
        writer.add(saturating_cast<std::uint16_t>(counts.failed_));
    }
    return writer.take();
}

std::vector<upstream_call_counts> unpack_call_counts(const packed_bytes& bytes)
{
    std::vector<upstream_call_counts> all_counts;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& counts = all_counts.emplace_back();
        counts.upstream_ = reader.next<std::uint32_t>();
        counts.in_flight_ = reader.next<std::uint16_t>();
        counts.served_ = reader.next<std::uint16_t>();
        counts.failed_ = reader.next<std::uint16_t>();
    }
    return all_counts;
}

/// Rates are sent in thousandths; the largest value stands for "no limit".
constexpr std::uint32_t no_rate_limit = std::numeric_limits<std::uint32_t>::max();
constexpr double thousandths = 1000;

packed_bytes pack_rate_limits(const std::vector<upstream_rate_limit>& limits)
{
    record_writer writer;
    for (const auto& limit : limits) {
        const double rate = limit.per_second_.value_or(0) * thousandths;
        const auto field = static_cast<std::uint32_t>(std::min<double>(rate, no_rate_limit - 1));
        writer.add(limit.upstream_);
        writer.add(limit.incarnation_);
        writer.add(limit.per_second_ ? field : no_rate_limit);
        writer.add(saturating_cast<std::uint32_t>(milliseconds(limit.age_)));
    }
    return writer.take();
}

std::vector<upstream_rate_limit> unpack_rate_limits(const packed_bytes& bytes)
{
    std::vector<upstream_rate_limit> limits;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& limit = limits.emplace_back();
        limit.upstream_ = reader.next<std::uint32_t>();
        limit.incarnation_ = reader.next<std::uint64_t>();
        const auto rate = reader.next<std::uint32_t>();
        if (rate != no_rate_limit) {
            limit.per_second_ = rate / thousandths;
        }
        limit.age_ = std::chrono::milliseconds(reader.next<std::uint32_t>());
    }
    return limits;
}

packed_bytes pack_leaving(const std::vector<upstream_leaving>& leaving)
{
    record_writer writer;
    for (const auto& notice : leaving) {
        writer.add(notice.upstream_);
        writer.add(notice.incarnation_);
    }
    return writer.take();
}

std::vector<upstream_leaving> unpack_leaving(const packed_bytes& bytes)
{
    std::vector<upstream_leaving> leaving;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& notice = leaving.emplace_back();
        notice.upstream_ = reader.next<std::uint32_t>();
        notice.incarnation_ = reader.next<std::uint64_t>();
    }
    return leaving;
}

packed_bytes pack_warm_ups(const std::vector<upstream_warm_up>& warm_ups)
{
    record_writer writer;
    for (const auto& notice : warm_ups) {
        writer.add(notice.upstream_);
        writer.add(notice.incarnation_);
        writer.add(
            saturating_cast<std::uint32_t>(milliseconds(notice.left_) + 1)); // Must not be understated.
    }
    return writer.take();
}

std::vector<upstream_warm_up> unpack_warm_ups(const packed_bytes& bytes)
{
    std::vector<upstream_warm_up> warm_ups;
    for (record_reader reader(bytes); !reader.at_end();) {
        auto& notice = warm_ups.emplace_back();
        notice.upstream_ = reader.next<std::uint32_t>();
        notice.incarnation_ = reader.next<std::uint64_t>();
        notice.left_ = std::chrono::milliseconds(reader.next<std::uint32_t>());
    }
    return warm_ups;
}

/// Returns the bytes of a field, or an empty list where the field is missing.
packed_bytes bytes_of(const json& document, const char* field)
{
    const auto found = document.find(field);
    return found == document.end() ? packed_bytes{} : packed_bytes(found->get_binary());
}

peer_message decode_fields(const json& document)
{
    peer_message message;
    if (document.contains("quota_q")) {
        message.quota_request_ = unpack_quota_request(bytes_of(document, "quota_q"));
        return message;
    }
    if (document.contains("quota_a")) {
        message.quota_answer_ = unpack_quota_answer(bytes_of(document, "quota_a"));
        return message;
    }
    message.sender_ = decode_peer(document.at("from"));
    message.sequence_ = document.at("seq").get<std::uint64_t>();
    message.reply_requested_ = document.value("ask", false);
    message.view_revision_ = document.value("rev", std::uint64_t{0});
    message.view_format_ = document.value("vf", 0);
    if (document.contains("age")) {
        message.view_age_ = decode_age(document.at("age"));
    }
    message.echoes_ = unpack_echoes(bytes_of(document, "echo"));
    for (const auto& value : document.value("peers", json::array())) {
        message.peers_.push_back({decode_peer(value.at(0)), decode_age(value.at(1))});
    }
    message.loads_ = unpack_loads(bytes_of(document, "loads"));
    message.has_call_counts_ = document.contains("mine");
    message.call_counts_ = unpack_call_counts(bytes_of(document, "mine"));
    for (const auto& value : document.value("strikes", json::array())) {
        message.strikes_.push_back({value.at(0).get<std::uint64_t>(), value.at(1).get<std::string>()});
    }
    message.rate_limits_ = unpack_rate_limits(bytes_of(document, "limits"));
    message.leaving_ = unpack_leaving(bytes_of(document, "leaving"));
    message.unreached_ = document.value("unreached", std::vector<std::uint32_t>{});
    message.warm_ups_ = unpack_warm_ups(bytes_of(document, "cold"));
    return message;
}

} // namespace

std::uint32_t upstream_key(const std::string& service, const std::string& upstream)
{
    return static_cast<std::uint32_t>(stable_hash(service + "\n" + upstream));
}

std::string encode(const quota_request& request)
{
    const auto bytes = json::to_cbor({{"v", peer_message_version}, {"quota_q", json::binary(pack(request))}});
    return {bytes.begin(), bytes.end()};
}

std::string encode(const quota_answer& answer)
{
    const auto bytes = json::to_cbor({{"v", peer_message_version}, {"quota_a", json::binary(pack(answer))}});
    return {bytes.begin(), bytes.end()};
}

std::string encode(const peer_message& message)
{
    json document{{"v", peer_message_version},
                  {"from", encode_peer(message.sender_)},
                  {"seq", message.sequence_},
                  {"rev", message.view_revision_},
                  {"vf", message.view_format_}};
    if (message.reply_requested_) {
        document["ask"] = true;
    }
    if (message.view_age_) {
        document["age"] = milliseconds(*message.view_age_) + 1; // Rounds up: an age must not be understated.
    }
    if (!message.echoes_.empty()) {
        document["echo"] = json::binary(pack_echoes(message.echoes_));
    }
    for (const auto& known : message.peers_) {
        document["peers"].push_back({encode_peer(known.peer_), milliseconds(known.age_)});
    }
    if (!message.loads_.empty()) {
        document["loads"] = json::binary(pack_loads(message.loads_));
    }
    if (message.has_call_counts_) {
        document["mine"] = json::binary(pack_call_counts(message.call_counts_));
    }
    for (const auto& strike : message.strikes_) {
        document["strikes"].push_back({strike.fingerprint_, strike.upstream_});
    }
    if (!message.rate_limits_.empty()) {
        document["limits"] = json::binary(pack_rate_limits(message.rate_limits_));
    }
    if (!message.leaving_.empty()) {
        document["leaving"] = json::binary(pack_leaving(message.leaving_));
    }
    if (!message.unreached_.empty()) {
        document["unreached"] = message.unreached_;
    }
    if (!message.warm_ups_.empty()) {
        document["cold"] = json::binary(pack_warm_ups(message.warm_ups_));
    }
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

std::optional<peer_message> decode_peer_message(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    try {
        if (!document.is_object() || document.value("v", 0) != peer_message_version) {
            return std::nullopt;
        }
        return decode_fields(document);
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace anvilpost
