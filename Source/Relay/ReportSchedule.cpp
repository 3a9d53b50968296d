#include "Relay/ReportSchedule.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinPeriod{100};
/// Silent entries have to be noticed within seconds.
constexpr milliseconds MaxPeriod{1000};
/// Bounds the reports that an entry receives in a second while the period grows.
constexpr milliseconds PeriodPerEntry{7};
constexpr std::size_t MaxEntries = 1'000'000;
constexpr int UrgentDivisor = 4;
/// A tick may come a little early.
constexpr milliseconds TickTolerance{50};
} // namespace

milliseconds ReportSchedule::period(std::size_t entries)
{
    return std::clamp<milliseconds>(
            PeriodPerEntry * static_cast<int>(std::min(entries, MaxEntries)), MinPeriod, MaxPeriod);
}

bool ReportSchedule::isUrgent(const Facts &facts) const
{
    return facts.hasNews || facts.isServing != this->sent->isServing
           || facts.hasStoreReturned != this->sent->hasStoreReturned
           || (facts.watchesStore && facts.known != this->sent->known);
}

bool ReportSchedule::isDue(Instant now, std::size_t entries, const Facts &facts)
{
    const bool isFirst = !this->sent || facts.isLeaving != this->sent->isLeaving;
    if (!isFirst && now < this->nextAt && (now < this->nextUrgentAt || !this->isUrgent(facts)))
        return false;
    this->nextAt = now + period(entries) - TickTolerance;
    this->nextUrgentAt = now + period(entries) / UrgentDivisor - TickTolerance;
    this->sent = facts;
    return true;
}

} // namespace Nutmegrill
