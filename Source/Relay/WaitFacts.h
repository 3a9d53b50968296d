#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Nutmegrill {

/// What decides whether a waiting request is turned away.
struct WaitFacts
{
    Instant now;
    Instant arrivedAt;
    /// The final answer is due: the caller's deadline or the route's time limit.
    Instant deadline;
    bool isStream = false;
    std::chrono::milliseconds latencyTarget{0};
    /// Requests that the usable backend servers of the service run at once.
    std::uint32_t places = 0;
    /// Time from its place to its answer, or to the first event of it.
    std::chrono::microseconds expectedDelay{0};
    /// Time until a place is expected for it.
    std::chrono::milliseconds expectedWait{0};
    /// Since when all backend servers of the service turn requests away.
    std::optional<Instant> outageSince;
};

} // namespace Nutmegrill
