// Implements the event loop, the timers and the signal handlers on libevent.
#include "adapters/event/event_loop.h"

#include <stdexcept>

namespace anvilpost {

timeval to_timeval(duration length)
{
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    const std::int64_t count = std::max<std::int64_t>(0, length.count());
    return {count / microseconds_per_second, count % microseconds_per_second};
}

event_loop::event_loop()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_ = event_base_new_with_config(config);
    event_config_free(config);
    if (base_ == nullptr) {
        throw std::runtime_error("cannot create the libevent event base");
    }
    deferred_event_.reset(event_new(
        base_, -1, 0,
        [](evutil_socket_t, short, void* arg) { static_cast<event_loop*>(arg)->run_deferred(); }, this));
}

event_loop::~event_loop()
{
    while (!cleanups_.empty()) {
        const auto cleanup = std::move(cleanups_.front());
        cleanups_.pop_front();
        cleanup();
    }
    deferred_.clear();
    deferred_event_.reset();
    event_base_free(base_);
}

void event_loop::defer(std::function<void()> work)
{
    deferred_.push_back(std::move(work));
    event_active(deferred_event_.get(), EV_TIMEOUT, 0);
}

void event_loop::run_deferred()
{
    const auto due_work = std::move(deferred_);
    deferred_.clear();
    for (const auto& work : due_work) {
        work();
    }
}

event_loop::cleanup_id event_loop::add_cleanup(std::function<void()> cleanup)
{
    return cleanups_.insert(cleanups_.end(), std::move(cleanup));
}

void event_loop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base_);
}

timer::timer(const event_loop& loop, std::function<void()> callback) : callback_(std::move(callback))
{
    event_.reset(event_new(
        loop.base(), -1, 0, [](evutil_socket_t, short, void* arg) { static_cast<timer*>(arg)->callback_(); },
        this));
}

void timer::start(duration delay)
{
    const timeval length = to_timeval(delay);
    event_add(event_.get(), &length);
}

void timer::stop()
{
    event_del(event_.get());
}

signal_watch::signal_watch(const event_loop& loop, int signal_number, std::function<void()> callback)
    : callback_(std::move(callback))
{
    event_.reset(event_new(
        loop.base(), signal_number, EV_SIGNAL | EV_PERSIST,
        [](evutil_socket_t, short, void* arg) { static_cast<signal_watch*>(arg)->callback_(); }, this));
    event_add(event_.get(), nullptr);
}

} // namespace anvilpost
