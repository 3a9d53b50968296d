#pragma once

#include "Core/Time.h"

#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

/// Notices that a whole service turns requests away. Load pattern: one rank of a model group is
/// lost, and all ranks reject what they are sent until the group has formed again, one to several
/// seconds later. Sending on would use up the shared limit on repeats within a moment. While the
/// circuit is open, one request at a time is sent to find out whether the service is back, and the
/// others wait or are refused.
class ServiceCircuit
{
public:
    /// A backend server stated that it did not run a request.
    void noteRejected(Instant now, const std::string &backend);
    /// A backend server ran one.
    void noteServed();

    bool isOpen() const { return this->openedAt.has_value(); }
    /// Since when the service turns requests away.
    std::optional<Instant> openSince() const { return this->openedAt; }

    /// Whether a request may be sent now.
    bool maySend(Instant now) const;
    void noteSent(Instant now);

private:
    std::set<std::string> rejecting;
    Instant firstRejection;
    std::optional<Instant> openedAt;
    Instant nextProbeAt;
};

} // namespace Nutmegrill
