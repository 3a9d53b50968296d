#pragma once

#include "Agent/AgentCommand.h"
#include "Core/Time.h"

namespace Nutmegrill {

/// Current time and output commands of one call of the decision logic.
struct AgentTurn
{
    Instant now;
    AgentCommand::List &commands;
};

} // namespace Nutmegrill
