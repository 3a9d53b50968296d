#pragma once

#include "Experts/GroupIdentity.h"
#include "Experts/MapDelta.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A change of map that takes effect as a step begins.
struct MapSwitch
{
    std::uint64_t version = 0;
    std::uint64_t step = 0;

    bool operator==(const MapSwitch &) const = default;
};

/// State of a rank as reported by an engine that executes map changes itself.
struct EngineState
{
    std::string group;
    /// Rises each time the group forms again; all maps are then back at version 0.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    bool isOpen = false;
    /// The last step that has begun.
    std::uint64_t step = 0;
    std::uint64_t mapVersion = 0;
    /// Map whose experts are loaded but not in use.
    std::optional<std::uint64_t> preparedVersion;
    std::optional<MapSwitch> armed;
    /// Step that the group does not begin until this rank is released.
    std::optional<std::uint64_t> heldStep;
    /// Factor by which the rank is slower than it should be, 1 to RankPace::MaxPace.
    double pace = 1;

    bool isOfGroup(const GroupIdentity &identity) const
    {
        return this->ranks == identity.ranks && this->group == identity.name;
    }

    bool operator==(const EngineState &) const = default;
};

/// State that an agent reports to the agents of the other ranks.
struct RankState
{
    EngineState engine;
    /// Address of the agent.
    std::string address;
    /// Address of the engine.
    std::string engineAddress;
    /// Differs between two starts of the agent; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The agent follows no owner with a lower ballot.
    std::uint64_t ballot = 0;
    /// Change that the agent is completing; it is no longer abandoned.
    std::optional<MapSwitch> switching;
    /// Step of the change whose hold the agent knows of.
    std::optional<std::uint64_t> acknowledgedStep;
    /// Highest version that the rank is known to have had, or that it has refused.
    std::uint64_t highestVersion = 0;
    /// Version that the engine has refused to prepare.
    std::uint64_t refusedVersion = 0;
    /// Highest version whose map the agent has received.
    std::uint64_t receivedVersion = 0;
    /// Version of the map in use if the agent knows the map of all ranks, otherwise 0.
    std::uint64_t knownVersion = 0;
    /// Commands without an answer since the agent's start.
    std::uint64_t lostCommands = 0;
    /// Experts that the rank holds, by layer; empty unless the hub asks for them.
    std::vector<std::vector<std::uint32_t>> experts;

    /// What the agent knows of the whole group: a change for which a rank may be armed, the step
    /// that the holder holds, and a change for which all ranks are armed.
    std::optional<MapSwitch> groupSwitch;
    std::optional<std::uint64_t> groupHeldStep;
    /// The change for which the holder is armed.
    std::optional<MapSwitch> holderArmed;
    std::optional<MapSwitch> allArmed;

    /// The other agents report to this one alone; see GroupExchange.
    bool isHub = false;
    /// Told by the hub: it lacks the experts of some rank.
    bool wantsExperts = false;
    /// Told by the hub: period of the counts of each rank.
    std::chrono::milliseconds countsPeriod{0};
    /// An entry that asked this agent for its group, for the hub that tells entries of slow ranks;
    /// empty if none did lately.
    std::string entry;
};

/// Request of the owner of a group to all agents, repeated until all have followed it.
struct OwnerCommand
{
    enum class Phase {
        Survey,  ///< follow no owner with a lower ballot, and report the state
        Prepare, ///< load the experts of the map
        Switch   ///< use the map from the step on
    };

    std::string group;
    std::uint64_t epoch = 0;
    /// Rank of the owner's agent.
    std::uint32_t owner = 0;
    std::uint64_t ballot = 0;
    Phase phase = Phase::Survey;
    MapSwitch change;
    /// experts[layer][rank]; for Prepare.
    ExpertSlots map;
    /// The same map for agents that know its base; they get no map.
    std::optional<MapDelta> delta;
};

/// Command to the engine of the agent's own rank. It carries the epoch, so that a command executed
/// late has no effect in another epoch.
struct EngineCommand
{
    enum class Kind { Prepare, Hold, Arm, Release };

    Kind kind = Kind::Prepare;
    std::uint64_t epoch = 0;
    MapSwitch change;
    std::vector<std::vector<std::vector<std::uint32_t>>> map;
};

/// Result of an engine command.
enum class EngineCommandResult {
    Accepted,
    Refused, ///< does not fit the state of the engine and will not be executed
    Unknown  ///< no answer: it may be executed at any later time
};

} // namespace Nutmegrill
