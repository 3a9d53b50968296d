#pragma once

#include "Core/Time.h"
#include "Relay/EntryReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The other entries: who lives, what they run, and how far they know the store. Liveness comes
/// from their reports alone, so it holds with the store down as well.
class EntryTable
{
public:
    struct Row
    {
        std::string peerAddress;
        std::optional<EntryReport> report;
        Instant heardAt;
    };

    /// Parts that tests turn off to show what each one prevents.
    struct Switches
    {
        /// Entries that the store names count for shared limits before their first report.
        bool countsAnnounced = true;
        /// After a pause, a report of a start with an earlier time of day is taken.
        bool takesEarlierStart = true;
        /// Silent entries go on counting for shared limits for a while.
        bool countsSilent = true;
    };

    EntryTable() = default;
    explicit EntryTable(const Switches &switches) : switches(switches) {}

    /// The store names an entry at that address.
    void addAddress(Instant now, const std::string &peerAddress);

    /// Returns whether the report is newer than what was known.
    bool update(Instant now, const EntryReport &report);

    /// Addresses that reports are sent to.
    std::vector<std::string> peerAddresses() const;

    /// Caller addresses of the other entries that take callers now.
    std::vector<std::string> servingAddresses(Instant now) const;

    /// Entries, this one included, that may be sending work: those heard or announced lately. Stays
    /// high for a while after entries fall silent, because they may still work behind a cut.
    std::uint32_t entryCount(Instant now) const;

    /// Requests that the other entries run at a backend server, as of their last reports.
    std::uint32_t runningElsewhere(const std::string &backend, Instant now) const;

    std::uint32_t waitingElsewhere(const std::string &service, Instant now) const;

    /// Peer address of a live entry that knows more of the store than \a revision.
    std::optional<std::string> aheadOf(std::uint64_t revision, Instant now) const;

    void tick(Instant now);

    std::size_t size() const { return this->rows.size(); }

private:
    bool isLive(const Row &row, Instant now) const;

    Switches switches;
    /// By peer address.
    std::map<std::string, Row> rows;
};

} // namespace Nutmegrill
