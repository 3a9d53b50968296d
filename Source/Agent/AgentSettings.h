#pragma once

#include "Agent/AgentMechanisms.h"

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Startup settings of an agent's decision logic.
struct AgentSettings
{
    std::string name;
    std::string service;
    std::string failureDomain;
    std::string deploymentKey;
    std::uint64_t incarnation = 1;
    AgentMechanisms mechanisms;
};

} // namespace Nutmegrill
