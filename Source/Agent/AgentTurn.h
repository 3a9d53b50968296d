#pragma once

#include "Agent/AgentOrder.h"
#include "Core/Time.h"

namespace Nutmegrill {

/// Current time and output commands of one call of the decision logic.
struct AgentTurn
{
    Instant now;
    AgentOrder::List &orders;
};

} // namespace Nutmegrill
