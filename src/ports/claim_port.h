// Port through which the core claims the exclusive right to forward an unrepeatable request, so that no two
// nodes run it. A claim is identified by the service and the request's idempotency key.
#pragma once

#include "vocabulary/call.h"

namespace anvilpost {

/// Outcome of a request for a claim.
enum class claim_decision {
    granted,        ///< This call, and no other in the fleet, may forward the request.
    duplicate,      ///< The key was claimed before, and the request of that claim may have run.
    key_expired,    ///< The key is older than claims are kept, so an earlier run cannot be ruled out.
    store_unusable, ///< The claim could not be stored or confirmed; the request was not run.
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

    /// Requests a claim. The decision is delivered through `call_engine::on_claim_decided`, possibly before
    /// this function returns.
    virtual void claim(call_id call, const std::string& service, const std::string& key) = 0;

    /// Releases a granted or pending claim because the request was certainly not run, so that a later
    /// resend can run.
    virtual void release(call_id call) = 0;

    /// Ends the tracking of a call whose request may have run; its claim stays in force.
    virtual void keep(call_id call) = 0;
};

} // namespace anvilpost
