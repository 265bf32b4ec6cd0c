// Encodes and decodes view messages as CBOR maps. The age is rounded up to milliseconds, so that a view never
// appears fresher than it is.
#include "core/fleet/view_messages.h"

#include <nlohmann/json.hpp>

namespace anvilpost {

using json = nlohmann::json;

std::string encode(const view_message& message)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(message.age_).count();
    json document{
        {"rev", message.revision_}, {"age", age}, {"whole", message.is_snapshot_}, {"items", json::array()}};
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
        message.age_ = std::chrono::milliseconds(document.at("age").get<std::int64_t>());
        message.is_snapshot_ = document.at("whole").get<bool>();
        for (const auto& item : document.at("items")) {
            message.items_.push_back({static_cast<item_kind>(item.at(0).get<std::uint8_t>()),
                                      item.at(1).get<std::string>(), item.at(2).get<std::string>(),
                                      item.at(3).get<std::uint64_t>(), item.at(4).get<bool>(),
                                      item.at(5).get<bool>()});
        }
        return message;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace anvilpost
