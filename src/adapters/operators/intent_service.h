// Intent, plan, confirm: the operators' API as a state machine over the platform's store. It acts on
// the store only in `confirm`, by one compare-and-swap on the version the plan was made from.
#pragma once

#include "core/configuration/intent.h"
#include "ports/key_value_port.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// An HTTP status and a JSON document.
struct api_answer {
    int status_ = 200;
    nlohmann::json body_;
};

/// Stateless between requests, so that a plan made on one node can be confirmed on another.
class intent_service {
public:
    using answer_callback = std::function<void(const api_answer&)>;

    explicit intent_service(key_value_port& store) : store_(store) {}

    /// Answers with the plan for an intent. 422 lists the faults; 503 when the store cannot be read.
    void state_intent(const std::string& body, answer_callback done);

    /// Commits a plan. `body` holds `base_revision` and `intent` as the plan gave them.
    /// 200 with the revision, also when the plan was applied before; 409 with a new plan when the base
    /// has moved; 503 when it is not known whether the write took effect (confirm again to find out).
    void confirm(const std::string& plan_id, const std::string& body, answer_callback done);

    /// Answers with the stored configuration.
    void read_configuration(answer_callback done);

private:
    struct confirmation {
        std::string plan_id_;
        intent wanted_;
        std::uint64_t base_revision_ = 0;
        int write_attempts_ = 0;
        int read_attempts_ = 0;
        bool write_outcome_unknown_ = false;
        answer_callback done_;
    };

    void read_base(const std::shared_ptr<confirmation>& pending);
    void decide(const std::shared_ptr<confirmation>& pending, const stored_value& value);
    void write(const std::shared_ptr<confirmation>& pending, const plan& derived, std::uint64_t version);

    key_value_port& store_;
};

} // namespace anvilpost
