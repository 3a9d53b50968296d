#include "Experts/GroupExchange.h"
#include "Experts/SwitchOwner.h"
#include "RelayShell/PeerCodec.h"
#include "SwitchWorld.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seeds = 10;

SwitchWorld::Scale scaleOf(std::vector<std::uint32_t> otherGroups)
{
    SwitchWorld::Scale scale;
    scale.layers = 2;
    scale.experts = 64;
    scale.placements = 16;
    scale.copyTime = milliseconds(200);
    scale.otherGroups = std::move(otherGroups);
    return scale;
}

} // namespace

/// Several model groups of one service: agents hear of the ranks of all groups, and each group has
/// a rank of each number.
class ModelGroupsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ModelGroupsTest);
    CPPUNIT_TEST(twoGroupsOfEightChangeTheirMaps);
    CPPUNIT_TEST(twoGroupsOfThirtyTwoChangeTheirMaps);
    CPPUNIT_TEST(threeGroupsOfFiveChangeTheirMaps);
    CPPUNIT_TEST(groupsOfUnequalSizesChangeTheirMaps);
    CPPUNIT_TEST(groupFoundedLateChangesItsMaps);
    CPPUNIT_TEST(serverMovesToTheOtherGroup);
    CPPUNIT_TEST(noStepBeginsWithTwoMapsInTwoGroups);
    CPPUNIT_TEST(repeatedMessagesOfTheOtherGroupChangeNothing);
    CPPUNIT_TEST(agentOfOneOfTwoGroupsSendsNoMore);
    CPPUNIT_TEST(stateOfTheOtherGroupIsIgnored);
    CPPUNIT_TEST(stateWithRankOutOfRangeIsIgnored);
    CPPUNIT_TEST(lateStateOfTheFormerGroupKeepsTheRank);
    CPPUNIT_TEST(countsOfTheOtherGroupAreIgnored);
    CPPUNIT_TEST(groupThatChangesItsSizeStartsAfresh);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against agents that take the ranks of the other group for those of their own: a
    // service with two groups changed no map in a whole day.
    void twoGroupsOfEightChangeTheirMaps() { this->checkChanges(8, scaleOf({8}), Seeds); }

    void twoGroupsOfThirtyTwoChangeTheirMaps()
    {
        SwitchWorld::Scale scale = scaleOf({32});
        scale.links = {1000000, 64U << 10U};
        this->checkChanges(32, scale, 2);
    }

    void threeGroupsOfFiveChangeTheirMaps() { this->checkChanges(5, scaleOf({5, 5}), Seeds); }

    void groupsOfUnequalSizesChangeTheirMaps() { this->checkChanges(3, scaleOf({8, 5}), Seeds); }

    void groupFoundedLateChangesItsMaps()
    {
        SwitchWorld world(6, 1, {}, {}, scaleOf({6}));
        world.delayGroup(1);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(15)));
        const std::uint64_t before = world.completedChanges(0);
        CPPUNIT_ASSERT(before >= 2);
        world.foundGroup(1);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(20)));
        CPPUNIT_ASSERT(world.completedChanges(0) >= before + 2);
        CPPUNIT_ASSERT(world.completedChanges(1) >= 2);
    }

    // Guards against a rank that stays known under its former group.
    void serverMovesToTheOtherGroup()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            SwitchWorld world(5, seed, {}, {}, scaleOf({4}));
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(15)));
            world.moveServer(0, 1);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(5)));
            const std::uint64_t first = world.completedChanges(0);
            const std::uint64_t second = world.completedChanges(1);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(20)));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   world.completedChanges(0) >= first + 2
                                           && world.completedChanges(1) >= second + 2);
        }
    }

    void noStepBeginsWithTwoMapsInTwoGroups()
    {
        SwitchWorld::Faults faults;
        faults.lateCommands = 0.35;
        faults.lostMessages = 0.1;
        faults.pauses = true;
        faults.restarts = true;
        std::uint64_t changes = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            SwitchWorld world(4, seed, faults, {}, scaleOf({4}));
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(40)));
            changes += world.completedChanges(0) + world.completedChanges(1);
        }
        // Guards against a run without violation only because no change completes.
        CPPUNIT_ASSERT(changes >= Seeds);
    }

    void repeatedMessagesOfTheOtherGroupChangeNothing()
    {
        SwitchWorld world(5, 1, {}, {}, scaleOf({5}));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(10)));
        const std::uint64_t before = world.completedChanges(1);
        for (int round = 0; round < 40; ++round) {
            world.repeatMessages(0, 1);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(milliseconds(500)));
        }
        CPPUNIT_ASSERT(world.completedChanges(1) >= before + 3);
    }

    // Guards against agents that tell the ranks of the other group their state for good.
    void agentOfOneOfTwoGroupsSendsNoMore()
    {
        SwitchWorld alone(32, 1, {}, {}, scaleOf({}));
        SwitchWorld beside(32, 1, {}, {}, scaleOf({32}));
        std::vector<std::vector<std::uint64_t>> bytes;
        for (SwitchWorld *world : {&alone, &beside}) {
            // The agents find each other in the first seconds.
            CPPUNIT_ASSERT_EQUAL(std::string(), world->run(seconds(5)));
            std::vector<std::uint64_t> before;
            for (const std::uint32_t rank : {0U, 9U})
                before.push_back(world->links().sentBytes(rank)
                                 + world->links().receivedBytes(rank));
            CPPUNIT_ASSERT_EQUAL(std::string(), world->run(seconds(20)));
            bytes.emplace_back();
            for (const std::uint32_t rank : {0U, 9U})
                bytes.back().push_back(world->links().sentBytes(rank)
                                       + world->links().receivedBytes(rank)
                                       - before[bytes.back().size()]);
        }
        // The demand of the two worlds differs, and so do their changes.
        const std::uint64_t changes = std::max<std::uint64_t>(1, alone.completedChanges());
        const double allowed =
                1.1 * std::max<double>(1, static_cast<double>(beside.completedChanges()) / changes);
        for (std::size_t index = 0; index < 2; ++index)
            CPPUNIT_ASSERT(static_cast<double>(bytes[1][index])
                           <= allowed * static_cast<double>(bytes[0][index]));
    }

    void stateOfTheOtherGroupIsIgnored()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        exchange.setPeers({"a0", "a2", "b0", "b1"});
        RankState own = this->stateOf("a", 1, 3);
        GroupExchange::Messages messages;
        Instant now(seconds(100));
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), messages.size());
        RankState other = this->stateOf("b", 0, 3);
        other.isHub = true;
        CPPUNIT_ASSERT(!this->isTaken(exchange, now, other));
        CPPUNIT_ASSERT(exchange.find(0) == nullptr);
        // The other group's agent is told no more.
        now += GroupExchange::livenessTimeout(3);
        messages.clear();
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(exchange.isHub());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), messages.size());
        for (const GroupExchange::Message &message : messages)
            CPPUNIT_ASSERT(message.address != "b0");
        // It has started again in this group.
        other = this->stateOf("a", 0, 3);
        other.address = "b0";
        other.incarnation = 2;
        CPPUNIT_ASSERT(this->isTaken(exchange, now, other));
        now += GroupExchange::livenessTimeout(3) / 2;
        messages.clear();
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), messages.size());
    }

    void stateWithRankOutOfRangeIsIgnored()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        RankState own = this->stateOf("a", 0, 3);
        GroupExchange::Messages messages;
        const Instant now(seconds(100));
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(!this->isTaken(exchange, now, this->stateOf("a", 3, 3)));
        CPPUNIT_ASSERT(exchange.find(3) == nullptr);
        // A state of another size of the group is not of this group.
        CPPUNIT_ASSERT(!this->isTaken(exchange, now, this->stateOf("a", 3, 4)));
        CPPUNIT_ASSERT(this->isTaken(exchange, now, this->stateOf("a", 2, 3)));
    }

    // Guards against a delayed state from before a new start that takes the rank out of its group.
    void lateStateOfTheFormerGroupKeepsTheRank()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        exchange.setPeers({"x"});
        RankState own = this->stateOf("a", 0, 3);
        GroupExchange::Messages messages;
        const Instant now(seconds(100));
        exchange.tick(now, own, {}, messages);
        RankState moved = this->stateOf("a", 1, 3);
        moved.address = "x";
        moved.sequence = 50;
        CPPUNIT_ASSERT(this->isTaken(exchange, now, moved));
        RankState former = this->stateOf("b", 1, 3);
        former.address = "x";
        former.sequence = 49;
        CPPUNIT_ASSERT(!this->isTaken(exchange, now, former));
        CPPUNIT_ASSERT(exchange.find(1) != nullptr);
        former.sequence = 51;
        CPPUNIT_ASSERT(!this->isTaken(exchange, now, former));
        CPPUNIT_ASSERT(exchange.find(1) == nullptr);
    }

    // Guards against counts of the other group that are planned for.
    void countsOfTheOtherGroupAreIgnored()
    {
        ExpertCounts counts;
        counts.group = "a";
        counts.counts = {1, 2, 3};
        const std::string bytes = encodeExpertCounts(counts);
        const auto decoded = decodeExpertCounts(bytes);
        CPPUNIT_ASSERT(decoded && decoded->group == "a");
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CPPUNIT_ASSERT(!decodeExpertCounts(std::string_view(bytes).substr(0, length)));
        for (const std::string &group : {std::string("a"), std::string("b")}) {
            SwitchOwner owner = this->ownerOf("a");
            Instant now(seconds(100));
            counts.group = group;
            counts.counts = {1000, 1, 1, 1};
            bool hasPlanned = false;
            for (int round = 0; round < 40; ++round, now += milliseconds(100)) {
                for (std::uint32_t rank = 0; rank < 2; ++rank) {
                    RankState state = this->stateOf("a", rank, 2);
                    state.sequence = static_cast<std::uint64_t>(round) + 1;
                    state.experts = {{2 * rank, 2 * rank + 1}};
                    owner.report(now, state);
                }
                owner.addCounts(counts);
                hasPlanned = hasPlanned || owner.tick(now, 0).has_value();
            }
            CPPUNIT_ASSERT_EQUAL(group == "a", hasPlanned);
        }
    }

    // Guards against a plan for ranks that the group no longer has.
    void groupThatChangesItsSizeStartsAfresh()
    {
        GroupExchange exchange(GroupExchange::Settings{});
        GroupExchange::Messages messages;
        const Instant now(seconds(100));
        RankState own = this->stateOf("a", 0, 4);
        exchange.tick(now, own, {}, messages);
        for (std::uint32_t rank = 1; rank < 4; ++rank)
            CPPUNIT_ASSERT(this->isTaken(exchange, now, this->stateOf("a", rank, 4)));
        own = this->stateOf("a", 0, 3);
        exchange.tick(now, own, {}, messages);
        CPPUNIT_ASSERT(exchange.states().empty());
        CPPUNIT_ASSERT(this->isTaken(exchange, now, this->stateOf("a", 1, 3)));
    }

private:
    /// All groups complete changes, and these lower the skew, on each of the seeds.
    void checkChanges(std::uint32_t ranks, const SwitchWorld::Scale &scale, std::uint64_t seeds)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            SwitchWorld world(ranks, seed, {}, {}, scale);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(25)));
            for (std::uint32_t group = 0; group <= scale.otherGroups.size(); ++group) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " group "
                                               + std::to_string(group) + " changes "
                                               + std::to_string(world.completedChanges(group)),
                                       world.completedChanges(group) >= 3);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.links().dropped());
        }
    }

    bool isTaken(GroupExchange &exchange, Instant now, const RankState &state) const
    {
        return exchange.stateReceived(now, state) == GroupExchange::Receipt::New;
    }

    SwitchOwner ownerOf(const std::string &group) const
    {
        SwitchOwner::Settings settings;
        settings.layers = 1;
        settings.experts = 4;
        settings.placements = 3;
        settings.spares = 2;
        settings.planner.startSkew = 1.1;
        settings.planner.startAfter = seconds(0);
        settings.planner.minImprovement = 0.01;
        settings.planner.loadsPerRank = 2;
        settings.planner.chains = false;
        SwitchOwner owner(settings, PlanNumbering({}, 1));
        owner.enterGroup({group, 2});
        return owner;
    }

    RankState stateOf(const std::string &group, std::uint32_t rank, std::uint32_t ranks) const
    {
        RankState state;
        state.engine.group = group;
        state.engine.epoch = 7;
        state.engine.rank = rank;
        state.engine.ranks = ranks;
        state.engine.isOpen = true;
        state.engine.step = 10;
        state.address = group + std::to_string(rank);
        state.incarnation = 1;
        state.sequence = 1;
        return state;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelGroupsTest);

} // namespace Nutmegrill
