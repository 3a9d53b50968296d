#pragma once

#include "Agent/AgentEvent.h"
#include "Core/Time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Distributes credits, each a permission to start one request, over the links. Valid credits plus
/// occupied slots never exceed the concurrency limit; distribute() is passed the free slots.
class CreditLedger
{
public:
    using LinkId = AgentEvent::LinkId;
    using Grants = std::vector<std::pair<LinkId, PeerMessage::Grant>>;

    void open(LinkId link);
    void close(LinkId link);
    void setDemand(LinkId link, std::uint32_t queued);

    /// Records that a message was received on the link, which shows that its process is alive.
    void recordActivity(Instant now, LinkId link);

    /// Counts a request start on the link. Returns whether a valid credit covered it.
    bool start(Instant now, LinkId link);

    /// Number of credits that are neither used nor expired.
    std::uint64_t outstanding(Instant now) const;

    /// Brings the total number of credits to at most \a slots: grants new ones and revokes excess
    /// ones. Returns the grants that changed or must be renewed.
    Grants distribute(Instant now, std::uint64_t slots, std::uint64_t kvBytesFree);

private:
    struct LinkCredits
    {
        std::uint64_t started = 0;
        std::uint64_t startsUpTo = 0;
        std::uint32_t demand = 0;
        Instant deadline;
        /// A link that sends nothing until then gets no credits and no renewal.
        Instant inactiveAt;
        bool changed = false;
        /// The next grant starts a new lifetime.
        bool renewed = false;

        std::uint64_t credits() const
        {
            return this->startsUpTo > this->started ? this->startsUpTo - this->started : 0;
        }
        std::uint64_t uncoveredDemand(Instant now) const
        {
            // clang-format takes the two comparisons for template brackets.
            // clang-format off
            const bool needsCredits = now < this->inactiveAt && this->demand > this->credits();
            // clang-format on
            return needsCredits ? this->demand - this->credits() : 0;
        }
    };

    void expire(Instant now);
    void renew(Instant now);
    std::uint64_t credits() const;
    void revoke(std::uint64_t count, bool surplusOnly);
    std::uint64_t uncoveredDemand(Instant now) const;
    std::uint64_t grantProportionally(Instant now, std::uint64_t slots);
    std::uint64_t grantRoundRobin(Instant now, std::uint64_t slots, bool uncoveredOnly);
    static void grantCredits(LinkCredits &row, std::uint64_t count);

    std::map<LinkId, LinkCredits> linkCredits;
    /// The round robin continues with the first link after this one.
    LinkId lastGranted = 0;
};

} // namespace Nutmegrill
