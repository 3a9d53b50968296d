#include "Relay/ServiceWaitEstimator.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

/// Weight of the latest request in the smoothed times.
constexpr double SmoothingFactor = 0.05;
/// Upper bound of the expected wait, also used when no slot will become free.
constexpr std::chrono::milliseconds MaxWait = std::chrono::minutes(1);

void smooth(std::chrono::microseconds &mean, std::chrono::microseconds latest)
{
    mean += std::chrono::microseconds(static_cast<std::int64_t>(
            SmoothingFactor * static_cast<double>((latest - mean).count())));
}

} // namespace

void ServiceWaitEstimator::recordHoldTime(std::chrono::microseconds time)
{
    smooth(this->holdTime, time);
}

void ServiceWaitEstimator::recordDelay(std::chrono::microseconds time)
{
    smooth(this->delayDeviation, std::chrono::abs(time - this->delay));
    smooth(this->delay, time);
}

std::chrono::milliseconds
ServiceWaitEstimator::expectedWait(std::uint32_t ahead, std::uint32_t slots, double share) const
{
    if (slots == 0 || share <= 0)
        return MaxWait;
    const double timePerSlot =
            std::chrono::duration<double, std::milli>(this->holdTime).count() / slots;
    const double wait = timePerSlot * (ahead + 1) / share;
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(std::min(wait, static_cast<double>(MaxWait.count()))));
}

} // namespace Nutmegrill
