#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct event_base;

namespace Nutmegrill {

/// The one libevent loop of a process, and its clock.
class EventLoop
{
public:
    /// Cancels its timer when destroyed.
    class Timer
    {
    public:
        virtual ~Timer() = default;
    };

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    event_base *base() const { return this->loop; }

    /// Time since the process started, on the monotonic clock.
    Instant now() const;

    /// Runs until stop().
    void run();

    /// Runs until \a done returns true or \a limit has passed; returns the last done().
    bool runUntil(const std::function<bool()> &done, std::chrono::milliseconds limit);

    void stop();

    /// Calls \a callback every \a period until the timer is destroyed.
    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> callback);

    /// Calls \a callback once after \a delay, from the loop.
    void after(std::chrono::milliseconds delay, std::function<void()> callback);

    /// Calls \a callback on a signal.
    std::unique_ptr<Timer> onSignal(int signal, std::function<void()> callback);

private:
    event_base *loop;
    std::map<std::uint64_t, std::unique_ptr<Timer>> once;
    std::uint64_t nextOnce = 1;
    std::chrono::steady_clock::time_point start;
};

} // namespace Nutmegrill
