// Port through which the core claims the sole right to run an unrepeatable request.
#pragma once

#include "vocabulary/call.h"

namespace anvilpost {

/// What a claim attempt came to.
enum class claim_decision {
    granted,        ///< This call, and no other in the fleet, may forward the request.
    duplicate,      ///< The key was claimed before; that request may have run.
    key_expired,    ///< The key is older than claims are kept, so a former run cannot be ruled out.
    store_unusable, ///< No claim was made that could ever be acted on; the request was not run.
};

template <>
struct enum_names<claim_decision> {
    static constexpr std::array<std::pair<claim_decision, std::string_view>, 4> table{{
        {claim_decision::granted, "granted"},
        {claim_decision::duplicate, "duplicate"},
        {claim_decision::key_expired, "key_expired"},
        {claim_decision::store_unusable, "store_unusable"},
    }};
};

class claim_port {
public:
    virtual ~claim_port() = default;

    /// Asks for the claim. The answer comes through `call_engine::on_claim_decided`, possibly from
    /// inside this function.
    virtual void claim(call_id call, const std::string& service, const std::string& key) = 0;

    /// Gives a granted or pending claim back because the request was certainly not run, so that a
    /// later resend can run.
    virtual void release(call_id call) = 0;

    /// Forgets the call; its claim stays in force.
    virtual void keep(call_id call) = 0;
};

} // namespace anvilpost
