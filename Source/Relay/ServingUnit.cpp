#include "Relay/ServingUnit.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// A unit is active when any of its backend servers sent a head or an event within this time.
constexpr std::chrono::milliseconds ActivityWindow{300};
/// Steps of a loaded group take up to a fifth of a second, and one that has lost a rank stands
/// still for more than a second.
constexpr std::chrono::milliseconds StallTime{600};

} // namespace

void ServingUnit::requestSent(Instant now)
{
    if (this->running == 0)
        this->quietSince = now;
    ++this->running;
    this->circuit.recordSent(now);
}

void ServingUnit::requestEnded()
{
    if (this->running > 0)
        --this->running;
}

void ServingUnit::recordActivity(Instant now)
{
    this->lastActivityAt = now;
    this->quietSince = now;
}

bool ServingUnit::isActive(Instant now) const
{
    return this->lastActivityAt != Instant() && now < this->lastActivityAt + ActivityWindow;
}

bool ServingUnit::isStalled(Instant now) const
{
    return this->running > 0 && now >= this->quietSince + StallTime;
}

} // namespace Nutmegrill
