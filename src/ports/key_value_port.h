// Port to the platform's key-value store: reads, watches and compare-and-swap writes of single keys.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace anvilpost {

/// Outcome of an operation on the store.
enum class store_status {
    ok,
    not_found,   ///< Read: the key does not exist.
    conflict,    ///< Write: the key's version has changed; nothing was written.
    unavailable, ///< The operation certainly did not take effect.
    unknown,     ///< No response; a write may have taken effect or may still take effect.
};

/// Result of a read. `text_` and `version_` are set when `status_` is ok.
struct stored_value {
    store_status status_ = store_status::unavailable;
    std::string text_;
    std::uint64_t version_ = 0; ///< Increases with each write of the key; 0: the key does not exist.
};

/// Key of the configuration document.
inline constexpr const char* configuration_key = "anvilpost/configuration";

/// Callbacks are invoked from the event loop, never from inside the function that takes them.
class key_value_port {
public:
    using read_callback = std::function<void(const stored_value&)>;
    using write_callback = std::function<void(store_status)>;

    virtual ~key_value_port() = default;

    /// Reads the present value of `key`.
    virtual void read(const std::string& key, read_callback done) = 0;

    /// Waits up to `longest` for the key's version to differ from `version`, then reads the key. Reports the
    /// present value also when nothing changed.
    virtual void watch(const std::string& key, std::uint64_t version, duration longest,
                       read_callback done) = 0;

    /// Compare-and-swap: writes `text` if the key's version is still `version`; 0 means that the key must not
    /// exist yet.
    virtual void compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                                  write_callback done) = 0;
};

} // namespace anvilpost
