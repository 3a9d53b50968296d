#include "Entry/BackendTable.h"

#include <algorithm>

namespace Nutmegrill {

bool BackendTable::Row::hasCredit(Instant now) const
{
    return this->startsUsed < this->startsUpTo && now < this->grantDeadline;
}

bool BackendTable::Row::isServing() const
{
    using State = PeerMessage::BackendStatus::State;
    return this->welcomed
           && (this->status.state == State::Cold || this->status.state == State::Warm);
}

double BackendTable::Row::load() const
{
    const std::uint32_t running =
            std::max(this->status.running + this->startsSinceStatus, this->ownRunning);
    return static_cast<double>(running) / std::max<std::uint32_t>(this->status.limit, 1);
}

void BackendTable::Row::takeCredit(std::uint64_t kvBytes)
{
    ++this->startsUsed;
    ++this->startsSinceStatus;
    ++this->ownRunning;
    // The agent lowers its record of this entry's demand in the same way.
    this->demandSent -= std::min<std::uint32_t>(this->demandSent, 1);
    this->kvBytesFree -= std::min(this->kvBytesFree, kvBytes);
}

void BackendTable::Row::resetLink()
{
    this->link = Link::Closed;
    this->welcomed = false;
    this->status = {};
    this->startsSinceStatus = 0;
    this->startsUsed = 0;
    this->startsUpTo = 0;
    this->grantDeadline = Instant();
    this->ownRunning = 0;
    this->demandSent = 0;
    this->nextDemand = Instant();
}

BackendTable::Row *BackendTable::find(const std::string &agent)
{
    const auto found = this->rows.find(agent);
    return found == this->rows.end() ? nullptr : &found->second;
}

} // namespace Nutmegrill
