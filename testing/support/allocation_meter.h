// Measures how much memory a piece of code allocates, so that tests can bound it. Linking
// allocation_meter.cpp replaces the global operator new and delete; with the address sanitizer, its hooks are
// used instead.
#pragma once

#include <cstddef>

namespace anvilpost::testing {

/// Measures the allocations of the whole process while it exists. Only one may exist at a time.
class allocation_meter {
public:
    allocation_meter();
    ~allocation_meter();
    allocation_meter(const allocation_meter&) = delete;
    allocation_meter& operator=(const allocation_meter&) = delete;

    /// Returns the largest number of bytes that were allocated at once beyond those at the start.
    [[nodiscard]] std::size_t peak_bytes() const;
};

} // namespace anvilpost::testing
