#pragma once

#include "Agent/AgentState.h"
#include "Agent/AnswerFlow.h"
#include "Agent/BackendWatch.h"

namespace Nutmegrill {

/// Handles the control streams of the links: handshake, configuration, credits and backend status.
class PeerControl
{
public:
    PeerControl(AgentState &state, AnswerFlow &answers, BackendWatch &backend)
        : state(state), answers(answers), backend(backend)
    {}

    void open(const AgentEvent::LinkOpened &event);
    void close(const AgentTurn &turn, const AgentEvent::LinkClosed &event);
    void receive(const AgentTurn &turn, const AgentEvent::PeerReceived &event);
    void accept(const AgentTurn &turn, const AgentEvent::ConfigurationRead &event);

    /// Requests the configuration from the peer if it sent a request under a newer version.
    void requestNewerConfiguration(const AgentTurn &turn, AgentCommand::LinkId link,
                                   std::uint64_t version);

    void offerConfiguration(const AgentTurn &turn);
    void grantCredits(const AgentTurn &turn);
    void sendStatus(const AgentTurn &turn);

private:
    void authenticate(const AgentTurn &turn, AgentCommand::LinkId link,
                      const PeerMessage::Hello &hello);
    void send(const AgentTurn &turn, const PeerOutput::List &output) const;
    void applyConfiguration(const AgentTurn &turn);

    AgentState &state;
    AnswerFlow &answers;
    BackendWatch &backend;
    /// Configuration version whose limits are applied to the warm-up.
    std::uint64_t appliedVersion = 0;
};

} // namespace Nutmegrill
