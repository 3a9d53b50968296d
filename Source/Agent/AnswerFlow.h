#pragma once

#include "Agent/AgentState.h"

#include <string>

namespace Nutmegrill {

/// Forwards answers from the backend server to the work streams and buffers them in answer tails.
class AnswerFlow
{
public:
    explicit AnswerFlow(AgentState &state) : state(state) {}

    void receiveHead(const AgentTurn &turn, const AgentEvent::BackendHead &event);
    void receiveData(const AgentTurn &turn, const AgentEvent::BackendData &event);
    void receiveEnd(const AgentTurn &turn, const AgentEvent::BackendEnd &event);
    void acknowledge(const AgentTurn &turn, AgentCommand::LinkId link, const PeerMessage::Ack &ack);

    /// Makes the arriving stream the reader of the request's answer. The answer is sent from the
    /// first event that the arrival requests (its firstEvent).
    void attach(const AgentTurn &turn, RequestRow &row, const AgentEvent::WorkArrived &arrival);
    void detach(const AgentTurn &turn, RequestRow &row);

    /// Sends the events that the stream has not received yet.
    void flush(const AgentTurn &turn, RequestRow &row);

    /// Forwards withheld answers whose record was not stored before the deadline.
    void releaseAnswers(const AgentTurn &turn);

    /// Drops expired tails and cancels running requests whose reader did not come back in time.
    void dropTails(const AgentTurn &turn);

private:
    RequestRow *findRunning(const std::string &requestId);
    void measureTokenInterval(const AgentTurn &turn, RequestRow &row, std::uint32_t tokens);
    void recordAnswer(RequestRow &row);
    void limitTailBytes();

    AgentState &state;
};

} // namespace Nutmegrill
