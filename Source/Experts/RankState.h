#pragma once

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

/// What a model engine that carries out map changes itself says about its rank.
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

    bool operator==(const EngineState &) const = default;
};

/// What an agent tells the agents of the other ranks.
struct RankState
{
    EngineState engine;
    /// Where the agent is reached.
    std::string address;
    /// Where the engine is reached.
    std::string engineAddress;
    /// Another agent has asked the engine, because the rank's own agent is silent.
    bool isToldByOther = false;
    /// Differs between two starts of the agent; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The agent follows no owner with a lower ballot.
    std::uint64_t ballot = 0;
    /// The agent carries this change through; it is not given up any more.
    std::optional<MapSwitch> switching;
    /// Highest version that the rank is known to have had, or that it has refused.
    std::uint64_t highestVersion = 0;
    /// Version that the engine has refused to prepare.
    std::uint64_t refusedVersion = 0;
    /// Orders without an answer since the agent's start.
    std::uint64_t lostOrders = 0;
    /// Experts that the rank holds, by layer; sent to the owner only.
    std::vector<std::vector<std::uint32_t>> experts;
    /// How often the requests of this rank chose each expert since its start, layer after layer;
    /// sent to the owner only.
    std::vector<std::uint64_t> counts;
};

/// What the owner of a group asks of all agents. It is repeated until all have followed.
struct OwnerCommand
{
    enum class Phase {
        Survey,  ///< follow no owner with a lower ballot, and tell your state
        Prepare, ///< load the experts of the map
        Switch   ///< use the map from the step on
    };

    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t ballot = 0;
    Phase phase = Phase::Survey;
    MapSwitch change;
    /// experts[layer][rank]; for Prepare.
    std::vector<std::vector<std::vector<std::uint32_t>>> map;
};

/// An order to the engine of the agent's own rank. All orders carry the epoch, so that one that is
/// carried out late does nothing in another epoch.
struct EngineOrder
{
    enum class Kind { Prepare, Hold, Arm, Release };

    Kind kind = Kind::Prepare;
    std::uint64_t epoch = 0;
    MapSwitch change;
    std::vector<std::vector<std::vector<std::uint32_t>>> map;
};

/// Outcome of an order.
enum class OrderAnswer {
    Accepted,
    Refused, ///< it does not fit the state of the engine and will not be carried out
    Unknown  ///< no answer: it may be carried out at any later time
};

} // namespace Nutmegrill
