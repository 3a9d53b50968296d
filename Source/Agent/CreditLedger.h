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
    void hear(Instant now, LinkId link);

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
        /// A link that is not heard until then gets no credits and no renewal.
        Instant silentAt;
        bool changed = false;
        /// The next grant starts a new lifetime.
        bool renewed = false;

        std::uint64_t credits() const
        {
            return this->startsUpTo > this->started ? this->startsUpTo - this->started : 0;
        }
        std::uint64_t wanted(Instant now) const
        {
            const bool wants = now<this->silentAt &&this->demand> this->credits();
            return wants ? this->demand - this->credits() : 0;
        }
    };

    void expire(Instant now);
    void renew(Instant now);
    std::uint64_t credits() const;
    void takeBack(std::uint64_t count, bool spareOnly);
    std::uint64_t wanted(Instant now) const;
    std::uint64_t giveShares(Instant now, std::uint64_t places);
    std::uint64_t giveInTurn(Instant now, std::uint64_t places, bool wantedOnly);
    static void give(Account &account, std::uint64_t count);

    std::map<LinkId, Account> accounts;
    /// The round robin goes on with the first link after this one.
    LinkId lastServed = 0;
};

} // namespace Nutmegrill
