// Decodes the ages that messages between nodes carry.
#pragma once

#include "vocabulary/core_clock.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace anvilpost {

/// No node runs for this long, so a greater age is an error of the sender.
inline constexpr std::chrono::hours max_message_age{24 * 366};

/// Returns the age that is written in milliseconds. Throws std::out_of_range when it is negative, which would
/// date data into the future, or greater than `max_message_age`, and nlohmann::json::exception when it is no
/// number.
inline duration decode_age(const nlohmann::json& value)
{
    const std::chrono::milliseconds age(value.get<std::int64_t>());
    if (age.count() < 0 || age > max_message_age) {
        throw std::out_of_range("an age in a message is out of range");
    }
    return age;
}

} // namespace anvilpost
