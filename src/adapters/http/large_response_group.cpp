// Creates libevent's rate-limit group for the first member and frees it with the last one.
#include "adapters/http/large_response_group.h"

#include <algorithm>

namespace anvilpost {

large_response_group::large_response_group(const event_loop& loop, double link_bytes_per_second) : loop_(loop)
{
    if (link_bytes_per_second <= 0) {
        return;
    }
    const double tick_seconds = std::chrono::duration<double>(tick).count();
    bytes_per_tick_ = std::max<std::size_t>(
        1, static_cast<std::size_t>(link_bytes_per_second * share_of_link * tick_seconds));
    const timeval tick_length = to_timeval(tick);
    // Reading is not limited: the close of a caller has to be noticed.
    limits_ = ev_token_bucket_cfg_new(EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, bytes_per_tick_,
                                      bytes_per_tick_ * burst_ticks, &tick_length);
}

large_response_group::~large_response_group()
{
    if (limiter_ != nullptr) {
        bufferevent_rate_limit_group_free(limiter_);
    }
    if (limits_ != nullptr) {
        ev_token_bucket_cfg_free(limits_);
    }
}

void large_response_group::enter(bufferevent* stream)
{
    ++members_;
    ++begun_;
    if (limits_ == nullptr) {
        return;
    }
    if (limiter_ == nullptr) {
        limiter_ = bufferevent_rate_limit_group_new(loop_.base(), limits_);
        bufferevent_rate_limit_group_set_min_share(limiter_, min_write_bytes);
    }
    bufferevent_add_to_rate_limit_group(stream, limiter_);
}

void large_response_group::leave(bufferevent* stream)
{
    --members_;
    if (limiter_ == nullptr) {
        return;
    }
    bufferevent_remove_from_rate_limit_group(stream);
    if (members_ == 0) {
        bufferevent_rate_limit_group_free(limiter_);
        limiter_ = nullptr;
    }
}

large_response_group::membership::membership(large_response_group& group, bufferevent* stream)
    : group_(group), stream_(stream)
{
    group_.enter(stream_);
}

large_response_group::membership::~membership()
{
    group_.leave(stream_);
}

} // namespace anvilpost
