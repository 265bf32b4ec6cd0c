// Creates the picker (the rule for choosing an upstream) that a service's configuration names.
#pragma once

#include "core/calls/earliest_finish.h"
#include "core/calls/picker.h"

#include <variant>

namespace anvilpost {

static_assert(picker<earliest_finish_picker>);

using any_picker = std::variant<least_in_flight_of_two_picker, expected_wait_picker, owned_slots_picker,
                                earliest_finish_picker>;

/// Returns the picker for `kind`; a value outside the enumeration gives the baseline.
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
