// CBOR through nlohmann-json; lists of numbers keep the messages small.
#include "core/fleet/peer_messages.h"

#include "vocabulary/stable_hash.h"

#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

using json = nlohmann::json;

constexpr int flag_answered = 1;
constexpr int flag_healthy = 2;
constexpr int flag_probed = 4;
constexpr int flag_slowdown_known = 8;

std::int64_t milliseconds(duration length)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

duration from_milliseconds(const json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

json encode_peer(const peer& who)
{
    return json::array({who.name_, who.incarnation_, who.data_centre_, who.ip_, who.port_, who.control_port_,
                        who.capacity_, who.stopping_});
}

peer decode_peer(const json& value)
{
    return {value.at(0).get<std::string>(),   value.at(1).get<std::uint64_t>(),
            value.at(2).get<std::string>(),   value.at(3).get<std::string>(),
            value.at(4).get<std::uint16_t>(), value.at(5).get<std::uint16_t>(),
            value.at(6).get<std::uint32_t>(), value.at(7).get<bool>()};
}

json encode_load(const upstream_load& load)
{
    const int flags = (load.answered_ ? flag_answered : 0) | (load.healthy_ ? flag_healthy : 0) |
                      (load.probed_ ? flag_probed : 0) | (load.slowdown_known_ ? flag_slowdown_known : 0);
    return json::array({load.upstream_, load.in_flight_, load.slots_, load.slowdown_percent_, flags,
                        milliseconds(load.age_)});
}

upstream_load decode_load(const json& value)
{
    const int flags = value.at(4).get<int>();
    return {value.at(0).get<std::uint32_t>(),
            value.at(1).get<int>(),
            value.at(2).get<int>(),
            value.at(3).get<int>(),
            (flags & flag_slowdown_known) != 0,
            (flags & flag_answered) != 0,
            (flags & flag_healthy) != 0,
            (flags & flag_probed) != 0,
            from_milliseconds(value.at(5))};
}

peer_message decode_fields(const json& document)
{
    peer_message message;
    message.sender_ = decode_peer(document.at("from"));
    message.sequence_ = document.at("seq").get<std::uint64_t>();
    message.answer_wanted_ = document.value("ask", false);
    message.view_revision_ = document.value("rev", std::uint64_t{0});
    if (document.contains("age")) {
        message.view_age_ = from_milliseconds(document.at("age"));
    }
    for (const auto& value : document.value("echo", json::array())) {
        message.echoes_.push_back({value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(),
                                   from_milliseconds(value.at(2))});
    }
    for (const auto& value : document.value("peers", json::array())) {
        message.peers_.push_back({decode_peer(value.at(0)), from_milliseconds(value.at(1))});
    }
    for (const auto& value : document.value("loads", json::array())) {
        message.loads_.push_back(decode_load(value));
    }
    message.has_shares_ = document.contains("mine");
    for (const auto& value : document.value("mine", json::array())) {
        message.shares_.push_back({value.at(0).get<std::uint32_t>(), value.at(1).get<int>(),
                                   value.at(2).get<int>(), value.at(3).get<int>()});
    }
    for (const auto& value : document.value("strikes", json::array())) {
        message.strikes_.push_back({value.at(0).get<std::uint64_t>(), value.at(1).get<std::string>()});
    }
    return message;
}

} // namespace

std::uint32_t upstream_key(const std::string& service, const std::string& upstream)
{
    return static_cast<std::uint32_t>(stable_hash(service + "\n" + upstream));
}

std::string encode(const peer_message& message)
{
    json document{{"v", peer_message_version},
                  {"from", encode_peer(message.sender_)},
                  {"seq", message.sequence_},
                  {"rev", message.view_revision_}};
    if (message.answer_wanted_) {
        document["ask"] = true;
    }
    if (message.view_age_) {
        document["age"] = milliseconds(*message.view_age_) + 1; // Rounded up: an age is never understated.
    }
    for (const auto& echo : message.echoes_) {
        document["echo"].push_back({echo.identity_, echo.sequence_, milliseconds(echo.held_)});
    }
    for (const auto& sighting : message.peers_) {
        document["peers"].push_back({encode_peer(sighting.peer_), milliseconds(sighting.age_)});
    }
    for (const auto& load : message.loads_) {
        document["loads"].push_back(encode_load(load));
    }
    if (message.has_shares_) {
        document["mine"] = json::array();
        for (const auto& share : message.shares_) {
            document["mine"].push_back({share.upstream_, share.in_flight_, share.served_, share.failed_});
        }
    }
    for (const auto& strike : message.strikes_) {
        document["strikes"].push_back({strike.fingerprint_, strike.upstream_});
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
}

} // namespace anvilpost
