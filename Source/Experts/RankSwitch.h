#pragma once

#include "Core/Time.h"
#include "Experts/RankState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Runs the map changes of one agent in a group whose engines switch by themselves at an armed
/// step. Engines do not compare maps, commands can be executed seconds late, and agents can crash
/// or pause at any point; despite this no step may begin with two maps.
///
/// 1. A rank is armed only after the holder, one fixed rank, is known to hold the step of the
///    change. From the first armed rank on, the step does not begin before the holder is released.
///    One holder is enough, and an agent of another rank that pauses after arming does not block
///    the group.
/// 2. The holder is released only when every rank of the epoch is known to be armed for the change.
///    Armed ranks stay armed, so this remains true.
/// 3. Once a rank may be armed, the change is no longer abandoned: every agent that learns of it
///    and has the map prepared joins. A late arm command either has the intended effect, or its
///    step has begun and the engine refuses it.
/// 4. An owner asks all agents to follow no lower ballot before it prepares a map. An agent that
///    is switching reports the change, and the owner then waits. This prevents a map from being
///    prepared over another one that a rank may be armed for.
/// 5. A restarted agent of the holder whose rank holds a step cannot know whether an arm command is
///    still in flight, so it completes the change as well, and the others join.
///
/// All of this ends with the epoch: the engines then are at map 0 with nothing armed or held.
class RankSwitch
{
public:
    /// The rank that holds the step of a change.
    static constexpr std::uint32_t Holder = 0;

    /// Safety rules that tests disable to check that a violation is detected.
    struct SafetyRules
    {
        bool holdBeforeArm = true;
        bool releaseWhenAllArmed = true;
    };

    RankSwitch() : RankSwitch(SafetyRules{}) {}
    explicit RankSwitch(SafetyRules rules) : rules(rules) {}

    /// Report of the own engine. No command is given before the first one.
    void engineReported(const EngineState &engine);
    void ownerCommanded(const OwnerCommand &command);
    void peerReported(const RankState &peer);

    /// Next command for the engine, if any. One command is outstanding at a time, until
    /// commandAnswered().
    std::optional<EngineCommand> nextCommand(Instant now);
    void commandAnswered(Instant now, const EngineCommand &command, EngineCommandResult answer);

    /// Fills in ballot, switching and versions.
    void describe(RankState &state) const;

    bool isSwitching() const { return this->target.has_value(); }
    /// Whether a switch or the preparation of a map is in progress.
    bool isBusy() const { return this->target || this->toPrepare; }
    const std::optional<EngineState> &engine() const { return this->state; }

private:
    struct Prepare
    {
        std::uint64_t version = 0;
        std::vector<std::vector<std::vector<std::uint32_t>>> map;
    };

    void beginEpoch();
    void receiveMap(const OwnerCommand &command);
    bool isArmedHere() const;
    bool isStepHeld() const;
    bool allArmed() const;
    std::optional<MapSwitch> knownGroupSwitch() const;
    void joinPeers();

    SafetyRules rules;
    std::optional<EngineState> state;
    std::uint64_t ballot = 0;
    std::optional<Prepare> toPrepare;
    std::optional<MapSwitch> target;
    /// An arm command that was sent may be executed, whatever its answer.
    bool armSent = false;
    std::uint64_t refusedVersion = 0;
    std::uint64_t highestVersion = 0;
    /// Armed changes reported by other ranks in the present epoch.
    std::map<std::uint32_t, MapSwitch> armedPeers;
    std::map<std::uint32_t, MapSwitch> switchingPeers;
    /// Step that the holder last reported as held.
    std::optional<std::uint64_t> holderHolds;
    /// Change for which another agent knows all ranks to be armed.
    std::optional<MapSwitch> allArmedReported;
    std::uint64_t receivedVersion = 0;
    /// Maps of all ranks by version, from the one in use on.
    std::map<std::uint64_t, ExpertSlots> receivedMaps;
    std::uint64_t lostCommands = 0;
    bool commandOutstanding = false;
    Instant nextCommandAt;
};

} // namespace Nutmegrill
