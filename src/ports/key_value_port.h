// Port to the platform's key-value service: reads, watches, and writes by compare-and-swap.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace anvilpost {

/// How an operation on the store ended.
enum class store_status {
    ok,
    not_found,   ///< Read: the key does not exist.
    conflict,    ///< Write: the version had moved on; nothing was written.
    unavailable, ///< The operation certainly did not take effect.
    unknown,     ///< No answer; a write may have taken effect or may still take effect.
};

/// Result of a read. `text_` and `version_` are set when `status_` is ok.
struct stored_value {
    store_status status_ = store_status::unavailable;
    std::string text_;
    std::uint64_t version_ = 0; ///< Grows with each write of the key; 0 stands for "no such key".
};

/// Key of the configuration document.
inline constexpr const char* configuration_key = "anvilpost/configuration";

/// Callbacks come from the event loop, never from inside the call.
class key_value_port {
public:
    using read_callback = std::function<void(const stored_value&)>;
    using write_callback = std::function<void(store_status)>;

    virtual ~key_value_port() = default;

    /// Reads a key.
    virtual void read(const std::string& key, read_callback done) = 0;

    /// Waits up to `longest` until the key's version differs from `version`, then reads it. Answers
    /// with the present value when nothing changed.
    virtual void watch(const std::string& key, std::uint64_t version, duration longest,
                       read_callback done) = 0;

    /// Writes `text` if the key's version still is `version`; 0 means that the key must not exist.
    virtual void write_if(const std::string& key, const std::string& text, std::uint64_t version,
                          write_callback done) = 0;
};

} // namespace anvilpost
