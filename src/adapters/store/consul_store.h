// The platform's key-value service through the subset of Consul's published HTTP API that has its
// powers: https://developer.hashicorp.com/consul/api-docs/kv (reads, `?cas=`, blocking queries).
#pragma once

#include "adapters/http/http_fetch.h"
#include "ports/key_value_port.h"

namespace anvilpost {

struct consul_address {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// Each call is one HTTP request; a watch is one that stays open.
class consul_store : public key_value_port {
public:
    consul_store(event_loop& loop, consul_address address) : loop_(loop), address_(std::move(address)) {}

    void read(const std::string& key, read_callback done) override;
    void watch(const std::string& key, std::uint64_t version, duration longest, read_callback done) override;
    void compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                          write_callback done) override;

    /// Counts a request to the platform that went past this class.
    void count_call() { ++calls_; }

    /// Requests sent so far; the platform counts each, a waiting watch as one.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void get(const std::string& target, duration timeout, read_callback done);

    event_loop& loop_;
    consul_address address_;
    std::uint64_t calls_ = 0;
};

} // namespace anvilpost
