// The rules for choosing an upstream by their names in the configuration.
#pragma once

#include "core/calls/earliest_finish.h"
#include "core/calls/picker.h"

#include <variant>

namespace anvilpost {

static_assert(picker<earliest_finish_picker>);

using any_picker = std::variant<least_in_flight_of_two_picker, expected_wait_picker, owned_slots_picker,
                                earliest_finish_picker>;

/// Returns the rule that a kind names.
inline any_picker make_picker(picker_kind kind)
{
    switch (kind) {
    case picker_kind::least_in_flight_of_two: return least_in_flight_of_two_picker{};
    case picker_kind::expected_wait: return expected_wait_picker{};
    case picker_kind::owned_slots: return owned_slots_picker{};
    case picker_kind::earliest_finish: return earliest_finish_picker{};
    }
    return least_in_flight_of_two_picker{};
}

} // namespace anvilpost
