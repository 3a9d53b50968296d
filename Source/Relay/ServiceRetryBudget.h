#pragma once

#include "Core/Time.h"
#include "Relay/SlidingWindowCounter.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Retry budget of one service: this entry's share of the limit on repeats. All entries together
/// stay below the limit, because each uses the ratio for its own requests and an equal part of the
/// fixed allowance.
class ServiceRetryBudget
{
public:
    struct Limit
    {
        /// Repeats allowed per first attempt of a request.
        double ratio = 0.2;
        /// Further repeats allowed for all entries together within a window.
        double allowance = 0;
    };

    ServiceRetryBudget(const Limit &limit, std::chrono::microseconds window);

    void setLimit(const Limit &fresh) { this->limit = fresh; }

    void recordRequest(Instant now) { this->requests.add(now); }

    /// Whether one more repeat is within this entry's budget.
    bool hasCapacity(Instant now, std::uint32_t entries);

    /// Counts one repeat; false when this entry's budget is used up.
    bool tryAcquire(Instant now, std::uint32_t entries);

private:
    Limit limit;
    SlidingWindowCounter requests;
    SlidingWindowCounter repeats;
};

} // namespace Nutmegrill
