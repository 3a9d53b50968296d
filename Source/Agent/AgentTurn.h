#pragma once

#include "Agent/AgentOrder.h"
#include "Core/Time.h"

namespace Nutmegrill {

/// The present instant and the orders given so far in one call of the decision logic.
struct AgentTurn
{
    Instant now;
    AgentOrder::List &orders;
};

} // namespace Nutmegrill
