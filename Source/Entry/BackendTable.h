#pragma once

#include "Core/InstanceRecord.h"
#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// The agents known to an entry, by name, with the state of the link and the last reports
/// received over it.
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
        /// Until then the link is kept open although the agent is outside the subset, because a
        /// caller resumes an answer from it.
        Instant linkNeededUntil;

        Link link = Link::Closed;
        bool welcomed = false;
        /// Failed attempts to open the link since it was last open.
        std::uint32_t openFailures = 0;
        Instant nextOpen;

        PeerMessage::BackendStatus status;
        /// Starts by this entry that the last status may not include yet.
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
        /// Running requests relative to the limit.
        double load() const;
        void takeCredit(std::uint64_t kvBytes);
        /// Marks the link as closed and discards everything that was reported over it.
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
