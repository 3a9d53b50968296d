#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace Nutmegrill {

/// Passive health check of one backend server: the share of failed requests of this entry, and a
/// suspension after failures. Active health checks are not used, because a backend server can fail
/// requests while its health check passes.
class BackendHealth
{
public:
    /// A request received its complete answer.
    void recordSuccess(Instant now);
    /// A request received no answer, a broken one, or none before its timeout.
    void recordFailure(Instant now);
    /// No request could be sent, for example because no connection could be established.
    void recordUnreachable(Instant now);
    /// Another backend server has taken over the address.
    void recordReplaced(Instant now);

    /// Whether no requests are sent to the backend server for now.
    bool isSuspended(Instant now) const { return now < this->suspendedUntil; }
    Instant suspendedSince() const { return this->suspendedAt; }

    /// Exponentially smoothed share of failed requests; decays over time.
    double failureShare(Instant now) const;

private:
    void suspend(Instant now);

    double share = 0;
    Instant shareUpdatedAt;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t suspensions = 0;
    Instant suspendedAt;
    Instant suspendedUntil;
};

} // namespace Nutmegrill
