#pragma once

#include "Agent/AgentNode.h"
#include "FakeStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Drives an agent with text lines "<ms> <verb> <words> <name>=<value>...". Each line is one event
/// followed by a tick; each returned command becomes one trace line.
class AgentScript
{
public:
    explicit AgentScript(AgentMechanisms mechanisms = {});

    std::vector<std::string> run(const std::string &line);

    /// Runs several lines and returns all trace lines joined by line ends.
    std::string runAll(const std::vector<std::string> &lines);

    std::string dump() const { return this->node.dump(Instant()); }

    /// A configuration of one place with the failure domains "north" and "south" and the service
    /// "ledger" (cold 2, warm 6 unless given).
    static ConfigurationPtr configuration(std::map<std::string, std::string> values);

    static std::string describe(const AgentCommand::Any &command);

    FakeStore store;

private:
    using Values = std::map<std::string, std::string>;

    std::optional<AgentEvent::Any>
    parse(const std::string &verb, const std::vector<std::string> &words, const Values &values);
    AgentEvent::Any parsePeer(const std::string &verb, const std::vector<std::string> &words,
                              const Values &values) const;
    AgentEvent::Any parseBackend(const std::string &verb, const std::vector<std::string> &words,
                                 const Values &values) const;
    static AgentEvent::Any parseWork(const std::string &work, const Values &values);

    AgentNode node;
    std::optional<AgentCommand::WriteClaims> openBatch;
};

} // namespace Nutmegrill
