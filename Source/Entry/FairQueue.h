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

/// Queue of one service: start-time fair queueing over the client accounts, in projected tokens. An
/// account that uses less than its share is served next, whatever the others have queued.
class FairQueue
{
public:
    using CallerId = EntryEvent::CallerId;

    /// With \a fairShares false the queue is first in, first out.
    explicit FairQueue(bool fairShares = true) : fairShares(fairShares) {}

    void push(const std::string &account, std::uint32_t weight, CallerId caller,
              std::uint64_t cost);
    /// Puts a request back that was taken before.
    void pushFront(const std::string &account, std::uint32_t weight, CallerId caller,
                   std::uint64_t cost);
    void remove(const std::string &account, CallerId caller);

    /// Offers requests to \a place in their order until it accepts one. Returns whether one was
    /// accepted. An account whose first request is not accepted is passed over.
    bool take(const std::function<bool(CallerId)> &place);

    std::size_t size() const { return this->count; }
    /// Requests have waited throughout the present window of the rate.
    bool isBacklogged() const { return this->rate.waitedThroughout && this->count > 0; }
    std::size_t sizeOf(const std::string &account) const;

    /// Expected wait of a further request; zero while the rate is unknown or nothing waits.
    std::chrono::milliseconds expectedWait(const std::string &account, std::uint32_t weight,
                                           std::uint64_t cost) const;

    /// Updates the measured rate.
    void tick(Instant now);

private:
    /// Rate in tokens a second, measured only over windows in which requests waited throughout.
    struct Rate
    {
        double value = 0;
        bool isKnown = false;
        bool waitedThroughout = false;
        std::uint64_t windowCost = 0;

        void close(std::size_t waiting);
    };

    struct Item
    {
        CallerId caller = 0;
        std::uint64_t cost = 0;
    };

    struct Lane
    {
        std::deque<Item> items;
        std::uint64_t cost = 0;
        /// Virtual start of the first item: what the account was given so far, relative to its
        /// weight, and not less than earliestStart() when it began to wait.
        std::uint64_t start = 0;
        std::uint32_t weight = 1;
        Rate rate;
    };

    using Lanes = std::map<std::string, Lane>;

    Lane &lane(const std::string &account, std::uint32_t weight);
    static std::uint64_t virtualCost(const Lane &lane, std::uint64_t cost);
    /// Virtual start of an account that was idle for long.
    std::uint64_t earliestStart() const;
    void serve(Lane &lane);

    bool fairShares;
    Lanes lanes;
    /// Start of the item served last.
    std::uint64_t virtualTime = 0;
    std::size_t count = 0;
    std::uint64_t totalCost = 0;

    Rate rate;
    Instant windowEnd;
};

} // namespace Nutmegrill
