#include "Relay/PaceLimit.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

/// Pauses of some twenty events, about half a second of an entry's streams, weigh most.
constexpr double LatestWeight = 0.08;
/// The limit falls above the first ratio of pause to target and rises below the second. Between
/// them lies what one uneven step adds.
constexpr double FallAbove = 0.82;
constexpr double RiseBelow = 0.68;
constexpr std::chrono::milliseconds AdjustPeriod{250};
constexpr std::uint32_t LeastSamples = 8;
constexpr double FallFactor = 0.85;
constexpr double RiseStep = 0.06;
/// Below a third of its places a group wastes the fixed part of its steps.
constexpr double LeastShare = 0.35;

} // namespace

void PaceLimit::notePause(Instant now, std::chrono::microseconds pause,
                          std::chrono::microseconds target)
{
    if (target <= std::chrono::microseconds(0))
        return;
    const double latest = static_cast<double>(pause.count()) / static_cast<double>(target.count());
    this->ratio += LatestWeight * (std::min(latest, 3.0) - this->ratio);
    ++this->samples;
    if (this->samples < LeastSamples || now < this->adjustedAt + AdjustPeriod)
        return;
    this->adjustedAt = now;
    this->samples = 0;
    if (this->ratio > FallAbove)
        this->share = std::max(this->share * FallFactor, LeastShare);
    else if (this->ratio < RiseBelow)
        this->share = std::min(this->share + RiseStep, 1.0);
}

std::uint32_t PaceLimit::limit(std::uint32_t slots) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::lround(this->share * slots)));
}

} // namespace Nutmegrill
