#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace Nutmegrill {

/// What an entry has itself seen of one backend server: how often requests failed there, and
/// whether it is worth trying now. Health checks are not used, because a backend server can fail
/// requests while its health check passes.
class BackendHealth
{
public:
    /// A request got its whole answer.
    void noteSuccess(Instant now);
    /// A request got no answer, a broken one, or none in time.
    void noteFailure(Instant now);
    /// No connection could be made, or the backend server says that another one is at fault.
    void noteUnreachable(Instant now);
    /// The backend server answers with another identity: the address belongs to another one.
    void noteReplaced(Instant now);

    /// No request is sent until then.
    bool isSuspended(Instant now) const { return now < this->suspendedUntil; }
    Instant suspendedSince() const { return this->suspended; }

    /// Smoothed share of failed requests, forgotten with time.
    double failureShare(Instant now) const;

private:
    void suspend(Instant now);

    double share = 0;
    Instant shareAt;
    std::uint32_t failuresInRow = 0;
    std::uint32_t suspensions = 0;
    Instant suspended;
    Instant suspendedUntil;
};

} // namespace Nutmegrill
