#pragma once

#include "Core/Time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Adaptive limit on the concurrent requests of one backend server of a model service. The ranks of
/// a group step together, so each request and each unevenly loaded rank lengthens the pauses
/// between events for all streams of the group. The limit is lowered while the pauses come close to
/// their target, so that fewer streams run and these are on time, and raised again while they are
/// short.
class ConcurrencyLimit
{
public:
    /// An event of a stream was received \a pause after the previous one. \a target is the pause
    /// target of the route.
    void recordPause(Instant now, std::chrono::microseconds pause,
                     std::chrono::microseconds target);

    /// Which pauses the limit follows: their mean, or the longest ones.
    enum class Basis { Mean, Longest };

    /// Share of the slots that may be used.
    double share(Basis basis) const
    {
        return basis == Basis::Mean ? this->meanShare : this->longestShare;
    }
    /// Concurrent requests allowed at a backend server with \a slots.
    std::uint32_t limit(std::uint32_t slots, Basis basis = Basis::Mean) const;

    /// Smoothed pauses between events relative to their target; not below a minimum, since short
    /// pauses do not tell the groups apart.
    double pace() const;

private:
    void adjustToMean();
    void adjustToLongest();

    /// Smoothed ratio of pause to target.
    double pauseRatio = 0;
    /// Shares of the slots that may be used, by basis.
    double meanShare = 1;
    double longestShare = 1;
    /// Longest ratio of pause to target in the present interval and the ones before it.
    std::array<double, 4> longest{};
    Instant adjustedAt;
    std::uint32_t samples = 0;
};

} // namespace Nutmegrill
