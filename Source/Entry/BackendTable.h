#pragma once

#include "Core/InstanceRecord.h"
#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// The agents that an entry knows, by name, with the state of the link and what the agent reported
/// over it.
class BackendTable
{
public:
    enum class Link { Closed, Opening, Open };

    struct Row
    {
        std::string agent;
        std::string address;
        std::string service;
        std::string failureDomain;
        bool listed = false;
        bool listedLeaving = false;
        bool inSubset = false;
        /// Wanted outside the subset, because a caller resumes an answer from it.
        Instant wantedUntil;

        Link link = Link::Closed;
        bool welcomed = false;
        /// Attempts to open the link that failed since it was last open.
        std::uint32_t openFailures = 0;
        Instant nextOpen;

        PeerMessage::BackendStatus status;
        /// Starts of this entry that the last status may not contain yet.
        std::uint32_t startsSinceStatus = 0;
        std::uint64_t startsUsed = 0;
        std::uint64_t startsUpTo = 0;
        std::uint64_t kvBytesFree = 0;
        bool kvLimited = false;
        Instant grantDeadline;
        std::uint32_t ownRunning = 0;

        std::uint32_t demandSent = 0;
        Instant nextDemand;

        bool hasCredit(Instant now) const;
        bool isServing() const;
        /// Running work relative to the limit.
        double load() const;
        void takeCredit(std::uint64_t kvBytes);
        /// Forgets what was reported over the link.
        void resetLink();
    };

    using Rows = std::map<std::string, Row>;

    Row *find(const std::string &agent);
    Row &add(const std::string &agent) { return this->rows[agent]; }
    Rows &all() { return this->rows; }
    const Rows &all() const { return this->rows; }

private:
    Rows rows;
};

} // namespace Nutmegrill
