#pragma once

#include "Agent/AgentState.h"
#include "Agent/AnswerFlow.h"

#include <map>
#include <optional>
#include <string>

namespace Nutmegrill {

/// Executes non-idempotent requests at most once: claims them in the store before they are sent to
/// the backend server, records their answers and answers repeats from the records.
class ClaimKeeper
{
public:
    ClaimKeeper(AgentState &state, AnswerFlow &answers) : state(state), answers(answers) {}

    /// Store key of the request's claim.
    static std::string keyOf(const WorkMessage::Request &request);

    /// Rejects a repeat of a request whose claim this agent holds, without a store access.
    std::optional<WorkMessage::Failure> checkOwnClaim(const AgentTurn &turn,
                                                      const WorkMessage::Request &request) const;

    void begin(const AgentTurn &turn, RequestRow &row);
    void receiveAnswer(const AgentTurn &turn, const AgentEvent::ClaimsAnswered &answer);

    /// Rejects requests whose claim timed out and cancels requests that exceed their run limit.
    void checkDeadlines(const AgentTurn &turn);

    void writeClaims(const AgentTurn &turn);

private:
    /// A running claim of another agent. Its outcome counts as unknown after the deadline.
    struct ObservedClaim
    {
        std::string claimId;
        Instant deadline;
        Instant expiresAt;
    };

    void start(const AgentTurn &turn, const ClaimTable::Outcome &outcome);
    std::optional<WorkMessage::Failure> checkStart(const AgentTurn &turn,
                                                   const RequestRow &row) const;
    void answerFromRecord(const AgentTurn &turn, const ClaimTable::Outcome &outcome);
    void releaseRecordedAnswer(const AgentTurn &turn, const ClaimTable::Outcome &outcome);
    bool isOverdue(const AgentTurn &turn, const std::string &key, const ClaimRecord &record);
    void replay(const AgentTurn &turn, const RequestRow &row, const ClaimRecord &record);

    AgentState &state;
    AnswerFlow &answers;
    std::map<std::string, ObservedClaim> observedClaims;
};

} // namespace Nutmegrill
