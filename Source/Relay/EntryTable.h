#pragma once

#include "Core/Time.h"
#include "Relay/EntryReport.h"
#include "Relay/LoadExchange.h"
#include "Relay/LoadSum.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The other entries with their liveness, load and known store revision. Liveness is derived from
/// their reports alone, so it does not depend on the store.
class EntryTable
{
public:
    struct Row
    {
        std::string peerAddress;
        std::optional<EntryReport> report;
        Instant lastSeenAt;
        /// The load of the report is part of the sum of all.
        bool isSummed = false;
    };

    /// Rules that tests turn off to show which failure each one prevents.
    struct Switches
    {
        /// Entries that are listed in the store count for shared limits before their first report.
        bool countsAnnounced = true;
        /// After a silence, a report with a lower incarnation is accepted, because the clock may
        /// have been set back.
        bool acceptsEarlierStart = true;
        /// Silent entries count for shared limits for some more seconds.
        bool countsSilent = true;
        /// Entries that lost the store are not counted on to watch it.
        bool replacesCutWatchers = true;
        /// A rate below one request a second and entry is used by some entries only.
        bool choosesEntries = true;
        /// Entries that were silent while this process was paused count for shared limits.
        bool countsAfterOwnPause = true;
    };

    EntryTable() = default;
    explicit EntryTable(const Switches &switches) : switches(switches) {}

    /// The store lists an entry at that address.
    void addAddress(Instant now, const std::string &peerAddress);

    /// Returns whether the report is newer than the last one and was accepted.
    bool update(Instant now, const EntryReport &report);

    /// Addresses that reports are sent to.
    std::vector<std::string> peerAddresses() const;

    /// Caller addresses of the other live entries that accept callers.
    std::vector<std::string> servingAddresses(Instant now) const;

    /// Peer addresses of the other live entries that are not leaving, and of those among them that
    /// reach the store.
    std::vector<std::string> liveAddresses(Instant now) const;
    std::vector<std::string> storePeers(Instant now) const;

    /// Number of entries, including this one, that may send requests: those that reported or were
    /// listed recently. Silent entries count for some seconds more, because a network partition may
    /// hide entries that still send.
    std::uint32_t entryCount(Instant now) const;

    /// Whether the entry at \a ownAddress is one of \a count entries that all entries agree on for
    /// a backend server.
    bool isAmongChosen(const std::string &backend, const std::string &ownAddress,
                       std::uint32_t count, Instant now) const;

    /// Requests that the other entries run at a backend server, by their last reports.
    std::uint32_t runningElsewhere(const std::string &backend, Instant now) const;

    std::uint32_t waitingElsewhere(const std::string &service, Instant now) const;

    /// Mean age of the loads of the other entries.
    std::chrono::milliseconds loadAge(Instant now) const;

    /// Peer address of the live entry that knows the store up to the highest position after \a
    /// position, in the given failure domain if there is one. Addresses in \a avoided are left out.
    std::optional<std::string> findPeerAhead(StorePosition position, const std::string &domain,
                                             Instant now,
                                             const std::set<std::string> &avoided) const;

    /// Whether the entry \a name watches the store: one of two in its failure domain that reach it.
    /// The others learn changes from them, so the load of the store does not grow with the entries.
    bool watchesStore(const std::string &name, const std::string &domain, Instant now) const;

    /// Peer addresses of the two relays of a failure domain, this entry included.
    std::vector<std::string> relaysOf(const std::string &domain, Instant now) const;
    /// Failure domains of this entry and of the live ones.
    std::vector<std::string> domains(Instant now) const;
    /// Reports of other entries of a failure domain whose load is recent enough to count.
    std::vector<const EntryReport *> recentReports(const std::string &domain, Instant now) const;

    /// Facts of this entry, for the selection of relays.
    void setOwn(const EntryReport &facts);
    LoadExchange &loads() { return this->loadExchange; }

    void tick(Instant now);

    /// Called before decisions that depend on the other entries. After a pause of this process
    /// their silence means nothing: until they had the time to report again, the limits are shared
    /// with all that counted before the pause.
    void noteTime(Instant now);

    std::size_t size() const { return this->rows.size(); }

private:
    bool isLive(const Row &row, Instant now) const;
    std::chrono::milliseconds livenessTimeout() const;
    std::chrono::milliseconds maxLoadAge() const;
    void dropOldLoads(Instant now) const;
    bool countsForLimits(const Row &row, Instant now) const;

    Switches switches;
    Instant notedAt;
    /// Last moment before the latest pause of this process, and its end.
    Instant pausedAt;
    Instant resumedAt;
    /// By peer address.
    mutable std::map<std::string, Row> rows;
    EntryReport own;
    LoadExchange loadExchange;
    /// Loads of the other entries by their reports, and when the first of these is too old.
    mutable LoadSum reportedLoads;
    mutable Instant loadsValidUntil = NoDeadline;
};

} // namespace Nutmegrill
