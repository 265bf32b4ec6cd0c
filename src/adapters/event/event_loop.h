// The process's single event loop, with timers, deferred work and signals, on libevent.
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

timeval to_timeval(duration length);

/// Owns an event base. Everything registered with it must be destroyed before it.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    [[nodiscard]] event_base* base() const { return base_; }

    /// Runs `work` once, soon, outside of the current callback. Work still waiting when the loop is
    /// destroyed is dropped.
    void defer(std::function<void()> work);

    /// Runs `cleanup` when the loop is destroyed, unless it is forgotten first.
    using cleanup_id = std::list<std::function<void()>>::iterator;
    cleanup_id add_cleanup(std::function<void()> cleanup);
    void forget_cleanup(cleanup_id id) { cleanups_.erase(id); }

    /// Runs until `stop`.
    void run();
    void stop();

private:
    void run_deferred();

    event_base* base_;
    std::vector<std::function<void()>> deferred_;
    event_ptr deferred_event_;
    std::list<std::function<void()>> cleanups_;
};

/// A timer that calls back once per `start` (or at each period for `every`) until destroyed.
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

/// Calls back at each delivery of a POSIX signal.
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

/// The steady clock of the operating system.
class steady_clock : public clock_port {
public:
    [[nodiscard]] time_point now() const override
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return time_point(std::chrono::duration_cast<duration>(since_start));
    }
};

/// The steady clock plus the time in which the machine was suspended, so that the age of what a node knows
/// is never understated. Asking the operating system for both each time would cost a system call.
class boot_clock : public clock_port {
public:
    boot_clock() { detect_suspension(); }

    [[nodiscard]] time_point now() const override { return steady_.now() + suspended_; }

    /// Must be called before the age of anything is judged, at the start of an event.
    void detect_suspension()
    {
        timespec since_boot{};
        clock_gettime(CLOCK_BOOTTIME, &since_boot);
        const auto exact =
            std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec);
        const auto difference =
            std::chrono::duration_cast<duration>(exact) - steady_.now().time_since_epoch();
        // The two readings are microseconds apart; a suspension is longer.
        if (difference - suspended_ > shortest_suspension) {
            suspended_ = difference;
        }
    }

private:
    static constexpr duration shortest_suspension = std::chrono::milliseconds(1);

    steady_clock steady_;
    duration suspended_{};
};

/// Randomness seeded by the operating system.
class system_random : public random_port {
public:
    system_random() : generator_(std::random_device{}()) {}
    std::uint64_t next() override { return generator_(); }

private:
    std::mt19937_64 generator_;
};

} // namespace anvilpost
