#pragma once

#include <chrono>

namespace Nutmegrill {

/// Clock of the decision logic. It has no now(): the caller passes the present instant in, which
/// makes every decision repeatable from recorded events.
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

/// Deadline of an entry that never expires.
inline constexpr Instant NoDeadline = Instant::max();

} // namespace Nutmegrill
