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
/// 1. The holder, one fixed rank, is armed only while its engine holds the step of the change, and
///    another rank only after the holder is known to be armed. From the first armed rank on, the
///    step does not begin before the holder is released. One holder is enough, and an agent of
///    another rank that pauses after arming does not block the group.
/// 2. The holder is released only when every rank of the epoch is known to be armed for the change,
///    or when its engine can no longer be armed for it. Both remain true.
/// 3. The agent of another rank gives the hold, so that a machine that pauses right after it can be
///    left out. The holder is armed once all agents have acknowledged the hold. Otherwise the
///    change is given up: the holder prepares the same map under a substitute number. Its engine
///    refuses that if it is armed, and refuses to be armed for the change afterwards, so that late
///    commands and restarted agents cannot change the outcome.
/// 4. Once the holder is armed, the change is no longer given up: every agent that learns of it
///    and has the map prepared joins. A late arm command either has the intended effect, or its
///    step has begun and the engine refuses it.
/// 5. An owner asks all agents to follow no lower ballot before it prepares a map. An agent that
///    is switching reports the change, and the owner then waits. This prevents a map from being
///    prepared over another one that a rank may be armed for.
/// 6. A restarted agent of the holder whose rank holds a step cannot know whether an arm command is
///    still in flight, so it completes the change as well, and the others join. The number of the
///    map tells whether the change was given up before.
///
/// All of this ends with the epoch: the engines then are at map 0 with nothing armed or held.
class RankSwitch
{
public:
    /// The rank that holds the step of a change.
    static constexpr std::uint32_t Holder = 0;
    /// The rank whose agent gives the hold, in a group of several ranks.
    static constexpr std::uint32_t HoldGiver = 1;

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

    /// Hold command for the engine of the holder, if this agent has to give it now. Independent of
    /// nextCommand(); one is outstanding at a time, until holdAnswered().
    std::optional<EngineCommand> nextHold(Instant now);
    void holdAnswered(Instant now, const EngineCommand &command, EngineCommandResult answer);

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
    void endSwitch();
    bool isArmedHere() const;
    bool allArmed() const;
    bool isHolderArmed() const;
    bool isHoldAcknowledged() const;
    /// The engine of the holder cannot be armed for the change any more.
    bool isGivenUp() const;
    /// Next command of the holder's agent before all ranks are armed.
    std::optional<EngineCommand::Kind> nextHolderCommand(Instant now);
    bool holdsOwnStep() const;
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
    /// Steps whose hold other ranks have acknowledged.
    std::map<std::uint32_t, std::uint64_t> acknowledgedSteps;
    /// Step that the holder last reported as held.
    std::optional<std::uint64_t> holderHolds;
    /// Change for which the holder is known to be armed.
    std::optional<MapSwitch> holderArmed;
    /// When the holder's agent gives the change up unless the hold is acknowledged before.
    std::optional<Instant> giveUpAt;
    /// Change for which another agent knows all ranks to be armed.
    std::optional<MapSwitch> allArmedReported;
    std::uint64_t receivedVersion = 0;
    /// Maps of all ranks by version, from the one in use on.
    std::map<std::uint64_t, ExpertSlots> receivedMaps;
    std::uint64_t lostCommands = 0;
    bool commandOutstanding = false;
    Instant nextCommandAt;
    bool holdOutstanding = false;
    /// Step for which the engine of the holder has accepted a hold of this agent.
    std::optional<std::uint64_t> holdAcceptedFor;
    Instant nextHoldAt;
};

} // namespace Nutmegrill
