#pragma once

#include "Agent/AgentCommand.h"
#include "Agent/AgentSettings.h"
#include "Core/Time.h"

#include <memory>
#include <string>

namespace Nutmegrill {

/// Decision logic of an agent. Admits requests to its backend server and buffers their answers.
class AgentNode
{
public:
    explicit AgentNode(AgentSettings settings);
    ~AgentNode();
    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    void handle(Instant now, const AgentEvent::Any &event, AgentCommand::List &commands);
    void tick(Instant now, AgentCommand::List &commands);

    /// The configuration in force; null before the first one.
    ConfigurationPtr configuration() const;

    /// State dump as JSON.
    std::string dump(Instant now) const;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace Nutmegrill
