#include "Relay/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Nutmegrill {

namespace {

/// Weight of the latest pause. The mean follows about the last twenty events, which an entry's
/// streams produce in half a second.
constexpr double SmoothingFactor = 0.08;
/// A stream is late by its longest pause, and all streams of a group see the same ones, so the
/// limit follows the longest pause of the last second rather than the mean: it falls when that
/// exceeds the target, and rises while it keeps a distance that absorbs the variation of single
/// steps.
constexpr double DecreaseThreshold = 0.97;
constexpr double IncreaseThreshold = 0.92;
constexpr std::chrono::milliseconds AdjustmentInterval{250};
constexpr std::uint32_t MinSamples = 8;
/// Limits of one decrease: a stall of a group is no sign of too many requests.
constexpr double MaxDecrease = 0.8;
constexpr double IncreaseStep = 0.03;
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
    const double present = this->longest.front();
    const double recent = *std::max_element(this->longest.begin(), this->longest.end());
    std::rotate(this->longest.begin(), std::prev(this->longest.end()), this->longest.end());
    this->longest.front() = 0;
    if (present > DecreaseThreshold)
        this->slotShare =
                std::max(this->slotShare * std::max(0.95 / present, MaxDecrease), MinShare);
    else if (recent < IncreaseThreshold)
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
