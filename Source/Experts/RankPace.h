#pragma once

#include "Core/Time.h"

#include <chrono>
#include <optional>

namespace Nutmegrill {

/// Pace of one rank: the factor by which it is slower than the other ranks of its group, from the
/// reports of its engine. Load pattern: one rank of a large group is several times slower for some
/// seconds, and all ranks wait for it in each step. A change of map takes about a second, so the
/// pace counts only after it has lasted.
class RankPace
{
public:
    static constexpr double MaxPace = 100;
    /// A figure older than this counts as 1.
    static constexpr std::chrono::milliseconds MaxAge{2000};

    /// A value that may come from a report, limited to 1 to MaxPace.
    static double clamp(double pace);

    void reported(Instant now, double pace);

    /// The pace that counts now.
    double at(Instant now) const;

    /// Whether a slow report waits to be confirmed by the next ones.
    bool isPending() const { return this->slowSince && this->counted <= 1; }

private:
    double counted = 1;
    std::optional<Instant> slowSince;
    std::optional<Instant> healthySince;
    Instant reportedAt;
};

} // namespace Nutmegrill
