// Collects what a node has to say about slots, by recipient, until it is sent at the end of the same event:
// several records to one node then share a datagram.
#pragma once

#include "core/dispatch/dispatch_messages.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace anvilpost {

class dispatch_outbox {
public:
    /// Returns the message to a node, for records to be added.
    dispatch_message& to(const std::string& node)
    {
        const bool first = messages_.empty();
        auto& message = messages_[node];
        if (first && on_first_) {
            on_first_();
        }
        return message;
    }

    [[nodiscard]] bool empty() const { return messages_.empty(); }

    [[nodiscard]] std::map<std::string, dispatch_message> take() { return std::exchange(messages_, {}); }

    /// Called when the first record since `take` is added; must cause a later call of `take`.
    std::function<void()> on_first_;

private:
    std::map<std::string, dispatch_message> messages_; ///< By name of the recipient.
};

} // namespace anvilpost
