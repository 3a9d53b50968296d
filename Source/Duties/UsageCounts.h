#pragma once

#include "Core/Time.h"
#include "Duties/DutyRecord.h"
#include "Duties/UsageMessage.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Counts requests that began to run by window and client account: those of this entry, and what
/// the other entries told. Messages carry whole counts, so a lost, doubled or late one changes
/// nothing, and what an entry told stays counted when it ends.
class UsageCounts
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    UsageCounts(std::string self, std::uint64_t incarnation, std::chrono::seconds windowLength)
        : self(std::move(self)), incarnation(incarnation), windowLength(windowLength)
    {}

    std::uint64_t windowOf(WallTime time) const;
    WallTime endOf(std::uint64_t window) const;

    void recordRun(WallTime beganAt, const std::string &account);

    /// The counts of this entry that the others need now.
    UsageMessage tell(WallTime now);
    void messageArrived(const UsageMessage &message);

    /// Sum of all entries.
    AccountCounts total(std::uint64_t window) const;

    /// Whether each of the entries has told its counts after the end of the window.
    bool isComplete(std::uint64_t window, const std::vector<std::string> &entries) const;

    /// Forgets windows that are too old to be reported.
    void tick(WallTime now);

private:
    using Windows = std::map<std::uint64_t, AccountCounts>;
    /// One start of another entry.
    struct Told
    {
        std::uint64_t sequence = 0;
        WallTime toldAt;
        Windows windows;
    };

    std::string self;
    std::uint64_t incarnation;
    std::chrono::seconds windowLength;
    std::uint64_t sequence = 0;
    Windows own;
    /// By peer address and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, Told> told;
};

} // namespace Nutmegrill
