#pragma once

#include "Core/Time.h"
#include "Experts/RankState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// One agent's part in the map changes of a group whose engines switch by themselves at an armed
/// step. Engines do not compare maps, orders can be carried out seconds late, and agents can die or
/// pause at any point; still no step may begin with two maps (G1).
///
/// 1. A rank is armed only after the holder, one fixed rank, is known to hold the step of the
/// change.
///    So from the first armed rank on, the step does not begin before the holder is released. One
///    holder is enough, and an agent of another rank that pauses after it has armed stops nobody.
/// 2. The holder is released only when every rank of the epoch is known to be armed for that
/// change.
///    Armed ranks stay armed, so this knowledge does not become wrong.
/// 3. Once a rank may be armed, the change goes forward only: every agent that hears of it and has
///    the map prepared joins. An arm order that arrives late does what is intended anyway, or finds
///    its step begun and is refused by the engine.
/// 4. An owner asks all agents to follow no lower ballot before it prepares a map. An agent that
///    carries a change through says so, and the owner then waits. So no map is prepared over
///    another one that a rank may be armed for.
/// 5. A restarted agent of the holder whose rank holds a step cannot know whether an arm order is
///    still on its way somewhere, so it carries the change through as well, and the others join.
///
/// All of this ends with the epoch: the engines then are at map 0 with nothing armed or held.
class RankSwitch
{
public:
    /// The rank that holds the step of a change.
    static constexpr std::uint32_t Holder = 0;

    /// Mechanisms that tests turn off to show that their proofs notice.
    struct Switches
    {
        bool holdBeforeArm = true;
        bool releaseWhenAllArmed = true;
    };

    RankSwitch() : RankSwitch(Switches{}) {}
    explicit RankSwitch(Switches switches) : switches(switches) {}

    /// The engine's own report. Taken before anything else is decided.
    void engineReported(const EngineState &engine);
    void commanded(const OwnerCommand &command);
    void peerReported(const RankState &peer);

    /// The order to give now, if any. One order is open at a time; answered() closes it.
    std::optional<EngineOrder> nextOrder(Instant now);
    void answered(Instant now, const EngineOrder &order, OrderAnswer answer);

    /// Fills in ballot, switching and versions.
    void describe(RankState &state) const;

    bool isSwitching() const { return this->target.has_value(); }
    /// Whether the engine is asked to do anything.
    bool isBusy() const { return this->target || this->toPrepare; }
    const std::optional<EngineState> &engine() const { return this->state; }

private:
    struct Prepare
    {
        std::uint64_t version = 0;
        std::vector<std::vector<std::vector<std::uint32_t>>> map;
    };

    void beginEpoch();
    bool isArmedHere() const;
    bool isStepHeld() const;
    bool allArmed() const;
    void joinPeers();

    Switches switches;
    std::optional<EngineState> state;
    std::uint64_t ballot = 0;
    std::optional<Prepare> toPrepare;
    std::optional<MapSwitch> target;
    /// Once sent, an arm order may be carried out, whatever its answer.
    bool armSent = false;
    std::uint64_t refusedVersion = 0;
    std::uint64_t highestVersion = 0;
    /// Ranks of the present epoch that said that they are armed, and for what.
    std::map<std::uint32_t, MapSwitch> armedPeers;
    std::map<std::uint32_t, MapSwitch> switchingPeers;
    /// Step that the holder's engine was last heard to hold.
    std::optional<std::uint64_t> holderHolds;
    std::uint64_t lostOrders = 0;
    bool orderOpen = false;
    Instant nextOrderAt;
};

} // namespace Nutmegrill
