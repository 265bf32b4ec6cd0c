// Authentication of callers: finds the organisation whose key a request shows, and removes the headers that
// upstreams must not get from callers.
#pragma once

#include "adapters/http/header_names.h"
#include "adapters/http/outgoing_request.h"
#include "core/organisations/organisation_directory.h"

namespace anvilpost {

/// Result of authenticating one request.
struct authentication {
    bool accepted_ = true;
    std::optional<key_digest> key_{};
    const organisation_directory::entry* organisation_ = nullptr; ///< Empty for an anonymous caller.
};

/// Authenticates `request` and removes its Authorization header, its digest from another node and what it
/// says of its organisation. Does nothing while no keys are required. `forwarded`: another node sent the
/// request; only then is a digest accepted in place of a key.
authentication authenticate(outgoing_request& request, const organisation_directory& organisations,
                            const header_names& names, bool allow_anonymous, bool forwarded);

} // namespace anvilpost
