// The single-threaded event loop of a process, with timers, deferred work and signal handlers, on libevent;
// and the clocks and the random source that the operating system provides.
#pragma once

#include "ports/clock_port.h"
#include "ports/random_port.h"

#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <vector>

namespace anvilpost {

struct event_deleter {
    void operator()(event* e) const { event_free(e); }
};
using event_ptr = std::unique_ptr<event, event_deleter>;

/// Converts a duration for libevent. A negative duration becomes zero.
timeval to_timeval(duration length);

/// Owns a libevent event base. Every event registered with it must be destroyed before the loop.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    [[nodiscard]] event_base* base() const { return base_; }

    /// Schedules `work` to run once, after the current callback has returned. Work that has not run when the
    /// loop is destroyed is discarded.
    void defer(std::function<void()> work);

    /// Registers `cleanup` to run when the loop is destroyed. `remove_cleanup` removes it again; an id is
    /// valid until then.
    using cleanup_id = std::list<std::function<void()>>::iterator;
    cleanup_id add_cleanup(std::function<void()> cleanup);
    void remove_cleanup(cleanup_id id) { cleanups_.erase(id); }

    /// Processes events until `stop` is called, also while no event is registered.
    void run();
    void stop();

private:
    void run_deferred();

    event_base* base_;
    std::vector<std::function<void()>> deferred_;
    event_ptr deferred_event_;
    std::list<std::function<void()>> cleanups_;
};

/// A one-shot timer: calls back once after each `start`, unless it is stopped or destroyed first.
/// Starting a running timer sets its delay anew.
class timer {
public:
    timer(const event_loop& loop, std::function<void()> callback);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer() = default;

    void start(duration delay);
    void stop();

private:
    std::function<void()> callback_;
    event_ptr event_;
};

/// Calls back from the event loop each time the process receives the given POSIX signal.
class signal_watch {
public:
    signal_watch(const event_loop& loop, int signal_number, std::function<void()> callback);
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch() = default;

private:
    std::function<void()> callback_;
    event_ptr event_;
};

/// The monotonic clock of the operating system; it does not advance while the machine is suspended.
class steady_clock : public clock_port {
public:
    [[nodiscard]] time_point now() const override
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return time_point(std::chrono::duration_cast<duration>(since_start));
    }
};

/// The steady clock plus the time for which the machine was suspended, so that the age of a node's data is
/// never understated. The suspended time is cached, since reading CLOCK_BOOTTIME costs a system call.
class boot_clock : public clock_port {
public:
    boot_clock() { detect_suspension(); }

    [[nodiscard]] time_point now() const override { return steady_.now() + suspended_; }

    /// Updates the cached suspended time. Must be called at the start of an event, before the age of any
    /// data is computed.
    void detect_suspension()
    {
        timespec since_boot{};
        clock_gettime(CLOCK_BOOTTIME, &since_boot);
        const auto boot_time =
            std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec);
        const auto difference =
            std::chrono::duration_cast<duration>(boot_time) - steady_.now().time_since_epoch();
        // The two clocks are read microseconds apart; a larger difference is a suspension.
        if (difference - suspended_ > min_suspension) {
            suspended_ = difference;
        }
    }

private:
    static constexpr duration min_suspension = std::chrono::milliseconds(1);

    steady_clock steady_;
    duration suspended_{};
};

/// Pseudo-random numbers (Mersenne Twister) seeded by the operating system; not for secrets.
class system_random : public random_port {
public:
    system_random() : generator_(std::random_device{}()) {}
    std::uint64_t next() override { return generator_(); }

private:
    std::mt19937_64 generator_;
};

} // namespace anvilpost
