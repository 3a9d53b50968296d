#include "Relay/SlowRankTable.h"

#include "Relay/BackendRoster.h"

#include <algorithm>
#include <cstddef>

namespace Nutmegrill {

namespace {

/// Bounds the reports; they are longer only while ranks are slow.
constexpr std::size_t MaxFigures = 64;
/// Few entries tell each of the others, and each report may get lost: with one report from each of
/// three entries, and one in ten lost, one of 150 entries learned of a slow rank a second late.
constexpr int ReportsOfNews = 2;

} // namespace

bool SlowRankTable::record(Instant now, const std::vector<SlowRank> &ranks, BackendRoster &roster)
{
    bool isNews = false;
    for (const auto &[address, pace, age] : ranks) {
        if (age < MaxAge && roster.recordPace(address, pace, now + MaxAge - age))
            isNews = true;
    }
    return isNews;
}

void SlowRankTable::noticeArrived(Instant now, const std::vector<SlowRank> &ranks,
                                  BackendRoster &roster)
{
    if (record(now, ranks, roster))
        this->newsReports = ReportsOfNews;
    for (const auto &[address, pace, age] : ranks) {
        const auto found = this->figures.find(address);
        if (found == this->figures.end() && this->figures.size() == MaxFigures)
            continue;
        if (found == this->figures.end() || found->second.seenAt <= now - age)
            this->figures.insert_or_assign(address, Figure{pace, now - age});
    }
}

std::vector<SlowRank> SlowRankTable::takeReport(Instant now)
{
    this->newsReports = std::max(0, this->newsReports - 1);
    std::erase_if(this->figures,
                  [now](const auto &entry) { return now >= entry.second.seenAt + MaxAge; });
    std::vector<SlowRank> ranks;
    for (const auto &[address, figure] : this->figures)
        ranks.push_back(
                {address, figure.pace,
                 std::chrono::duration_cast<std::chrono::milliseconds>(now - figure.seenAt)});
    return ranks;
}

} // namespace Nutmegrill
