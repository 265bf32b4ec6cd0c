// Encodes and decodes view messages as CBOR maps. Times are rounded up to milliseconds, so that a view never
// appears fresher than it is.
#include "core/fleet/view_messages.h"

#include "core/fleet/message_age.h"

#include <nlohmann/json.hpp>

namespace anvilpost {

using json = nlohmann::json;

namespace {

/// Throws std::out_of_range for a number that stands for no kind.
item_kind decode_kind(const json& value)
{
    const auto kind = static_cast<item_kind>(value.get<int>());
    switch (kind) {
    case item_kind::configuration:
    case item_kind::upstream:
    case item_kind::node:
    case item_kind::evacuation: return kind;
    }
    throw std::out_of_range("a view message has an item of an unknown kind");
}

} // namespace

void view_message::limit_to_format(int format)
{
    if (format >= format_) {
        return;
    }
    format_ = format;
    std::erase_if(items_, [&](const stored_item& item) { return !in_view_format(item.kind_, format); });
}

std::string encode(const view_message& message)
{
    const auto milliseconds = [](duration length) {
        return std::chrono::ceil<std::chrono::milliseconds>(length).count();
    };
    json document{{"rev", message.revision_},
                  {"age", milliseconds(message.age_)},
                  {"known", milliseconds(message.known_for_)},
                  {"whole", message.is_snapshot_},
                  {"vf", message.format_},
                  {"items", json::array()}};
    for (const auto& item : message.items_) {
        document["items"].push_back(json::array({static_cast<int>(item.kind_), item.name_, item.value_,
                                                 item.revision_, item.deleted_, item.lapsed_}));
    }
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

std::optional<view_message> decode_view_message(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    try {
        view_message message;
        message.revision_ = document.at("rev").get<std::uint64_t>();
        message.age_ = decode_age(document.at("age"));
        message.known_for_ = document.contains("known") ? decode_age(document.at("known")) : duration{};
        message.is_snapshot_ = document.at("whole").get<bool>();
        message.format_ = document.value("vf", 0);
        for (const auto& item : document.at("items")) {
            message.items_.push_back({decode_kind(item.at(0)), item.at(1).get<std::string>(),
                                      item.at(2).get<std::string>(), item.at(3).get<std::uint64_t>(),
                                      item.at(4).get<bool>(), item.at(5).get<bool>()});
        }
        return message;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace anvilpost
