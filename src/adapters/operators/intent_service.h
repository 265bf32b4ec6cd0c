// Changes the configuration in the platform's store in two steps: an operator states an intent (the changes)
// and gets a plan (their effect), then confirms the plan. Only `confirm` writes to the store, by one
// compare-and-swap on the version from which the plan was made.
#pragma once

#include "core/configuration/intent.h"
#include "ports/key_value_port.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// A response of the operators' API: an HTTP status and a JSON document.
struct api_response {
    int status_ = 200;
    nlohmann::json body_;
};

/// Keeps no state between requests, so that a plan made on one node can be confirmed on another.
class intent_service {
public:
    using response_callback = std::function<void(const api_response&)>;

    explicit intent_service(key_value_port& store) : store_(store) {}

    /// Returns the configuration in force on this node, on which plans are based when the store came back
    /// from an older copy; no plan that was applied is dropped then. Optional.
    std::function<const configuration&()> in_force_;

    /// Makes the plan for an intent, without writing. Answers 200 with the plan, 422 with the faults of an
    /// invalid intent, or 503 when the store cannot be read.
    void make_plan(const std::string& body, response_callback done);

    /// Applies a plan; idempotent. `body` holds `base_revision` and `intent` as the plan gave them.
    /// Answers 200 with the revision, also when the plan was applied before; 409 with a new plan when the
    /// configuration has changed since the plan was made; 422 with the faults of an invalid body; 503 when
    /// the store failed or it is unknown whether the write took effect (confirm again to find out).
    void confirm(const std::string& plan_id, const std::string& body, response_callback done);

    /// Answers 200 with the stored configuration, 422 when it is invalid, or 503 when the store cannot be
    /// read.
    void read_configuration(response_callback done);

private:
    /// State of one `confirm` request while it reads and writes.
    struct confirmation {
        std::string plan_id_;
        intent intent_;
        std::uint64_t base_revision_ = 0;
        int write_attempts_ = 0;
        int read_attempts_ = 0;
        bool write_outcome_unknown_ = false;
        response_callback done_;
    };

    [[nodiscard]] configuration parse_base(const stored_value& value) const;
    void read_base(const std::shared_ptr<confirmation>& pending);
    void on_base_read(const std::shared_ptr<confirmation>& pending, const stored_value& value);
    void write_plan(const std::shared_ptr<confirmation>& pending, const plan& derived, std::uint64_t version);

    key_value_port& store_;
};

} // namespace anvilpost
