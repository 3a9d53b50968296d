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

/// Queue of one service: weighted deficit round robin over the client accounts, in projected
/// tokens.
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
    std::size_t sizeOf(const std::string &account) const;

    /// Expected wait of a further request; zero while the rate is unknown or nothing waits.
    std::chrono::milliseconds expectedWait(const std::string &account, std::uint32_t weight,
                                           std::uint64_t cost) const;

    /// Updates the measured rate.
    void tick(Instant now);

private:
    struct Item
    {
        CallerId caller = 0;
        std::uint64_t cost = 0;
    };

    struct Lane
    {
        std::deque<Item> items;
        std::uint64_t cost = 0;
        std::uint64_t deficit = 0;
        std::uint32_t weight = 1;
    };

    using Lanes = std::map<std::string, Lane>;

    Lane &lane(const std::string &account, std::uint32_t weight);
    void advance();
    bool serve(Lanes::iterator lane, const std::function<bool(CallerId)> &place);

    bool fairShares;
    Lanes lanes;
    std::string cursor;
    bool visited = false;
    std::size_t count = 0;
    std::uint64_t totalCost = 0;

    /// Rate in tokens a second, measured only over windows in which requests waited throughout.
    double rate = 0;
    bool rateKnown = false;
    bool waitedThroughout = false;
    std::uint64_t windowCost = 0;
    Instant windowEnd;
};

} // namespace Nutmegrill
