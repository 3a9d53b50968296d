#pragma once

#include "Agent/WarmupLimit.h"

#include <string>

namespace Nutmegrill {

/// Observed state of the agent's backend server.
struct BackendState
{
    bool reachable = false;
    /// A stop was requested or the backend server is draining.
    bool leaving = false;
    /// Whether the failure domain was taken out at the last check.
    bool out = true;
    std::string incarnation;
    WarmupLimit warmup;
};

} // namespace Nutmegrill
