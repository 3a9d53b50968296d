#include "Duties/ClockConsensus.h"

#include <algorithm>
#include <vector>

namespace Nutmegrill {

namespace {

/// Entries tell their time with each report, once a second at least.
constexpr std::chrono::seconds MaxAge{10};

} // namespace

void ClockConsensus::observe(Instant now, const std::string &instance, WallTime shown)
{
    this->rows[instance] = {
            shown - std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()), now};
}

ClockConsensus::WallTime ClockConsensus::trueTime(Instant now, WallTime shown) const
{
    const auto sinceStart = std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
    std::vector<WallTime> starts{shown - sinceStart};
    for (const auto &[instance, row] : this->rows) {
        if (now < row.observedAt + MaxAge)
            starts.push_back(row.atStart);
    }
    const auto middle = starts.begin() + static_cast<std::ptrdiff_t>((starts.size() - 1) / 2);
    std::nth_element(starts.begin(), middle, starts.end());
    return *middle + sinceStart;
}

void ClockConsensus::tick(Instant now)
{
    std::erase_if(this->rows,
                  [now](const auto &entry) { return now >= entry.second.observedAt + MaxAge; });
}

} // namespace Nutmegrill
