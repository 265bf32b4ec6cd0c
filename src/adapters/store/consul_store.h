// Client of the platform's key-value store, which offers a subset of Consul's HTTP API: reads,
// compare-and-swap writes (`?cas=`) and blocking queries. See
// https://developer.hashicorp.com/consul/api-docs/kv.
#pragma once

#include "adapters/http/http_fetch.h"
#include "ports/key_value_port.h"

namespace anvilpost {

struct consul_address {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// Each operation is one HTTP request; the request of a watch stays open until the value changes or the
/// longest wait is over.
class consul_store : public key_value_port {
public:
    consul_store(event_loop& loop, consul_address address) : loop_(loop), address_(std::move(address)) {}

    void read(const std::string& key, read_callback done) override;
    void watch(const std::string& key, std::uint64_t version, duration longest, read_callback done) override;
    void compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                          write_callback done) override;

    /// Counts a request that other code sent to the platform, so that `calls` includes it.
    void count_call() { ++calls_; }

    /// Returns the number of requests sent so far, a watch as one, as the platform counts them.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void get(const std::string& target, duration timeout, read_callback done);

    event_loop& loop_;
    consul_address address_;
    std::uint64_t calls_ = 0;
};

} // namespace anvilpost
