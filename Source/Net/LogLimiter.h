#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace Nutmegrill {

/// Limits the number of log lines per second. Part of the limit is reserved for warnings and
/// errors, so that a burst of routine lines does not displace them.
class LogLimiter
{
public:
    /// Default limit, several times the peak of an entry in a full-day simulation (86 lines per
    /// second).
    static constexpr std::uint32_t DefaultLinesPerSecond = 400;
    /// The limit divided by this is the number of lines reserved for warnings and errors.
    static constexpr std::uint32_t UrgentReserveDivisor = 4;

    explicit LogLimiter(std::uint32_t linesPerSecond = DefaultLinesPerSecond)
        : limit(linesPerSecond)
    {}

    /// Returns whether a line may be written now, and counts it as written or dropped.
    bool admit(Instant now, bool isUrgent);

    /// Returns the lines dropped in completed one-second windows since the last call.
    std::uint32_t takeDropped();

private:
    std::uint32_t limit;
    Instant windowEnd;
    std::uint32_t written = 0;
    std::uint32_t dropped = 0;
    std::uint32_t droppedInPastWindows = 0;
};

} // namespace Nutmegrill
