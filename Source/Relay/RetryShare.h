#pragma once

#include "Core/Time.h"
#include "Relay/SlidingCount.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// This entry's part of the limit on requests that are sent once more. All entries together stay
/// below the limit, because each takes the ratio of its own requests and an equal part of the fixed
/// allowance.
class RetryShare
{
public:
    struct Limit
    {
        /// Repeats allowed for each first request.
        double ratio = 0.2;
        /// Repeats allowed besides, for all entries together.
        double allowance = 0;
    };

    RetryShare(const Limit &limit, std::chrono::microseconds window);

    void setLimit(const Limit &fresh) { this->limit = fresh; }

    void noteFirst(Instant now) { this->first.add(now); }

    /// Takes one repeat; false when this entry's part is used up.
    bool take(Instant now, std::uint32_t entries);

private:
    Limit limit;
    SlidingCount first;
    SlidingCount repeats;
};

} // namespace Nutmegrill
