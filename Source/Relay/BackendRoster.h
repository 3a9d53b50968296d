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

/// The backend servers that the instance list names, with what this entry has seen of them.
class BackendRoster
{
public:
    struct Row
    {
        BackendRecord record;
        Instant coldUntil;
        BackendHealth health;
        /// The row was removed from the list; it is used until then, see remove().
        std::optional<Instant> removedAt;
        Instant usableUntil = NoDeadline;
        /// Requests that ran and waited there, as it stated in its last answer.
        std::uint32_t statedLoad = 0;
        /// Last byte that any request of this entry has received from it.
        Instant heardAt;
    };

    using Rows = std::map<std::string, Row>;

    /// A row of the instance list appeared or changed. Returns whether that changes what is
    /// believed about the backend server.
    bool update(Instant now, const BackendRecord &record);

    /// A row of the instance list was removed. A backend server that left or died gets no new work
    /// from then on. Rows also lapse while the store is away although their backend servers live;
    /// such rows come back within about two seconds of the store's return, so they stay in use for
    /// that time.
    void remove(Instant now, const std::string &id);

    /// The store did not answer until \a now. Removals that it reports from then on may be rows
    /// that lapsed meanwhile.
    void storeReturned(Instant now);

    void setDomainsOut(std::set<std::string> domains) { this->domainsOut = std::move(domains); }
    const std::set<std::string> &outDomains() const { return this->domainsOut; }

    /// Forgets removed rows that are no longer in use.
    void tick(Instant now);

    const Rows &rows() const { return this->table; }
    Row *find(const std::string &id);

    /// Whether a later start of a backend server has the address, so that this row is out of date.
    bool isSuperseded(const Row &row) const;

    /// Whether new work may be sent there at all.
    bool mayWork(const Row &row, Instant now) const;

private:
    Rows table;
    /// Latest start that was reported for each address.
    std::map<std::string, std::uint64_t> latestStart;
    std::set<std::string> domainsOut;
    std::optional<Instant> storeBackAt;
};

} // namespace Nutmegrill
