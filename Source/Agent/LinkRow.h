#pragma once

#include <optional>
#include <string>

#include "Messages/PeerMessage.h"

namespace Nutmegrill {

/// One link to an entry or another agent.
struct LinkRow
{
    /// The peer proved that it belongs to the deployment.
    bool greeted = false;
    std::string process;
    std::optional<PeerMessage::BackendStatus> lastStatus;
};

} // namespace Nutmegrill
