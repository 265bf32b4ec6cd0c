// An in-memory key-value store that injects the faults of the platform's service, for tests in virtual time.
// Operations wait in a queue until the test runs them.
#pragma once

#include "ports/key_value_port.h"
#include "ports/wall_clock_port.h"

#include <deque>
#include <map>

namespace anvilpost::testing {

/// Fault that the store injects into an operation. The faults that name a write do not affect reads, and
/// `stale_read` does not affect writes.
enum class store_fault {
    none,
    refuse,        ///< The operation has no effect; reported as unavailable.
    lose_response, ///< The write takes effect; reported as unknown.
    lose_request,  ///< The write does not take effect; reported as unknown.
    delay_effect,  ///< Reported as unknown; the write takes effect when `apply_delayed_writes` is called.
    stale_read,    ///< The read returns the value before the last write.
};

class fake_store : public key_value_port {
public:
    void read(const std::string& key, read_callback done) override
    {
        ++reads_;
        queue_.push_back([this, key, done = std::move(done)](store_fault fault) {
            if (fault == store_fault::refuse) {
                done({store_status::unavailable, "", 0});
                return;
            }
            const auto& entries = fault == store_fault::stale_read ? before_last_write_ : entries_;
            const auto found = entries.find(key);
            if (found == entries.end()) {
                done({store_status::not_found, "", 0});
                return;
            }
            done({store_status::ok, found->second.first, found->second.second});
        });
    }

    void watch(const std::string& key, std::uint64_t, duration, read_callback done) override
    {
        read(key, std::move(done));
    }

    void compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                          write_callback done) override
    {
        ++writes_;
        queue_.push_back([this, key, text, version, done = std::move(done)](store_fault fault) {
            switch (fault) {
            case store_fault::refuse: done(store_status::unavailable); return;
            case store_fault::lose_request: done(store_status::unknown); return;
            case store_fault::lose_response:
                apply(key, text, version);
                done(store_status::unknown);
                return;
            case store_fault::delay_effect:
                delayed_.push_back([this, key, text, version] { apply(key, text, version); });
                done(store_status::unknown);
                return;
            case store_fault::none:
            case store_fault::stale_read:
                done(apply(key, text, version) ? store_status::ok : store_status::conflict);
                return;
            }
        });
    }

    /// Runs the oldest waiting operation. Returns false when none waits.
    bool step(store_fault fault = store_fault::none)
    {
        if (queue_.empty()) {
            return false;
        }
        const auto operation = std::move(queue_.front());
        queue_.pop_front();
        operation(fault);
        return true;
    }

    /// Runs operations until none waits.
    void run_until_idle(store_fault fault = store_fault::none)
    {
        while (step(fault)) {
        }
    }

    /// Applies the delayed writes whose expected version is still current.
    void apply_delayed_writes()
    {
        const auto delayed = std::move(delayed_);
        delayed_.clear();
        for (const auto& apply_write : delayed) {
            apply_write();
        }
    }

    void take_copy() { copy_ = {entries_, last_version_}; }

    /// The store comes back from its last copy; versions are given out again.
    void restore()
    {
        entries_ = copy_.first;
        last_version_ = copy_.second;
    }

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

    std::map<std::string, std::pair<std::string, std::uint64_t>> entries_;
    int reads_ = 0;
    int writes_ = 0;

private:
    bool apply(const std::string& key, const std::string& text, std::uint64_t version)
    {
        const auto found = entries_.find(key);
        const std::uint64_t current = found == entries_.end() ? 0 : found->second.second;
        if (current != version) {
            return false;
        }
        before_last_write_ = entries_;
        entries_[key] = {text, ++last_version_};
        return true;
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> before_last_write_;
    std::deque<std::function<void(store_fault)>> queue_;
    std::deque<std::function<void()>> delayed_;
    std::uint64_t last_version_ = 0;
    std::pair<decltype(entries_), std::uint64_t> copy_;
};

class manual_wall_clock : public wall_clock_port {
public:
    [[nodiscard]] std::chrono::milliseconds since_epoch() const override { return now_; }
    std::chrono::milliseconds now_ = std::chrono::hours(24 * 365 * 55);
};

} // namespace anvilpost::testing
