#pragma once

#include "Agent/AgentState.h"
#include "Agent/AnswerFlow.h"
#include "Agent/ClaimKeeper.h"

#include <optional>

namespace Nutmegrill {

/// Admission control for arriving work streams: attaches them to a known request, rejects them,
/// queues suspects or sends the request to the backend server.
class WorkAdmission
{
public:
    WorkAdmission(AgentState &state, AnswerFlow &answers, ClaimKeeper &claims)
        : state(state), answers(answers), claims(claims)
    {}

    void handleArrival(const AgentTurn &turn, const AgentEvent::WorkArrived &event);
    void cancel(const AgentTurn &turn, const AgentEvent::WorkCancelled &event);

    /// Starts the first waiting suspect when the backend server is idle and rejects those whose
    /// deadline has passed.
    void startSuspects(const AgentTurn &turn);

private:
    void attachToRequest(const AgentTurn &turn, RequestRow &row,
                         const AgentEvent::WorkArrived &event);
    std::optional<WorkMessage::Failure> checkRequest(const AgentTurn &turn,
                                                     const WorkMessage::Request &request) const;
    std::optional<WorkMessage::Failure> checkBackend() const;
    std::optional<WorkMessage::Failure>
    checkCapacity(const AgentTurn &turn, const WorkMessage::Request &request, bool hasCredit) const;
    void admit(const AgentTurn &turn, const AgentEvent::WorkArrived &event,
               std::uint64_t fingerprint);
    void begin(const AgentTurn &turn, RequestRow &row);

    AgentState &state;
    AnswerFlow &answers;
    ClaimKeeper &claims;
};

} // namespace Nutmegrill
