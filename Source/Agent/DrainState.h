#pragma once

#include "Agent/AgentState.h"

namespace Nutmegrill {

/// Planned stop: rejects new work, and stops the process once the accepted requests have ended and
/// their answers are acknowledged and recorded, or a timeout has passed.
class DrainState
{
public:
    explicit DrainState(AgentState &state) : state(state) {}

    void beginDrain(const AgentTurn &turn);
    void stopWhenDrained(const AgentTurn &turn);

private:
    bool isDrained(const AgentTurn &turn);

    AgentState &state;
    bool stopped = false;
    /// Deadline for acknowledgements and records after the last answer has ended.
    Instant tailDeadline = NoDeadline;
};

} // namespace Nutmegrill
