#include "Relay/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Nutmegrill {

namespace {

/// Weight of the latest pause. The mean follows about the last twenty events, which an entry's
/// streams produce in half a second.
constexpr double SmoothingFactor = 0.08;
constexpr std::chrono::milliseconds AdjustmentInterval{250};
constexpr std::uint32_t MinSamples = 8;

/// Ratios of the mean pause to the target above which the limit falls and below which it rises. The
/// gap between them absorbs the variation by a single uneven step.
constexpr double MeanDecreaseThreshold = 0.82;
constexpr double MeanIncreaseThreshold = 0.68;
constexpr double MeanDecreaseFactor = 0.85;
constexpr double MeanIncreaseStep = 0.06;

/// The same for the longest pause. A stream is late by its longest pause, and all streams of a
/// group see the same ones; the distance to the target absorbs the variation of the steps.
constexpr double LongestDecreaseThreshold = 0.93;
constexpr double LongestIncreaseThreshold = 0.86;
constexpr double LongestTarget = 0.9;
/// A stall of a group is no sign of too many requests.
constexpr double LongestMinFactor = 0.8;
constexpr double LongestIncreaseStep = 0.03;

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
    this->longest.front() = std::max(this->longest.front(), latest);
    ++this->samples;
    if (this->samples < MinSamples || now < this->adjustedAt + AdjustmentInterval)
        return;
    this->adjustedAt = now;
    this->samples = 0;
    this->adjustToMean();
    this->adjustToLongest();
}

void ConcurrencyLimit::adjustToMean()
{
    if (this->pauseRatio > MeanDecreaseThreshold)
        this->meanShare = std::max(this->meanShare * MeanDecreaseFactor, MinShare);
    else if (this->pauseRatio < MeanIncreaseThreshold)
        this->meanShare = std::min(this->meanShare + MeanIncreaseStep, 1.0);
}

void ConcurrencyLimit::adjustToLongest()
{
    const double present = this->longest.front();
    const double recent = *std::max_element(this->longest.begin(), this->longest.end());
    std::rotate(this->longest.begin(), std::prev(this->longest.end()), this->longest.end());
    this->longest.front() = 0;
    if (present > LongestDecreaseThreshold)
        this->longestShare = std::max(
                this->longestShare * std::max(LongestTarget / present, LongestMinFactor), MinShare);
    else if (recent < LongestIncreaseThreshold)
        this->longestShare = std::min(this->longestShare + LongestIncreaseStep, 1.0);
}

double ConcurrencyLimit::pace() const
{
    return std::max(this->pauseRatio, MinPace);
}

std::uint32_t ConcurrencyLimit::limit(std::uint32_t slots, Basis basis) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::lround(this->share(basis) * slots)));
}

} // namespace Nutmegrill
