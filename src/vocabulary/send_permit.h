// Proof that the rules about an upstream were asked before a request is sent to it. Orders for requests and
// probes contain one, so code that sends without asking does not compile.
#pragma once

namespace anvilpost {

/// Obtained from the `send_gate` of the upstream.
class send_permit {
public:
    /// For a request to another node of the fleet, which asks the gates of its upstreams itself.
    static send_permit to_peer() { return {}; }

    bool operator==(const send_permit&) const = default;

private:
    friend class send_gate;
    send_permit() = default;
};

} // namespace anvilpost
