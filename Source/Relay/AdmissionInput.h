#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Nutmegrill {

/// Inputs of the decision whether a waiting request is refused, see reasonToRefuse().
struct AdmissionInput
{
    Instant now;
    Instant arrivedAt;
    /// The caller's deadline or the route's timeout, whichever is earlier.
    Instant deadline;
    bool isStream = false;
    std::chrono::milliseconds latencyTarget{0};
    /// Slots of all usable backend servers of the service.
    std::uint32_t slots = 0;
    /// Expected time from sending the request to its answer, or to the first event.
    std::chrono::microseconds expectedDelay{0};
    /// Expected time until a slot becomes free for the request.
    std::chrono::milliseconds expectedWait{0};
    /// Since when the circuit breaker of the service is open.
    std::optional<Instant> outageSince;
};

} // namespace Nutmegrill
