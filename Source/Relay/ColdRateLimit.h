#pragma once

#include "Core/Time.h"
#include "Relay/SlidingWindowCounter.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Rate limit for a backend server in its warm-up: this entry's share of the requests per second
/// that the backend server can take from all entries together.
class ColdRateLimit
{
public:
    ColdRateLimit() : sent(std::chrono::seconds(1)) {}

    /// Counts one request; false when this entry's share of \a perSecond is used up.
    bool tryAcquire(Instant now, double perSecond, std::uint32_t entries);
    /// Whether one more request is within this entry's share.
    bool hasCapacity(Instant now, double perSecond, std::uint32_t entries);

private:
    SlidingWindowCounter sent;
};

} // namespace Nutmegrill
