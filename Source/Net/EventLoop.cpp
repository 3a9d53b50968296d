#include "Net/EventLoop.h"

#include <csignal>
#include <utility>

#include <event2/event.h>

namespace Nutmegrill {

namespace {

timeval toTimeval(std::chrono::microseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {static_cast<time_t>(seconds.count()),
            static_cast<suseconds_t>((duration - seconds).count())};
}

class EventTimer : public EventLoop::Timer
{
public:
    EventTimer(event_base *base, int fd, short flags, std::function<void()> callback)
        : callback(std::move(callback)), source(event_new(base, fd, flags, &EventTimer::fire, this))
    {}

    ~EventTimer() override { event_free(this->source); }

    void add(const timeval *period) { event_add(this->source, period); }

private:
    static void fire(evutil_socket_t, short, void *self)
    {
        static_cast<EventTimer *>(self)->callback();
    }

    std::function<void()> callback;
    event *source;
};

} // namespace

EventLoop::EventLoop() : loop(event_base_new()), start(std::chrono::steady_clock::now())
{
    // Writing to a connection that the peer has closed must fail instead of raising SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    // Pending callbacks may own connections, which have to be freed before the event base.
    this->oneShotTimers.clear();
    event_base_free(this->loop);
}

Instant EventLoop::now() const
{
    return Instant(std::chrono::duration_cast<Instant::duration>(std::chrono::steady_clock::now()
                                                                 - this->start));
}

void EventLoop::run()
{
    event_base_loop(this->loop, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool EventLoop::runUntil(const std::function<bool()> &done, std::chrono::milliseconds timeout)
{
    static constexpr std::chrono::milliseconds PollPeriod(10);
    const Instant deadline = this->now() + timeout;
    const auto timer = this->every(PollPeriod, [] {});
    while (!done() && this->now() < deadline)
        event_base_loop(this->loop, EVLOOP_ONCE);
    return done();
}

void EventLoop::stop()
{
    event_base_loopbreak(this->loop);
}

std::unique_ptr<EventLoop::Timer> EventLoop::every(std::chrono::milliseconds period,
                                                   std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(this->loop, -1, EV_PERSIST, std::move(callback));
    const timeval interval = toTimeval(period);
    timer->add(&interval);
    return timer;
}

void EventLoop::after(std::chrono::milliseconds delay, std::function<void()> callback)
{
    const std::uint64_t id = this->nextOneShotId++;
    auto timer = std::make_unique<EventTimer>(
            this->loop, -1, 0, [this, id, callback = std::move(callback)] {
                // Keeps the timer alive until its callback
                // has returned.
                const auto running = this->oneShotTimers.extract(id);
                callback();
            });
    const timeval interval = toTimeval(delay);
    timer->add(&interval);
    this->oneShotTimers.emplace(id, std::move(timer));
}

std::unique_ptr<EventLoop::Timer> EventLoop::onSignal(int signal, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(this->loop, signal, EV_SIGNAL | EV_PERSIST,
                                              std::move(callback));
    timer->add(nullptr);
    return timer;
}

} // namespace Nutmegrill
