#pragma once

#include "Agent/AgentState.h"

namespace Nutmegrill {

/// Stops reading an answer from the backend server while its reader is slow or away, so that slow
/// readers do not fill the memory.
class StreamFlow
{
public:
    explicit StreamFlow(AgentState &state) : state(state) {}

    void receiveBuffered(const AgentEvent::WorkBuffered &event);
    void pauseSlowStreams(const AgentTurn &turn);

private:
    AgentState &state;
};

} // namespace Nutmegrill
