#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct event_base;

namespace Nutmegrill {

/// The event loop of a process, based on libevent, and its monotonic clock.
class EventLoop
{
public:
    /// A registered timer or signal handler, which is cancelled on destruction.
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

    /// Time since this loop was created, on the monotonic clock.
    Instant now() const;

    /// Processes events until stop() is called.
    void run();

    /// Processes events until \a done returns true or \a timeout has passed. Returns the last
    /// result of \a done.
    bool runUntil(const std::function<bool()> &done, std::chrono::milliseconds timeout);

    void stop();

    /// Calls \a callback every \a period until the returned timer is destroyed.
    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> callback);

    /// Calls \a callback once from the event loop after \a delay.
    void after(std::chrono::milliseconds delay, std::function<void()> callback);

    /// Calls \a callback from the event loop on each \a signal until the returned handle is
    /// destroyed.
    std::unique_ptr<Timer> onSignal(int signal, std::function<void()> callback);

private:
    event_base *loop;
    std::map<std::uint64_t, std::unique_ptr<Timer>> oneShotTimers;
    std::uint64_t nextOneShotId = 1;
    std::chrono::steady_clock::time_point start;
};

} // namespace Nutmegrill
