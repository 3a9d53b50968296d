#pragma once

#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <optional>
#include <string>

namespace Nutmegrill {

/// One link to an entry or another agent.
struct LinkRow
{
    /// The peer proved that it belongs to the deployment.
    bool greeted = false;
    std::string process;
    std::optional<PeerMessage::BackendStatus> lastStatus;
    /// A change of the running count alone is not sent before.
    Instant nextStatus;
};

} // namespace Nutmegrill
