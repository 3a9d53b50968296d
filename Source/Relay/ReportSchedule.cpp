#include "Relay/ReportSchedule.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinPeriod{100};
/// Silent entries have to be noticed within seconds.
constexpr milliseconds MaxPeriod{1000};
/// Reports that an entry receives in a second while the period grows: about 140.
constexpr milliseconds PeriodPerEntry{7};
constexpr std::size_t MaxEntries = 1'000'000;
constexpr int UrgentDivisor = 4;
/// A tick may come a little early.
constexpr milliseconds TickTolerance{50};
/// News of a kind in one report, so that it fits a packet.
constexpr std::size_t MaxNews = 16;

/// Adds the kept news that the report does not replace.
template <typename News, typename IsSame>
void addKept(std::vector<News> &fresh, std::vector<News> kept, IsSame isSame)
{
    for (News &news : kept) {
        const bool isReplaced = std::any_of(fresh.begin(), fresh.end(),
                                            [&](const News &other) { return isSame(news, other); });
        if (!isReplaced && fresh.size() < MaxNews)
            fresh.push_back(std::move(news));
    }
}

} // namespace

milliseconds ReportSchedule::period(std::size_t entries)
{
    return std::clamp<milliseconds>(
            PeriodPerEntry * static_cast<int>(std::min(entries, MaxEntries)), MinPeriod, MaxPeriod);
}

void ReportSchedule::addKeptNews(Instant now, EntryReport &report)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - this->kept.keptAt);
    for (EntryReport::Limit &limit : this->kept.limits)
        limit.age += age;
    addKept(report.limits, std::exchange(this->kept.limits, {}),
            [](const auto &left, const auto &right) {
                return left.incarnation == right.incarnation;
            });
    addKept(report.leaving, std::exchange(this->kept.leaving, {}), std::equal_to<>());
    addKept(report.crashes, std::exchange(this->kept.crashes, {}),
            [](const auto &left, const auto &right) {
                return left.fingerprint == right.fingerprint;
            });
}

bool ReportSchedule::isUrgent(const EntryReport &report, bool watchesStore) const
{
    return !report.leaving.empty() || !report.crashes.empty()
           || report.isServing != this->sent->isServing
           || report.sinceStoreReturned.has_value() != this->sent->sinceStoreReturned.has_value()
           || (watchesStore && report.known != this->sent->known);
}

bool ReportSchedule::prepare(Instant now, std::size_t entries, bool watchesStore,
                             EntryReport &report)
{
    this->addKeptNews(now, report);
    const bool isFirst = !this->sent || report.isLeaving != this->sent->isLeaving;
    if (!isFirst && now < this->nextAt
        && (now < this->nextUrgentAt || !this->isUrgent(report, watchesStore))) {
        this->kept = {report.limits, report.leaving, report.crashes, now};
        return false;
    }
    this->nextAt = now + period(entries) - TickTolerance;
    this->nextUrgentAt = now + period(entries) / UrgentDivisor - TickTolerance;
    this->sent = report;
    return true;
}

} // namespace Nutmegrill
