#pragma once

#include "Core/Time.h"

#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

/// Circuit breaker of one service; it opens when several backend servers reject requests. When a
/// model group loses a rank, all its ranks reject requests until the group has formed again, one to
/// several seconds later, and repeats would use up the retry budget at once. While the circuit is
/// open, single requests are sent at intervals as probes, and the others wait or are refused.
class ServiceCircuitBreaker
{
public:
    /// A backend server rejected a request as not run.
    void recordRejection(Instant now, const std::string &backend);
    /// A backend server ran a request; closes the circuit.
    void recordServed();

    bool isOpen() const { return this->openedAt.has_value(); }
    /// Time of the first of the rejections that opened the circuit.
    std::optional<Instant> openSince() const { return this->openedAt; }

    /// Whether the circuit is closed or a probe is due.
    bool allowsRequest(Instant now) const;
    void recordSent(Instant now);

private:
    std::set<std::string> rejecting;
    Instant firstRejection;
    std::optional<Instant> openedAt;
    Instant nextProbeAt;
};

} // namespace Nutmegrill
