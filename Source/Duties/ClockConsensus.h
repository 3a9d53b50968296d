#pragma once

#include "Core/Time.h"

#include <chrono>
#include <map>
#include <string>

namespace Nutmegrill {

/// True time, as the median of the clocks of all entries: the time of day of single instances may
/// be wrong, or jump.
class ClockConsensus
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    /// The clock of an instance showed that time now.
    void observe(Instant now, const std::string &instance, WallTime shown);

    /// \a shown is the time on the clock of this instance.
    WallTime trueTime(Instant now, WallTime shown) const;

    void tick(Instant now);

private:
    struct Row
    {
        /// Time of the clock when this process started.
        WallTime atStart;
        Instant observedAt;
    };

    std::map<std::string, Row> rows;
};

} // namespace Nutmegrill
