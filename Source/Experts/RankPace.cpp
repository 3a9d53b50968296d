#include "Experts/RankPace.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// A shorter slowness is over before a change of map takes effect.
constexpr milliseconds ConfirmTime{400};
/// A rank that is slow again within this time has not recovered.
constexpr milliseconds RecoveryTime{1500};
/// Smaller changes are not told to others: they alter neither a plan nor a placement, and a pace
/// that is measured varies from report to report.
constexpr double MinChange = 0.2;

} // namespace

double RankPace::clamp(double pace)
{
    // The comparison is false for NaN too.
    return pace > 1 ? std::min(pace, MaxPace) : 1;
}

void RankPace::reported(Instant now, double pace)
{
    if (now >= this->reportedAt + MaxAge)
        *this = {};
    this->reportedAt = now;
    const double reported = clamp(pace);
    if (reported <= 1) {
        this->slowSince.reset();
        this->healthySince = this->healthySince.value_or(now);
        if (now >= *this->healthySince + RecoveryTime)
            this->counted = 1;
        return;
    }
    this->healthySince.reset();
    this->slowSince = this->slowSince.value_or(now);
    const bool isSlow = this->counted > 1;
    if ((!isSlow && now >= *this->slowSince + ConfirmTime)
        || (isSlow && std::abs(reported - this->counted) > MinChange * this->counted))
        this->counted = reported;
}

double RankPace::at(Instant now) const
{
    return now < this->reportedAt + MaxAge ? this->counted : 1;
}

} // namespace Nutmegrill
