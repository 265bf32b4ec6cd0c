// A bounded set of keys that forgets the oldest first.
#pragma once

#include "vocabulary/core_clock.h"

#include <deque>
#include <set>
#include <string>

namespace anvilpost {

/// Remembers up to `capacity` keys with the time at which each was inserted. Invariants: `order_` holds each
/// key of `keys_` once, oldest first; times never decrease along it, as long as those given to `insert` do
/// not.
class recent_keys {
public:
    explicit recent_keys(std::size_t capacity) : capacity_(capacity) {}

    /// Returns whether the key was not there. Makes room by forgetting the oldest key.
    bool insert(const std::string& key, time_point now)
    {
        const auto [position, added] = keys_.insert(key);
        if (!added) {
            return false;
        }
        order_.push_back({now, position});
        if (keys_.size() > capacity_) {
            remove_oldest();
        }
        return true;
    }

    /// Forgets the keys that were inserted before `limit`.
    void remove_until(time_point limit)
    {
        while (!order_.empty() && order_.front().inserted_ < limit) {
            remove_oldest();
        }
    }

    [[nodiscard]] bool contains(const std::string& key) const { return keys_.contains(key); }
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    struct entry {
        time_point inserted_;
        std::set<std::string>::const_iterator key_;
    };

    void remove_oldest()
    {
        keys_.erase(order_.front().key_);
        order_.pop_front();
    }

    std::size_t capacity_;
    std::set<std::string> keys_;
    std::deque<entry> order_;
};

} // namespace anvilpost
