#include "Relay/ServiceLoad.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

/// Weight of the latest request in the smoothed time.
constexpr double LatestWeight = 0.05;
/// A wait that is not limited by any free place is stated as this.
constexpr std::chrono::milliseconds LongestWait = std::chrono::minutes(1);

void smooth(std::chrono::microseconds &mean, std::chrono::microseconds latest)
{
    mean += std::chrono::microseconds(
            static_cast<std::int64_t>(LatestWeight * static_cast<double>((latest - mean).count())));
}

} // namespace

void ServiceLoad::noteHold(std::chrono::microseconds time)
{
    smooth(this->hold, time);
}

void ServiceLoad::noteDelay(std::chrono::microseconds time)
{
    smooth(this->delay, time);
}

std::chrono::milliseconds ServiceLoad::expectedWait(std::uint32_t ahead, std::uint32_t places,
                                                    double share) const
{
    if (places == 0 || share <= 0)
        return LongestWait;
    const double perPlace = std::chrono::duration<double, std::milli>(this->hold).count() / places;
    const double wait = perPlace * (ahead + 1) / share;
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(std::min(wait, static_cast<double>(LongestWait.count()))));
}

} // namespace Nutmegrill
