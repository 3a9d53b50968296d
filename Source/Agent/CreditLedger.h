#pragma once

#include "Agent/AgentEvent.h"
#include "Core/Time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Permissions to start work, handed out to links. Credits that are not expired plus the occupied
/// places never exceed the limit that distribute() is told.
class CreditLedger
{
public:
    using LinkId = AgentEvent::LinkId;
    using Grants = std::vector<std::pair<LinkId, PeerMessage::Grant>>;

    void open(LinkId link);
    void close(LinkId link);
    void setDemand(LinkId link, std::uint32_t queued);

    /// Something was received on the link, so its process is alive.
    void hear(LinkId link);

    /// Counts a start on the link. Returns whether a credit that is still valid covered it.
    bool start(Instant now, LinkId link);

    /// Credits that are not used and not expired.
    std::uint64_t outstanding(Instant now) const;

    /// Hands out up to \a places credits in total and takes back any beyond that. Returns the
    /// grants that have changed or need to be renewed.
    Grants distribute(Instant now, std::uint64_t places, std::uint64_t kvBytesFree);

private:
    struct Account
    {
        std::uint64_t started = 0;
        std::uint64_t startsUpTo = 0;
        std::uint32_t demand = 0;
        Instant deadline;
        bool heard = false;
        /// Its last credits expired and nothing was heard since; it gets no new ones.
        bool silent = false;
        bool changed = false;

        std::uint64_t credits() const
        {
            return this->startsUpTo > this->started ? this->startsUpTo - this->started : 0;
        }
        std::uint64_t wanted() const
        {
            return !this->silent && this->demand > this->credits() ? this->demand - this->credits()
                                                                   : 0;
        }
    };

    void expire(Instant now);
    void renew(Instant now);
    std::uint64_t credits() const;
    void setCredits(Account &account, std::uint64_t credits);
    void takeBack(std::uint64_t count, bool spareOnly);
    std::uint64_t giveShares(std::uint64_t places);
    std::uint64_t giveInTurn(std::uint64_t places, bool wantedOnly);

    std::map<LinkId, Account> accounts;
    /// The round robin goes on with the first link after this one.
    LinkId lastServed = 0;
};

} // namespace Nutmegrill
