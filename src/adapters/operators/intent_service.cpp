// Makes and confirms configuration plans. A confirmation reads the stored configuration, derives the plan
// again, writes the result by compare-and-swap, and reads it back when the response to the write is lost.
// The document that a plan writes lists the plan as applied, so reading it back shows whether it was written.
#include "adapters/operators/intent_service.h"

#include "core/configuration/configuration_json.h"
#include "core/configuration/json_reader.h"
#include "core/configuration/restore_decision.h"

#include <memory>

namespace anvilpost {
namespace {

constexpr int max_write_attempts = 3;
constexpr int max_read_attempts = 4;

api_response invalid_document_response(const invalid_document& invalid)
{
    nlohmann::json faults = nlohmann::json::array();
    for (const auto& fault : invalid.faults()) {
        faults.push_back({{"path", fault.path_}, {"message", fault.message_}});
    }
    return {422, {{"title", "invalid_document"}, {"status", 422}, {"faults", faults}}};
}

api_response store_unavailable_response(const std::string& detail)
{
    return {503, {{"title", "store_unavailable"}, {"status", 503}, {"detail", detail}, {"retry_after_s", 1}}};
}

nlohmann::json parse_body(const std::string& body)
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded()) {
        throw invalid_document(std::vector<field_fault>{{"/", "the body is not valid JSON"}});
    }
    return document;
}

bool is_readable(const stored_value& value)
{
    return value.status_ == store_status::ok || value.status_ == store_status::not_found;
}

} // namespace

/// Returns the stored configuration, or an empty one with revision 0 when none is stored.
configuration intent_service::parse_base(const stored_value& value) const
{
    configuration stored;
    if (value.status_ == store_status::ok) {
        stored = parse_configuration(nlohmann::json::parse(value.text_, nullptr, false));
    }
    if (!in_force_) {
        return stored;
    }
    auto decision = compare_with_stored(in_force_(), stored);
    return decision.rewrite_ ? std::move(*decision.rewrite_) : stored;
}

void intent_service::make_plan(const std::string& body, response_callback done)
{
    intent requested;
    try {
        requested = parse_intent(parse_body(body));
    }
    catch (const invalid_document& invalid) {
        done(invalid_document_response(invalid));
        return;
    }
    store_.read(configuration_key, [this, requested, done = std::move(done)](const stored_value& value) {
        if (!is_readable(value)) {
            done(store_unavailable_response(
                "the configuration cannot be read, so no plan was made; nothing was changed"));
            return;
        }
        try {
            done({200, to_json(derive_plan(requested, parse_base(value)))});
        }
        catch (const invalid_document& invalid) {
            done(invalid_document_response(invalid));
        }
    });
}

void intent_service::confirm(const std::string& plan_id, const std::string& body, response_callback done)
{
    auto pending = std::make_shared<confirmation>();
    pending->plan_id_ = plan_id;
    try {
        const auto document = parse_body(body);
        std::vector<field_fault> faults;
        json_reader reader(document, "", faults);
        reader.revision("base_revision", pending->base_revision_);
        const auto* intent_member = reader.child("intent");
        if (intent_member == nullptr) {
            reader.fault("intent", "is required, as the plan gave it");
        }
        if (!faults.empty()) {
            throw invalid_document(std::move(faults));
        }
        pending->intent_ = parse_intent(*intent_member);
    }
    catch (const invalid_document& invalid) {
        done(invalid_document_response(invalid));
        return;
    }
    pending->done_ = std::move(done);
    read_base(pending);
}

void intent_service::read_base(const std::shared_ptr<confirmation>& pending)
{
    ++pending->read_attempts_;
    store_.read(configuration_key,
                [this, pending](const stored_value& value) { on_base_read(pending, value); });
}

void intent_service::on_base_read(const std::shared_ptr<confirmation>& pending, const stored_value& value)
{
    if (!is_readable(value)) {
        if (pending->write_outcome_unknown_ && pending->read_attempts_ < max_read_attempts) {
            read_base(pending);
            return;
        }
        pending->done_(store_unavailable_response(
            pending->write_outcome_unknown_
                ? "the write's answer was lost and the store cannot be read; the plan may take "
                  "effect; confirm again"
                : "the configuration cannot be read; the plan was not applied by this request"));
        return;
    }
    try {
        const configuration base = parse_base(value);
        if (const auto revision = applied_revision(base, pending->plan_id_)) {
            pending->done_(
                {200, {{"state", "applied"}, {"plan", pending->plan_id_}, {"revision", *revision}}});
            return;
        }
        const plan derived = derive_plan(pending->intent_, base);
        if (base.revision_ != pending->base_revision_) {
            pending->done_(
                {409,
                 {{"title", "base_moved"},
                  {"status", 409},
                  {"detail", "the configuration has changed since the plan was made; review the new plan"},
                  {"base_revision", base.revision_},
                  {"new_plan", to_json(derived)}}});
            return;
        }
        if (derived.id_ != pending->plan_id_) {
            throw invalid_document(
                std::vector<field_fault>{{"/intent", "does not belong to plan " + pending->plan_id_}});
        }
        write_plan(pending, derived, value.version_);
    }
    catch (const invalid_document& invalid) {
        pending->done_(invalid_document_response(invalid));
    }
}

void intent_service::write_plan(const std::shared_ptr<confirmation>& pending, const plan& derived,
                                std::uint64_t version)
{
    if (pending->write_attempts_ == max_write_attempts) {
        pending->done_(store_unavailable_response(
            pending->write_outcome_unknown_
                ? "the write's answer was lost; the plan may take effect; confirm again"
                : "the store refused the write; the plan was not applied"));
        return;
    }
    ++pending->write_attempts_;
    const std::uint64_t revision = derived.result_.revision_;
    store_.compare_and_swap(
        configuration_key, to_json(derived.result_).dump(), version,
        [this, pending, revision](store_status status) {
            if (status == store_status::ok) {
                pending->done_(
                    {200, {{"state", "applied"}, {"plan", pending->plan_id_}, {"revision", revision}}});
                return;
            }
            pending->write_outcome_unknown_ |= status == store_status::unknown;
            pending->read_attempts_ = 0;
            read_base(pending);
        });
}

void intent_service::read_configuration(response_callback done)
{
    store_.read(configuration_key, [this, done = std::move(done)](const stored_value& value) {
        if (!is_readable(value)) {
            done(store_unavailable_response("the configuration cannot be read"));
            return;
        }
        try {
            done({200, to_json(parse_base(value))});
        }
        catch (const invalid_document& invalid) {
            done(invalid_document_response(invalid));
        }
    });
}

} // namespace anvilpost
