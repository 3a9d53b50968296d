#include "Agent/AgentNode.h"

#include <utility>

namespace Nutmegrill {

class AgentNode::State
{
public:
    explicit State(AgentSettings settings) : settings(std::move(settings)) {}

    AgentSettings settings;
    ConfigurationPtr configuration;
};

AgentNode::AgentNode(AgentSettings settings) : state(std::make_unique<State>(std::move(settings)))
{}

AgentNode::~AgentNode() = default;

ConfigurationPtr AgentNode::configuration() const
{
    return this->state->configuration;
}

} // namespace Nutmegrill
