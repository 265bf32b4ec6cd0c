// The large responses in progress on a node, which together get a part of the node's link, so that small
// responses are not delayed behind them.
#pragma once

#include "adapters/event/event_loop.h"

#include <cstdint>
#include <event2/bufferevent.h>

namespace anvilpost {

/// Limits the bytes written by its members, callers' connections, through a rate-limit group of libevent.
/// Invariant: the group, which wakes the process at each tick, exists only while there is a member and a
/// limit.
class large_response_group {
public:
    /// Part of the link that large responses get together.
    static constexpr double share_of_link = 0.7;
    /// Within a tick, the bytes of one tick go out at once; on the link they delay others by 7 ms at most.
    static constexpr duration tick = std::chrono::milliseconds(10);
    /// A loop that is late by one tick loses none of the link.
    static constexpr std::size_t burst_ticks = 2;
    /// Least number of bytes per write, about two full segments. Without it, many members would each write
    /// a few hundred bytes per tick.
    static constexpr std::size_t min_write_bytes = 2'800;

    /// `link_bytes_per_second` is the rate of the whole link; 0: no limit.
    large_response_group(const event_loop& loop, double link_bytes_per_second);
    large_response_group(const large_response_group&) = delete;
    large_response_group& operator=(const large_response_group&) = delete;
    ~large_response_group();

    /// Membership of a connection, from the head of a large response to its last byte.
    class membership {
    public:
        membership(large_response_group& group, bufferevent* stream);
        membership(const membership&) = delete;
        membership& operator=(const membership&) = delete;
        ~membership();

    private:
        large_response_group& group_;
        bufferevent* stream_;
    };

    [[nodiscard]] std::size_t members() const { return members_; }
    /// Number of large responses that were begun.
    [[nodiscard]] std::uint64_t begun() const { return begun_; }
    /// True while the process is woken at each tick.
    [[nodiscard]] bool ticking() const { return limiter_ != nullptr; }

private:
    void enter(bufferevent* stream);
    void leave(bufferevent* stream);

    const event_loop& loop_;
    std::size_t bytes_per_tick_ = 0; ///< Of all members together; 0: no limit.
    ev_token_bucket_cfg* limits_ = nullptr;
    bufferevent_rate_limit_group* limiter_ = nullptr;
    std::size_t members_ = 0;
    std::uint64_t begun_ = 0;
};

} // namespace anvilpost
