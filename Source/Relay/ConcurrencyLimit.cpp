#include "Relay/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

/// Weight of the latest pause. The mean follows about the last twenty events, which an entry's
/// streams produce in half a second.
constexpr double SmoothingFactor = 0.08;
/// Ratios of pause to target above which the limit falls and below which it rises. The gap between
/// them absorbs the variation by a single uneven step.
constexpr double DecreaseThreshold = 0.82;
constexpr double IncreaseThreshold = 0.68;
constexpr std::chrono::milliseconds AdjustmentInterval{250};
constexpr std::uint32_t MinSamples = 8;
constexpr double DecreaseFactor = 0.85;
constexpr double IncreaseStep = 0.06;
/// With fewer than about a third of its slots in use, the fixed cost of a group's steps dominates.
constexpr double MinShare = 0.35;
constexpr double MinPace = 0.3;

} // namespace

void ConcurrencyLimit::recordPause(Instant now, std::chrono::microseconds pause,
                                   std::chrono::microseconds target)
{
    if (target <= std::chrono::microseconds(0))
        return;
    const double latest = static_cast<double>(pause.count()) / static_cast<double>(target.count());
    this->pauseRatio += SmoothingFactor * (std::min(latest, 3.0) - this->pauseRatio);
    ++this->samples;
    if (this->samples < MinSamples || now < this->adjustedAt + AdjustmentInterval)
        return;
    this->adjustedAt = now;
    this->samples = 0;
    if (this->pauseRatio > DecreaseThreshold)
        this->slotShare = std::max(this->slotShare * DecreaseFactor, MinShare);
    else if (this->pauseRatio < IncreaseThreshold)
        this->slotShare = std::min(this->slotShare + IncreaseStep, 1.0);
}

double ConcurrencyLimit::pace() const
{
    return std::max(this->pauseRatio, MinPace);
}

std::uint32_t ConcurrencyLimit::limit(std::uint32_t slots) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::lround(this->slotShare * slots)));
}

} // namespace Nutmegrill
