#pragma once

#include "Core/Time.h"
#include "Relay/StorePosition.h"

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

    /// What makes a report urgent.
    struct Facts
    {
        bool isServing = false;
        bool isLeaving = false;
        /// The store answers again after an outage.
        bool hasStoreReturned = false;
        /// This entry watches the store for the others.
        bool watchesStore = false;
        StorePosition known;
        /// Crashes or leaving backend servers that the others have to be told.
        bool hasNews = false;
    };

    /// Returns whether a report is due, which the caller then sends.
    bool isDue(Instant now, std::size_t entries, const Facts &facts);

private:
    bool isUrgent(const Facts &facts) const;

    std::optional<Facts> sent;
    /// When the next report is due, and when the next one with urgent facts.
    Instant nextAt;
    Instant nextUrgentAt;
};

} // namespace Nutmegrill
