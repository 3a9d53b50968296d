#include "Core/RandomSource.h"
#include "Experts/GroupPaces.h"
#include "Experts/LayerPlacement.h"
#include "Experts/PlacementPlanner.h"
#include "Experts/RankPace.h"
#include "RelayShell/PeerCodec.h"
#include "SwitchWorld.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Ranks = 63;
constexpr std::uint32_t Layers = 8;
constexpr std::uint32_t Experts = 252;
constexpr std::uint32_t Placements = 5;
constexpr std::uint32_t LoadsPerChange = 3;
constexpr std::uint32_t SlowRankNumber = 20;
constexpr double Pace = 5;

} // namespace

/// The load: one rank of 63 is five times slower for nine seconds.
class SlowRankTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowRankTest);
    CPPUNIT_TEST(paceCountsAfterItHasLasted);
    CPPUNIT_TEST(paceEndsWithTheReports);
    CPPUNIT_TEST(silentAndTooManySlowRanksDoNotCount);
    CPPUNIT_TEST(paceReachesOnlyAgentsThatKnowIt);
    CPPUNIT_TEST(plansGiveSlowRanksFewerTokens);
    CPPUNIT_TEST(slowRankLosesItsTokens);
    CPPUNIT_TEST(groupPassesTheSlowRankBy);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change of map for a slowness that is over before the map is in use, and
    // against a change back for a pause in it.
    void paceCountsAfterItHasLasted()
    {
        RankPace pace;
        Instant now(seconds(100));
        const auto run = [&](milliseconds span, double reported) {
            for (const Instant end = now + span; now < end; now += milliseconds(50))
                pace.reported(now, reported);
            return pace.at(now);
        };
        CPPUNIT_ASSERT_EQUAL(1.0, run(milliseconds(350), Pace));
        CPPUNIT_ASSERT(pace.isPending());
        CPPUNIT_ASSERT_EQUAL(1.0, run(milliseconds(50), 1));
        CPPUNIT_ASSERT_EQUAL(1.0, run(milliseconds(400), Pace));
        CPPUNIT_ASSERT_EQUAL(Pace, run(milliseconds(50), Pace));
        CPPUNIT_ASSERT_EQUAL(Pace, run(milliseconds(1450), 1));
        CPPUNIT_ASSERT_EQUAL(Pace, run(milliseconds(50), 1.1 * Pace));
        CPPUNIT_ASSERT_EQUAL(12.0, run(milliseconds(50), 12));
        CPPUNIT_ASSERT_EQUAL(12.0, run(milliseconds(1500), 1));
        CPPUNIT_ASSERT_EQUAL(1.0, run(milliseconds(50), 1));
    }

    // Guards against a rank that stays slow for ever because its engine or agent is silent, and
    // against values that break the planner.
    void paceEndsWithTheReports()
    {
        RankPace pace;
        const Instant now(seconds(100));
        pace.reported(now, 1000);
        pace.reported(now + milliseconds(400), 1000);
        CPPUNIT_ASSERT_EQUAL(100.0, pace.at(now + milliseconds(2399)));
        CPPUNIT_ASSERT_EQUAL(1.0, pace.at(now + milliseconds(2400)));
        pace.reported(now + milliseconds(2400), Pace);
        CPPUNIT_ASSERT_EQUAL(1.0, pace.at(now + milliseconds(2400)));
        for (const double odd : {-1.0, 0.0, 0.5, std::numeric_limits<double>::quiet_NaN()})
            CPPUNIT_ASSERT_EQUAL(1.0, RankPace::clamp(odd));
    }

    // Guards against ranks without an agent that stay slow, and against a group whose few other
    // ranks get all the work.
    void silentAndTooManySlowRanksDoNotCount()
    {
        const Instant now(seconds(100));
        GroupPaces group(8);
        group.add(8, Pace, now);
        group.add(0, Pace, now);
        group.add(1, Pace, now - RankPace::MaxAge);
        group.add(2, Pace, now - RankPace::MaxAge + milliseconds(1));
        CPPUNIT_ASSERT(group.at(now) == std::vector<double>({Pace, 1, Pace, 1, 1, 1, 1, 1}));
        group.add(3, Pace, now);
        CPPUNIT_ASSERT(group.at(now) == std::vector<double>(8, 1));
    }

    // Guards against messages that agents without the field cannot read, or whose absence of the
    // field counts as a pace.
    void paceReachesOnlyAgentsThatKnowIt()
    {
        RankState state;
        state.engine.group = "g";
        const std::string without = encodeRankState(state);
        CPPUNIT_ASSERT_EQUAL(1.0, decodeRankState(without)->engine.pace);
        state.engine.pace = Pace;
        state.entry = "10.0.0.1:7340";
        const std::string with = encodeRankState(state);
        CPPUNIT_ASSERT_EQUAL(Pace, decodeRankState(with)->engine.pace);
        CPPUNIT_ASSERT_EQUAL(state.entry, decodeRankState(with)->entry);
        CPPUNIT_ASSERT_EQUAL(std::string::npos, without.find("pc"));
        state.engine.pace = 1e9;
        CPPUNIT_ASSERT_EQUAL(100.0, decodeRankState(encodeRankState(state))->engine.pace);
    }

    // Guards against an expert that no rank holds, a rank with another number of slots, and more
    // loads than a change may have, for any paces; and against moves that make a slow rank the
    // slowest one.
    void plansGiveSlowRanksFewerTokens()
    {
        RandomSource random(7);
        PlannerSettings settings;
        settings.loadsPerRank = 2;
        const PlacementPlanner planner(settings);
        for (int round = 0; round < 300; ++round) {
            const auto ranks = static_cast<std::uint32_t>(4 + random.below(20));
            const auto slots = static_cast<std::uint32_t>(2 + random.below(3));
            const auto experts = static_cast<std::uint32_t>(ranks + random.below(ranks));
            const ExpertMap map{0, {LayerPlacement::even(ranks, experts, slots)}};
            PlacementPlanner::Paces paces(ranks, 1);
            paces[random.below(ranks)] = 1 + random.unit() * 11;
            std::vector<double> demand(experts);
            for (double &value : demand)
                value = random.unit() * random.unit() * 100;
            const ExpertLoad::Tokens tokens = {demand};
            const auto plan = planner.plan(map, tokens, paces);
            std::set<std::uint32_t> held;
            for (std::uint32_t rank = 0; rank < ranks; ++rank) {
                const auto &after = plan.map.slots[0][rank];
                held.insert(after.begin(), after.end());
                CPPUNIT_ASSERT_EQUAL(std::size_t(slots), after.size());
                CPPUNIT_ASSERT(LayerPlacement::countLoads({map.slots[0][rank]}, {after}) <= 2);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(experts), held.size());
            CPPUNIT_ASSERT(plan.skewAfter <= plan.skewBefore + 1e-9);
        }
    }

    // Guards against a planner that ignores the pace: the slow rank then keeps its tokens, and each
    // pass takes five times as long.
    void slowRankLosesItsTokens()
    {
        PlannerSettings settings;
        settings.targetSkew = 1.15;
        settings.loadsPerRank = LoadsPerChange;
        settings.chains = false;
        const PlacementPlanner planner(settings);
        // Each rank has one free slot, which holds an expert without load.
        LayerPlacement::Slots slots(Ranks);
        for (std::uint32_t expert = 0; expert < Experts; ++expert)
            slots[expert % Ranks].push_back(expert);
        for (auto &rank : slots)
            rank.resize(Placements, Experts);
        std::vector<double> layer(Experts, 10);
        layer.push_back(0);
        ExpertMap map{0, std::vector<LayerPlacement::Slots>(Layers, slots)};
        const ExpertLoad::Tokens tokens(Layers, layer);
        PlacementPlanner::Paces paces(Ranks, 1);
        paces[SlowRankNumber] = Pace;
        const double even = PlacementPlanner::skew(map, tokens);
        CPPUNIT_ASSERT(PlacementPlanner::skew(planner.plan(map, tokens).map, tokens, paces) > 4.5);
        std::vector<double> skews;
        for (int change = 0; change < 3; ++change) {
            map = planner.plan(map, tokens, paces).map;
            skews.push_back(PlacementPlanner::skew(map, tokens, paces));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(skews[0]), skews[0] < 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(skews[1]), skews[1] < 1.3 * even);
    }

    // Guards against a pace that does not reach the owner, or a plan that comes too late for a
    // slowness of nine seconds, while messages get lost.
    void groupPassesTheSlowRankBy()
    {
        const auto skewAfter = [](bool reportsPace) {
            SwitchWorld::Faults faults;
            faults.lostMessages = 0.1;
            SwitchWorld::Scale scale;
            scale.layers = Layers;
            scale.experts = Experts;
            scale.placements = Placements;
            scale.copyTime = milliseconds(300);
            scale.stepsPerShift = 100000;
            scale.reportsPace = reportsPace;
            SwitchWorld world(Ranks, 1, faults, {}, scale);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(12)));
            world.setPace(SlowRankNumber, Pace);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(milliseconds(4500)));
            const double slow = world.currentSkew();
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(milliseconds(4500)));
            world.setPace(SlowRankNumber, 1);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run(seconds(8)));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(world.currentSkew()), world.currentSkew() < 1.4);
            return slow;
        };
        const double ignored = skewAfter(false);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ignored), ignored > 3);
        const double known = skewAfter(true);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(known), known < 1.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowRankTest);

} // namespace Nutmegrill
