#pragma once

#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <optional>
#include <string>

namespace Nutmegrill {

/// One link to an entry or another agent.
struct LinkRow
{
    /// The peer sent a Hello with the correct deployment key.
    bool isAuthenticated = false;
    std::string process;
    std::optional<PeerMessage::BackendStatus> lastStatus;
    /// Earliest time to send a status in which only the running count changed.
    Instant nextStatus;
};

} // namespace Nutmegrill
