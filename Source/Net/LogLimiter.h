#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace Nutmegrill {

/// Bounds the log lines of a second. Warnings and errors have a reserve, so that a burst of routine
/// lines does not push them out.
class LogLimiter
{
public:
    /// Lines a second. The busiest entry of a played day wrote 86 in one second.
    static constexpr std::uint32_t LinesPerSecond = 400;
    /// One line in this many is kept for warnings and errors.
    static constexpr std::uint32_t ReservedPart = 4;

    explicit LogLimiter(std::uint32_t linesPerSecond = LinesPerSecond) : limit(linesPerSecond) {}

    /// Whether a line may be written now.
    bool admit(Instant now, bool isUrgent);

    /// Lines left out in the last complete second; 0 after it was read.
    std::uint32_t takeDropped();

private:
    std::uint32_t limit;
    Instant windowEnd;
    std::uint32_t written = 0;
    std::uint32_t dropped = 0;
    std::uint32_t droppedBefore = 0;
};

} // namespace Nutmegrill
