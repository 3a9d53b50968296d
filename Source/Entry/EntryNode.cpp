#include "Entry/EntryNode.h"

#include <utility>

namespace Nutmegrill {

class EntryNode::State
{
public:
    explicit State(EntrySettings settings) : settings(std::move(settings)) {}

    EntrySettings settings;
    ConfigurationPtr configuration;
};

EntryNode::EntryNode(EntrySettings settings) : state(std::make_unique<State>(std::move(settings)))
{}

EntryNode::~EntryNode() = default;

ConfigurationPtr EntryNode::configuration() const
{
    return this->state->configuration;
}

} // namespace Nutmegrill
