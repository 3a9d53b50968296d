#pragma once

#include "Core/Time.h"
#include "Relay/BackendHealth.h"
#include "Relay/BackendRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The backend servers of the instance list, with the health that this entry has observed.
class BackendRoster
{
public:
    struct Row
    {
        BackendRecord record;
        /// Name of the serving unit: the service, or one of its model groups.
        std::string unit;
        /// Whether the model group of this start is known, and when its agent is next asked for it.
        bool isGroupKnown = false;
        Instant nextGroupQueryAt;
        Instant coldUntil;
        BackendHealth health;
        /// An answer said that this start of the backend server leaves; the list may say so later.
        bool saysItLeaves = false;
        /// When the row was removed from the instance list.
        std::optional<Instant> removedAt;
        /// Time until which the backend server of a removed row gets new work, see remove().
        Instant usableUntil = NoDeadline;
        /// Running and queued requests that the backend server reported in its last answer.
        std::uint32_t reportedLoad = 0;
        /// When any request of this entry last received data from the backend server.
        Instant lastReceivedAt;
        /// Factor by which the backend server is slow, as its model group told, and until when that
        /// counts; see paceAt().
        double pace = 1;
        Instant paceUntil;

        /// 1 unless the backend server is known to be slow now.
        double paceAt(Instant now) const { return now < this->paceUntil ? this->pace : 1; }
    };

    using Rows = std::map<std::string, Row>;

    /// Adds or updates a row of the instance list. Returns whether the row is new or differs from
    /// the known one.
    bool update(Instant now, const BackendRecord &record);

    /// The same for a row of a restored store that differs from what was known before: it brings
    /// back no start of a backend server that has been removed or leaves.
    bool updateDoubtful(Instant now, const BackendRecord &record);

    /// A row of the instance list was removed: the backend server gets no new work. Rows of live
    /// backend servers also expire while the store is unreachable. These are registered again
    /// within about two seconds of its return, so a row removed in this period stays usable until
    /// the period ends. Returns until when it is usable.
    Instant remove(Instant now, const std::string &id);

    /// A row cannot be read any more: the backend server gets no new work.
    void removeUnreadable(Instant now, const std::string &id);

    /// The store answered again at \a at after an outage in which rows may have expired.
    void storeReturned(Instant at);

    void setTakenOutDomains(std::set<std::string> domains)
    {
        this->domainsTakenOut = std::move(domains);
    }
    const std::set<std::string> &takenOutDomains() const { return this->domainsTakenOut; }

    /// Deletes removed rows after their retention time.
    void tick(Instant now);

    /// The backend server at that address is a rank of the group; its agent is asked again at \a
    /// nextQueryAt.
    void recordGroup(const std::string &address, const std::string &group, Instant nextQueryAt);

    /// The backend server at that address is slow by the factor \a pace until \a until; 1 ends a
    /// slowness. A figure that expires before the known one is older and ignored. Returns whether
    /// the pace differs from the known one.
    bool recordPace(const std::string &address, double pace, Instant until);

    /// A start of a backend server leaves. Returns whether that is new.
    bool recordLeaving(const std::string &id, std::uint64_t incarnation);

    const Rows &rows() const { return this->table; }
    Rows &rows() { return this->table; }
    Row *find(const std::string &id);

    /// Whether a backend server with a later start has the same address, so that this row is stale.
    bool isSuperseded(const Row &row) const;

    /// Whether the backend server may get new work: not draining, stale, removed or taken out.
    bool isEligible(const Row &row, Instant now) const;

private:
    Rows table;
    /// Highest incarnation reported for each address.
    std::map<std::string, std::uint64_t> latestIncarnation;
    std::set<std::string> domainsTakenOut;
    /// Until when removed rows may be registered again because they expired during an outage.
    Instant reregistrationUntil;
};

} // namespace Nutmegrill
