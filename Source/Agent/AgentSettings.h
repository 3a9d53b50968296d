#pragma once

#include "Agent/AgentMechanisms.h"

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// What an agent's decision logic is told at start.
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
