#pragma once

#include "Core/Time.h"
#include "Relay/ConcurrencyLimit.h"
#include "Relay/ServiceCircuitBreaker.h"

#include <cstdint>

namespace Nutmegrill {

/// Backend servers of a service that stall, fail and recover together, as this entry observes them:
/// the ranks of one model group, or all backend servers whose group is not known.
class ServingUnit
{
public:
    ServiceCircuitBreaker circuit;
    ConcurrencyLimit concurrency;

    void requestSent(Instant now);
    void requestEnded();
    bool isInUse() const { return this->running > 0; }
    /// One of the backend servers sent a head or an event.
    void recordActivity(Instant now);

    /// Whether a backend server has sent anything lately.
    bool isActive(Instant now) const;
    /// The backend servers hold requests, and none of these receives anything.
    bool isStalled(Instant now) const;

private:
    std::uint32_t running = 0;
    Instant lastActivityAt;
    /// Since when the open requests have received nothing.
    Instant quietSince;
};

} // namespace Nutmegrill
