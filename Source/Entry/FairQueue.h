#pragma once

#include "Core/Time.h"
#include "Entry/EntryEvent.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Nutmegrill {

/// Request queue of one service with start-time fair queueing over the client accounts; the cost of
/// a request is its projected number of tokens. An account that uses less than its share is served
/// next, regardless of the backlog of the others.
class FairQueue
{
public:
    using CallerId = EntryEvent::CallerId;

    /// Without \a fairShares the queue is first in, first out.
    explicit FairQueue(bool fairShares = true) : fairShares(fairShares) {}

    void push(const std::string &account, std::uint32_t weight, CallerId caller,
              std::uint64_t cost);
    /// Puts back a request that startNext() removed.
    void pushFront(const std::string &account, std::uint32_t weight, CallerId caller,
                   std::uint64_t cost);
    void remove(const std::string &account, CallerId caller);

    /// Calls \a tryStart with the first request of each account, in order of virtual start, until
    /// it returns true, and removes that request. Returns whether a request was started.
    bool startNext(const std::function<bool(CallerId)> &tryStart);

    std::size_t size() const { return this->count; }
    /// Whether requests have waited throughout the current measuring window.
    bool isBacklogged() const { return this->rate.backloggedThroughout && this->count > 0; }
    std::size_t sizeOf(const std::string &account) const;

    /// Expected wait of another request; zero while the rate is unknown or the queue is empty.
    std::chrono::milliseconds expectedWait(const std::string &account, std::uint32_t weight,
                                           std::uint64_t cost) const;

    /// Updates the measured service rates.
    void tick(Instant now);

private:
    /// Service rate in tokens a second, measured only over windows in which requests waited
    /// throughout.
    struct Rate
    {
        double value = 0;
        bool isKnown = false;
        bool backloggedThroughout = false;
        std::uint64_t windowCost = 0;

        void endWindow(std::size_t waiting);
    };

    struct Item
    {
        CallerId caller = 0;
        std::uint64_t cost = 0;
    };

    struct Flow
    {
        std::deque<Item> items;
        std::uint64_t cost = 0;
        /// Start tag of the first item: the cost served so far divided by the weight, and at least
        /// minVirtualStart() when the flow became backlogged.
        std::uint64_t startTag = 0;
        std::uint32_t weight = 1;
        Rate rate;
    };

    using Flows = std::map<std::string, Flow>;

    Flow &flowFor(const std::string &account, std::uint32_t weight);
    static std::uint64_t virtualCost(const Flow &flow, std::uint64_t cost);
    /// Start tag of a flow that was idle for long.
    std::uint64_t minVirtualStart() const;
    void dequeue(Flow &flow);

    bool fairShares;
    Flows flows;
    /// Highest start tag of an item served so far.
    std::uint64_t virtualTime = 0;
    std::size_t count = 0;
    std::uint64_t totalCost = 0;

    Rate rate;
    Instant windowEnd;
};

} // namespace Nutmegrill
