#pragma once

#include <chrono>

namespace Nutmegrill {

/// Clock of the decision logic. It has no now(): callers pass the current time, so that decisions
/// can be replayed from recorded events.
struct VirtualClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<VirtualClock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time, in microseconds since the process started (or since the recorded session
/// began).
using Instant = VirtualClock::time_point;

/// Deadline that never passes.
inline constexpr Instant NoDeadline = Instant::max();

} // namespace Nutmegrill
