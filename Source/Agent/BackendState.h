#pragma once

#include "Agent/WarmupLimit.h"

#include <string>

namespace Nutmegrill {

/// What the agent knows about its backend server.
struct BackendState
{
    bool reachable = false;
    /// A stop was requested or the backend server is leaving.
    bool leaving = false;
    /// The failure domain was out at the last look.
    bool out = true;
    std::string incarnation;
    WarmupLimit warmup;
};

} // namespace Nutmegrill
