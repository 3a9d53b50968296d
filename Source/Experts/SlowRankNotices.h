#pragma once

#include "Core/Time.h"
#include "Membership/SlowRank.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Decides which entries the hub of a group tells of slow ranks, and when. Load pattern: dozens of
/// entries that place streams on a group of which a rank has just become slow.
///
/// A few entries are told at a time, each time other ones, and they tell the others in their
/// reports. The messages of the hub therefore grow neither with the entries nor with the ranks, and
/// an entry that has ended holds up the news only once.
class SlowRankNotices
{
public:
    struct Notice
    {
        /// Entries to tell.
        std::vector<std::string> entries;
        std::vector<SlowRank> ranks;
    };

    static constexpr std::size_t EntriesPerNotice = 4;

    /// An entry asked this agent, or another one of the group, for the group.
    void entryHeard(Instant now, const std::string &address);

    /// The notice that is due, given the ranks that are slow now.
    std::optional<Notice> tick(Instant now, const std::vector<SlowRank> &slow);

    /// The slow ranks, and those that have recovered a moment ago, with a pace of 1.
    const std::vector<SlowRank> &ranks() const { return this->known; }

    /// The agent is not the hub, or no longer: another one tells the entries.
    void stop();

private:
    void update(Instant now, const std::vector<SlowRank> &slow);
    std::vector<std::string> chooseEntries();

    /// When each entry was last heard.
    std::map<std::string, Instant> entries;
    /// The entries after this one are told next.
    std::string lastTold;
    std::vector<SlowRank> known;
    /// Ranks that recovered are told until then, by address.
    std::map<std::string, Instant> recoveredUntil;
    Instant nextAt;
    int repeats = 0;
};

} // namespace Nutmegrill
