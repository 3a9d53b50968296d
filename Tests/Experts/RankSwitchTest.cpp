#include "Experts/RankSwitch.h"
#include "Experts/GroupExchange.h"
#include "RelayShell/DatagramSocket.h"
#include "RelayShell/PeerCodec.h"
#include "SwitchWorld.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t Ranks = 4;
constexpr std::uint64_t Seeds = 30;

SwitchWorld::Faults allFaults()
{
    SwitchWorld::Faults faults;
    faults.lateCommands = 0.35;
    faults.lostMessages = 0.1;
    faults.pauses = true;
    faults.restarts = true;
    return faults;
}

/// Seeds whose run began a step with two maps.
std::uint64_t violations(const SwitchWorld::Faults &faults, RankSwitch::SafetyRules rules)
{
    std::uint64_t count = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SwitchWorld::Scale scale;
        scale.copyTime = std::chrono::milliseconds(300);
        SwitchWorld world(Ranks, seed, faults, rules, scale);
        count += world.run(seconds(60)).empty() ? 0 : 1;
    }
    return count;
}

} // namespace

class RankSwitchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RankSwitchTest);
    CPPUNIT_TEST(changesCompleteWithoutFaults);
    CPPUNIT_TEST(noStepBeginsWithTwoMaps);
    CPPUNIT_TEST(changesThatAreGivenUpMixNoMaps);
    CPPUNIT_TEST(lateCommandsOfKilledAgentsMixNoMaps);
    CPPUNIT_TEST(armingWithoutHoldIsDetected);
    CPPUNIT_TEST(earlyReleaseIsDetected);
    CPPUNIT_TEST(groupContinuesAfterFaultsEnd);
    CPPUNIT_TEST(commandsCarryTheEpoch);
    CPPUNIT_TEST(lateHoldIsReleased);
    CPPUNIT_TEST(lowerBallotIsIgnored);
    CPPUNIT_TEST(pausedArmedAgentDoesNotBlockGroup);
    CPPUNIT_TEST(pausedGiverOfHoldStopsItsGroup);
    CPPUNIT_TEST(largeGroupChangesMapsOverNarrowLinks);
    CPPUNIT_TEST(mapOfLargeGroupIsGivenUpWhileItIsSent);
    CPPUNIT_TEST(controlOfTargetGroupStaysWithinItsBudget);
    CPPUNIT_TEST(mapOfTargetGroupFitsDatagram);
    CPPUNIT_TEST(rankWithoutBaseGetsWholeMap);
    CPPUNIT_TEST(nextRankBecomesHub);
    CPPUNIT_TEST(onlyOneRankFollowsFailedHub);
    CPPUNIT_TEST(statesGoToTheNextHubForGood);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a protocol in which no step begins with two maps only because no change
    // completes.
    void changesCompleteWithoutFaults()
    {
        SwitchWorld world(Ranks, 1, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(30)));
        CPPUNIT_ASSERT(world.completedChanges() >= 3);
        CPPUNIT_ASSERT(world.step() > 400);
    }

    // Guards against a step that begins with two maps after late, lost or repeated commands, lost
    // messages, or paused or restarted agents.
    void noStepBeginsWithTwoMaps()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), violations(allFaults(), {}));
    }

    // Guards against a change that one agent gives up and another one, or a late command,
    // completes.
    void changesThatAreGivenUpMixNoMaps()
    {
        for (const bool restartsAll : {false, true}) {
            SwitchWorld::Faults faults = allFaults();
            faults.pauseAfterHold = seconds(restartsAll ? 1 : 2);
            faults.restartsOfAll = restartsAll ? 0.3 : 0;
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), violations(faults, {}));
        }
    }

    // Guards against two owners that give one version to two maps: all agents are killed, and a
    // rank executes a late prepare command of theirs when the next owner prepares its own map.
    void lateCommandsOfKilledAgentsMixNoMaps()
    {
        constexpr std::uint64_t Runs = 200;
        SwitchWorld::Faults faults;
        faults.lateCommands = 0.6;
        faults.restartsOfAll = 0.3;
        SwitchWorld::Scale scale;
        scale.copyTime = std::chrono::milliseconds(100);
        for (std::uint64_t seed = 1; seed <= Runs; ++seed) {
            SwitchWorld world(2, seed, faults, {}, scale);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         world.run(seconds(60)));
        }
    }

    void armingWithoutHoldIsDetected()
    {
        RankSwitch::SafetyRules rules;
        rules.holdBeforeArm = false;
        CPPUNIT_ASSERT(violations(allFaults(), rules) > 0);
    }

    void earlyReleaseIsDetected()
    {
        RankSwitch::SafetyRules rules;
        rules.releaseWhenAllArmed = false;
        CPPUNIT_ASSERT(violations(allFaults(), rules) > 0);
    }

    // Guards against a group that stays held after a change with lost commands or restarted agents.
    void groupContinuesAfterFaultsEnd()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            SwitchWorld world(Ranks, seed, allFaults());
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(30)));
            world.stopFaults();
            world.run(seconds(12));
            const std::uint64_t before = world.step();
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(10)));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), world.step() > before + 100);
        }
    }

    // Guards against a command that takes effect after the group has formed again.
    void commandsCarryTheEpoch()
    {
        RankSwitch rank;
        EngineState engine = this->openEngine();
        engine.preparedVersion = 4;
        rank.engineReported(engine);
        rank.ownerCommanded(this->command(OwnerCommand::Phase::Switch, 1, {4, 20}));
        // This agent arms its rank only after the holder, whose step is held, is armed.
        CPPUNIT_ASSERT(!rank.nextCommand(Instant()).has_value());
        RankState holder;
        holder.engine = engine;
        holder.engine.rank = RankSwitch::Holder;
        holder.engine.heldStep = 20;
        rank.peerReported(holder);
        CPPUNIT_ASSERT(!rank.nextCommand(Instant()).has_value());
        RankState own;
        rank.describe(own);
        CPPUNIT_ASSERT(own.acknowledgedStep == std::uint64_t(20));
        holder.engine.armed = MapSwitch{4, 20};
        rank.peerReported(holder);
        const auto engineCommand = rank.nextCommand(Instant());
        CPPUNIT_ASSERT(engineCommand.has_value());
        CPPUNIT_ASSERT(engineCommand->kind == EngineCommand::Kind::Arm);
        CPPUNIT_ASSERT_EQUAL(engine.epoch, engineCommand->epoch);
        engine.epoch = 8;
        engine.preparedVersion.reset();
        rank.engineReported(engine);
        CPPUNIT_ASSERT(!rank.isSwitching());
    }

    // Guards against a hold command that is executed after its change has ended and then blocks the
    // group. This held a group for 3.9 s.
    void lateHoldIsReleased()
    {
        RankSwitch rank;
        EngineState engine = this->openEngine();
        engine.heldStep = 40;
        rank.engineReported(engine);
        const auto engineCommand = rank.nextCommand(Instant());
        CPPUNIT_ASSERT(engineCommand.has_value());
        CPPUNIT_ASSERT(engineCommand->kind == EngineCommand::Kind::Release);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), engineCommand->change.step);
    }

    // Guards against a group that is blocked while one agent is paused. An agent paused for four
    // seconds just after it had armed its rank, and its own hold stopped the group for as long.
    void pausedArmedAgentDoesNotBlockGroup()
    {
        RankSwitch holder;
        EngineState engine = this->openEngine();
        engine.rank = RankSwitch::Holder;
        engine.preparedVersion = 4;
        engine.heldStep = 20;
        holder.engineReported(engine);
        holder.ownerCommanded(this->command(OwnerCommand::Phase::Switch, 1, {4, 20}));
        CPPUNIT_ASSERT(!holder.nextCommand(Instant()).has_value());
        RankState acknowledging;
        acknowledging.engine = this->openEngine();
        acknowledging.acknowledgedStep = 20;
        holder.peerReported(acknowledging);
        const auto arm = holder.nextCommand(Instant());
        CPPUNIT_ASSERT(arm.has_value() && arm->kind == EngineCommand::Kind::Arm);
        holder.commandAnswered(Instant(), *arm, EngineCommandResult::Accepted);
        CPPUNIT_ASSERT(!holder.nextCommand(Instant()).has_value());
        // The last report of the other agent before its pause.
        RankState other;
        other.engine = this->openEngine();
        other.engine.armed = MapSwitch{4, 20};
        CPPUNIT_ASSERT(!other.engine.heldStep.has_value());
        holder.peerReported(other);
        const auto engineCommand = holder.nextCommand(Instant());
        CPPUNIT_ASSERT(engineCommand.has_value()
                       && engineCommand->kind == EngineCommand::Kind::Release);
    }

    // Guards against a group that stands still, until its callers leave, because the machine that
    // gave the hold of a change pauses right after it.
    void pausedGiverOfHoldStopsItsGroup()
    {
        // Callers leave after two seconds without an event; half a second of it is for serving
        // them.
        constexpr std::chrono::milliseconds MaxStandstill{1500};
        SwitchWorld::Faults faults;
        faults.pauseAfterHold = seconds(4);
        SwitchWorld world(Ranks, 1, faults);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(30)));
        CPPUNIT_ASSERT(world.longestStandstill() <= MaxStandstill);
    }

    // Guards against an owner that resumes after a pause and continues with an outdated plan.
    void lowerBallotIsIgnored()
    {
        RankSwitch rank;
        EngineState engine = this->openEngine();
        engine.preparedVersion = 4;
        rank.engineReported(engine);
        rank.ownerCommanded(this->command(OwnerCommand::Phase::Survey, 9, {6, 0}));
        rank.ownerCommanded(this->command(OwnerCommand::Phase::Switch, 8, {4, 20}));
        CPPUNIT_ASSERT(!rank.isSwitching());
        rank.ownerCommanded(this->command(OwnerCommand::Phase::Switch, 9, {4, 20}));
        CPPUNIT_ASSERT(rank.isSwitching());
    }

    // Guards against a group of 63 ranks whose own messages fill the links, so that no change of
    // map ever reaches all ranks.
    void largeGroupChangesMapsOverNarrowLinks()
    {
        SwitchWorld::Scale scale;
        scale.layers = 8;
        scale.experts = 252;
        scale.placements = 5;
        scale.copyTime = std::chrono::milliseconds(300);
        scale.stepsPerShift = 80;
        scale.links = {1000000, 64U << 10U};
        SwitchWorld world(63, 1, {}, {}, scale);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(20)));
        CPPUNIT_ASSERT(world.completedChanges() >= 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.links().dropped());
    }

    // Guards against changes that are all given up because the owner's link takes longer for the
    // maps of all ranks than one rank may take.
    void mapOfLargeGroupIsGivenUpWhileItIsSent()
    {
        SwitchWorld::Scale scale;
        scale.layers = 8;
        scale.experts = 252;
        scale.placements = 5;
        scale.copyTime = std::chrono::milliseconds(300);
        scale.stepsPerShift = 400;
        scale.links = {110000, 64U << 10U};
        SwitchWorld world(63, 1, {}, {}, scale);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(40)));
        CPPUNIT_ASSERT(world.completedChanges() >= 1);
    }

    // Guards against traffic of each rank that grows with the group: 128 ranks may spend 12 KB/s.
    void controlOfTargetGroupStaysWithinItsBudget()
    {
        SwitchWorld::Scale scale;
        scale.layers = TargetLayers;
        scale.experts = TargetExperts;
        scale.placements = 2;
        scale.copyTime = std::chrono::milliseconds(300);
        scale.links = {1000000, 64U << 10U};
        SwitchWorld world(TargetRanks, 1, {}, {}, scale);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(20)));
        CPPUNIT_ASSERT(world.completedChanges() >= 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.links().dropped());
        for (const std::uint32_t rank : {1U, TargetRanks / 2, TargetRanks - 1}) {
            const std::uint64_t bytes =
                    world.links().sentBytes(rank) + world.links().receivedBytes(rank);
            CPPUNIT_ASSERT(bytes / 20 <= TargetBytesPerSecond);
        }
    }

    // Guards against a map that the network does not carry in one message.
    void mapOfTargetGroupFitsDatagram()
    {
        OwnerCommand command;
        command.phase = OwnerCommand::Phase::Prepare;
        command.map.assign(TargetLayers, ExpertSlots::value_type(TargetRanks));
        for (auto &layer : command.map) {
            for (std::uint32_t rank = 0; rank < TargetRanks; ++rank)
                layer[rank].assign(TargetExperts, TargetExperts + rank);
        }
        const std::string bytes = encodeOwnerCommand(command);
        const auto decoded = decodeOwnerCommand(bytes);
        CPPUNIT_ASSERT(decoded && decoded->map == command.map);
        // Even with each rank holding as many experts as there are, in numbers of one byte.
        CPPUNIT_ASSERT(bytes.size() > DatagramSocket::MaxBytes);
        for (auto &layer : command.map) {
            for (auto &rank : layer)
                rank.resize(TargetPlacements);
        }
        CPPUNIT_ASSERT(encodeOwnerCommand(command).size() < DatagramSocket::MaxBytes / 4);
    }

    // Guards against a difference that is applied to another map than its base.
    void rankWithoutBaseGetsWholeMap()
    {
        RankSwitch rank;
        EngineState engine = this->openEngine();
        engine.mapVersion = 4;
        rank.engineReported(engine);
        OwnerCommand prepare = this->command(OwnerCommand::Phase::Prepare, 1, {5, 0});
        prepare.delta = MapDelta{4, {{0, 1, {7}}}};
        rank.ownerCommanded(prepare);
        RankState state;
        rank.describe(state);
        CPPUNIT_ASSERT(state.receivedVersion < 5 && state.knownVersion == 0);
        prepare.map = {{{1}, {2}}};
        prepare.delta.reset();
        rank.ownerCommanded(prepare);
        engine.mapVersion = 5;
        rank.engineReported(engine);
        rank.describe(state);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), state.knownVersion);
        prepare.change.version = 6;
        prepare.delta = MapDelta{5, {{0, 1, {7}}}};
        prepare.map.clear();
        rank.ownerCommanded(prepare);
        const auto engineCommand = rank.nextCommand(Instant());
        CPPUNIT_ASSERT(engineCommand && engineCommand->map == (ExpertSlots{{{1}, {7}}}));
    }

    // Guards against a group that reports to a hub whose agent has failed.
    void nextRankBecomesHub()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        RankState own = this->stateOf(1, 1);
        GroupExchange::Messages messages;
        Instant now(seconds(100));
        for (const std::uint32_t other : {0U, 2U}) {
            RankState state = this->stateOf(other, 1);
            state.isHub = other == 0;
            exchange.stateReceived(now, state);
        }
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(!exchange.isHub() && messages.size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), messages.front().address);
        now += GroupExchange::livenessTimeout(own.engine.ranks);
        messages.clear();
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(exchange.isHub() && messages.size() == 2);
    }

    // Guards against many hubs at once: while there is a hub, an agent does not hear of lower
    // ranks.
    void onlyOneRankFollowsFailedHub()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        RankState own = this->stateOf(2, 1);
        RankState hub = this->stateOf(0, 1);
        hub.isHub = true;
        GroupExchange::Messages messages;
        Instant now(seconds(100));
        exchange.stateReceived(now, hub);
        exchange.tick(now, own, {}, messages);
        now += GroupExchange::livenessTimeout(own.engine.ranks);
        messages.clear();
        exchange.setPeers({"0", "1"});
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(!exchange.isHub());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), messages.size());
        RankState next = this->stateOf(1, 1);
        next.isHub = true;
        exchange.stateReceived(now, next);
        now += std::chrono::milliseconds(300);
        messages.clear();
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(!exchange.isHub());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), messages.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), messages.front().address);
    }

    // Guards against an agent that takes its failed hub for a live one again as soon as it follows
    // the next one, and sends every other state to the failed one.
    void statesGoToTheNextHubForGood()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        RankState own = this->stateOf(2, 1);
        RankState hub = this->stateOf(0, 1);
        hub.isHub = true;
        GroupExchange::Messages messages;
        Instant now(seconds(100));
        exchange.stateReceived(now, hub);
        exchange.tick(now, own, {}, messages);
        now += GroupExchange::livenessTimeout(own.engine.ranks);
        for (std::uint64_t tick = 1; tick <= 40; ++tick, now += std::chrono::milliseconds(20)) {
            RankState next = this->stateOf(1, tick);
            next.isHub = true;
            exchange.stateReceived(now, next);
            messages.clear();
            // Each tick has news to send.
            own.ballot = tick;
            exchange.tick(now, own, {}, messages);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), messages.size());
            CPPUNIT_ASSERT_EQUAL(std::string("1"), messages.front().address);
        }
        hub.sequence = 2;
        exchange.stateReceived(now, hub);
        messages.clear();
        own.ballot = 100;
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), messages.front().address);
    }

private:
    static constexpr std::uint32_t TargetRanks = 128;
    static constexpr std::uint32_t TargetLayers = 8;
    static constexpr std::uint32_t TargetExperts = 64;
    static constexpr std::uint32_t TargetPlacements = 8;
    static constexpr std::uint64_t TargetBytesPerSecond = 12000;

    RankState stateOf(std::uint32_t rank, std::uint64_t sequence) const
    {
        RankState state;
        state.engine = this->openEngine();
        state.engine.rank = rank;
        state.engine.ranks = 3;
        state.address = std::to_string(rank);
        state.incarnation = 1;
        state.sequence = sequence;
        return state;
    }

    EngineState openEngine() const
    {
        EngineState engine;
        engine.group = "g";
        engine.epoch = 7;
        engine.rank = 1;
        engine.ranks = 2;
        engine.isOpen = true;
        engine.step = 10;
        return engine;
    }

    OwnerCommand command(OwnerCommand::Phase phase, std::uint64_t ballot, MapSwitch change) const
    {
        OwnerCommand command;
        command.group = "g";
        command.epoch = 7;
        command.ballot = ballot;
        command.phase = phase;
        command.change = change;
        return command;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RankSwitchTest);

} // namespace Nutmegrill
