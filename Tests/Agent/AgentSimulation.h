#pragma once

#include "Agent/AgentNode.h"
#include "FakeStore.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Randomized simulation of two agents that share a store. Checks the invariants after each step;
/// violation() describes the first one that was violated.
class AgentSimulation
{
public:
    explicit AgentSimulation(AgentMechanisms mechanisms);

    void step(std::uint32_t choice);

    /// Completes all requests, then checks that every work stream has ended.
    void finish();

    const std::string &violation() const { return this->firstViolation; }

    /// Number of backend calls, to detect runs that tested nothing.
    std::size_t calls() const { return this->callCount; }

private:
    struct Link
    {
        std::uint64_t startsUpTo = 0;
        std::uint64_t starts = 0;
        Instant deadline;
    };

    struct Work
    {
        std::size_t agent = 0;
        AgentCommand::LinkId link = 0;
        std::string requestId;
        std::uint64_t nextEvent = 0;
        bool mayLackEnd = false; ///< detached or cancelled
        int ends = 0;
    };

    struct Agent
    {
        std::unique_ptr<AgentNode> node;
        std::map<AgentCommand::LinkId, Link> links;
        std::map<std::string, bool> running; ///< request id -> whether data was received
        std::set<std::string> called;
        std::optional<AgentCommand::WriteClaims> batch;
        std::uint32_t incarnation = 1;
        bool granted = false;
    };

    using Action = void (AgentSimulation::*)(std::size_t agent, std::uint32_t value);

    void handle(std::size_t agent, const AgentEvent::Any &event);
    void tick(std::size_t agent);
    void observe(std::size_t agent, const AgentCommand::List &commands);
    void observeWork(std::size_t agent, const AgentCommand::SendWork &command);
    void observeCall(std::size_t agent, const WorkMessage::Request &request);
    void checkCredits(std::size_t agent);
    std::uint32_t limit(std::size_t agent) const;
    void expect(bool holds, const std::string &what);

    void openLink(std::size_t agent, AgentCommand::LinkId link);
    void sendWork(std::size_t agent, std::uint32_t value, WorkMessage::Request request);
    void startIdempotent(std::size_t agent, std::uint32_t value);
    void startNonIdempotent(std::size_t agent, std::uint32_t value);
    void repeatRequest(std::size_t agent, std::uint32_t value);
    void receiveData(std::size_t agent, std::uint32_t value);
    void endCall(std::size_t agent, std::uint32_t value);
    void failCall(std::size_t agent, std::uint32_t value);
    void answerClaims(std::size_t agent, std::uint32_t value);
    void switchStore(std::size_t agent, std::uint32_t value);
    void demand(std::size_t agent, std::uint32_t value);
    void report(std::size_t agent, std::uint32_t value);
    void abandonWork(std::size_t agent, std::uint32_t value);
    void acknowledge(std::size_t agent, std::uint32_t value);
    void replaceLink(std::size_t agent, std::uint32_t value);
    void changeDomainState(std::size_t agent, std::uint32_t value);
    const std::string *pickRunning(std::size_t agent, std::uint32_t value) const;

    Instant now{std::chrono::seconds(1)};
    FakeStore store;
    std::array<Agent, 2> agents;
    std::map<AgentCommand::WorkId, Work> works;
    std::vector<WorkMessage::Request> sent;
    std::map<std::string, int> callsOfKey;
    std::set<std::string> notSent; ///< requests whose connection failed before any byte was written
    std::uint64_t lastWork = 0;
    std::uint64_t lastLink = 0;
    std::uint64_t version = 1;
    std::size_t callCount = 0;
    std::string firstViolation;
};

} // namespace Nutmegrill
