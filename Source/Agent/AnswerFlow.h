#pragma once

#include "Agent/AgentState.h"

#include <string>

namespace Nutmegrill {

/// Passes answers from the backend server through their tails to the work streams.
class AnswerFlow
{
public:
    explicit AnswerFlow(AgentState &state) : state(state) {}

    void receiveHead(const AgentTurn &turn, const AgentEvent::BackendHead &event);
    void receiveData(const AgentTurn &turn, const AgentEvent::BackendData &event);
    void receiveEnd(const AgentTurn &turn, const AgentEvent::BackendEnd &event);
    void acknowledge(const AgentTurn &turn, AgentOrder::LinkId link, const PeerMessage::Ack &ack);

    /// Lets the stream read the row's answer from event \a firstEvent on.
    void attach(const AgentTurn &turn, RequestRow &row, const AgentEvent::WorkArrived &arrival);
    void detach(const AgentTurn &turn, RequestRow &row);

    /// Sends what the stream has not been sent yet.
    void flush(const AgentTurn &turn, RequestRow &row);

    /// Passes on answers whose record was written, or did not get written in time.
    void releaseAnswers(const AgentTurn &turn);

    /// Drops tails that nobody wants any more and cancels requests that nobody reads.
    void dropTails(const AgentTurn &turn);

private:
    RequestRow *findRunning(const std::string &requestId);
    void measure(const AgentTurn &turn, RequestRow &row, std::uint32_t tokens);
    void record(RequestRow &row);
    void limitTailBytes();

    AgentState &state;
};

} // namespace Nutmegrill
