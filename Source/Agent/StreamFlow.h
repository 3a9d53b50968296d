#pragma once

#include "Agent/AgentState.h"

namespace Nutmegrill {

/// Applies backpressure: pauses reading an answer from the backend server while its reader is slow
/// or disconnected, which bounds the buffered bytes.
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
