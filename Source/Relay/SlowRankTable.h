#pragma once

#include "Core/Time.h"
#include "Membership/SlowRank.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

class BackendRoster;

/// The slow backend servers that agents have told this entry of, which it tells the other entries
/// in its reports. What it learns from a report is not told again, so that only the few entries
/// that a hub tells have longer reports.
class SlowRankTable
{
public:
    /// A figure older than this counts as 1.
    static constexpr std::chrono::milliseconds MaxAge{2000};

    /// Writes the figures of a message into the roster. Returns whether any of them is news.
    static bool record(Instant now, const std::vector<SlowRank> &ranks, BackendRoster &roster);

    /// An agent told the figures.
    void noticeArrived(Instant now, const std::vector<SlowRank> &ranks, BackendRoster &roster);

    /// Whether the other entries lack something that this one has been told.
    bool hasNews() const { return this->newsReports > 0; }

    /// The figures for the report that is sent now.
    std::vector<SlowRank> takeReport(Instant now);

private:
    struct Figure
    {
        double pace = 1;
        Instant seenAt;
    };

    /// By address.
    std::map<std::string, Figure> figures;
    /// Reports that are still to tell the last news.
    int newsReports = 0;
};

} // namespace Nutmegrill
