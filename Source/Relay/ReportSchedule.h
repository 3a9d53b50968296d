#pragma once

#include "Core/Time.h"
#include "Relay/EntryReport.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Nutmegrill {

/// Decides when an entry sends its report to all other entries. Load pattern: hundreds of entries,
/// each of which tells all others; the period grows with their number, so that the messages of an
/// entry do not. What others wait for is told sooner: a stop at once, and a first configuration, a
/// crash, a leaving backend server, and a change in the store by those that watch it, after a
/// quarter of the period at the latest.
class ReportSchedule
{
public:
    /// Period of reports without news, for that many entries.
    static std::chrono::milliseconds period(std::size_t entries);

    /// Completes the report with the news that were not sent yet. Returns whether it is sent now;
    /// otherwise its news are kept for the next one.
    bool prepare(Instant now, std::size_t entries, bool watchesStore, EntryReport &report);

private:
    /// News that were not sent yet.
    struct News
    {
        std::vector<EntryReport::Limit> limits;
        std::vector<std::string> leaving;
        std::vector<CrashReport> crashes;
        Instant keptAt;
    };

    void addKeptNews(Instant now, EntryReport &report);
    bool isUrgent(const EntryReport &report, bool watchesStore) const;

    News kept;
    std::optional<EntryReport> sent;
    /// When the next report is due, and when the next one with urgent news.
    Instant nextAt;
    Instant nextUrgentAt;
};

} // namespace Nutmegrill
