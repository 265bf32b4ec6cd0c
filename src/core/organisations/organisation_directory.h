// The organisations whose keys callers may use, found by the digest of a key.
//
// Answers this load: callers of many organisations compete for the same upstreams, and a key that operators
// have withdrawn must not be used any longer, also by calls that already wait.
#pragma once

#include "core/configuration/configuration.h"
#include "vocabulary/call.h"
#include "vocabulary/key_digest.h"

#include <string>
#include <unordered_map>

namespace anvilpost {

/// Invariant: holds exactly the keys of the configuration last applied.
class organisation_directory {
public:
    /// An organisation with its name.
    struct entry {
        std::string name_;
        organisation_config config_;
    };

    void apply(const configuration& config);

    /// True when callers must show a key, as the configuration has a section of organisations.
    [[nodiscard]] bool required() const { return required_; }

    /// Returns the organisation that holds the key, or nullptr.
    [[nodiscard]] const entry* find(const key_digest& key) const;

    /// Returns the organisation of that name, or nullptr.
    [[nodiscard]] const entry* find(const std::string& name) const;

    /// True when the call may be sent to an upstream: its key is still held by its organisation. Calls
    /// without a key were accepted on a route that needs none.
    [[nodiscard]] bool permits(const call& request) const;

    [[nodiscard]] std::size_t size() const { return by_name_.size(); }
    [[nodiscard]] std::size_t key_count() const { return by_key_.size(); }
    [[nodiscard]] const std::unordered_map<std::string, entry>& all() const { return by_name_; }

private:
    bool required_ = false;
    std::unordered_map<std::string, entry> by_name_;
    std::unordered_map<key_digest, const entry*, key_digest_hash> by_key_; ///< Points into `by_name_`.
};

} // namespace anvilpost
