#pragma once

#include "Agent/AgentState.h"

namespace Nutmegrill {

/// A planned stop: no new work, and the end of the process once the accepted work has ended and
/// its answers are taken.
class DrainState
{
public:
    explicit DrainState(AgentState &state) : state(state) {}

    void leave(const AgentTurn &turn);
    void stopWhenDrained(const AgentTurn &turn);

private:
    bool isDrained(const AgentTurn &turn);

    AgentState &state;
    bool stopped = false;
    /// End of the wait for acknowledgements and records after the last answer has ended.
    Instant tailDeadline = NoDeadline;
};

} // namespace Nutmegrill
