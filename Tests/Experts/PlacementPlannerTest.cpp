#include "Experts/PlacementPlanner.h"
#include "Core/RandomSource.h"
#include "Experts/LayerPlacement.h"

#include <algorithm>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

using std::chrono::minutes;

class PlacementPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementPlannerTest);
    CPPUNIT_TEST(loadLosesHalfItsWeightInHalfLife);
    CPPUNIT_TEST(predictionFollowsSteadyDrift);
    CPPUNIT_TEST(skewSumsSlowestRankOfEachLayer);
    CPPUNIT_TEST(plansKeepEveryExpertAndLowerSkew);
    CPPUNIT_TEST(hotExpertGetsReplicas);
    CPPUNIT_TEST(shortSkewStartsNoChange);
    CPPUNIT_TEST(costAboveGainStartsNoChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against smoothing that depends on how often the load is reported.
    void loadLosesHalfItsWeightInHalfLife()
    {
        ExpertLoad load(minutes(10), minutes(60));
        Instant now;
        load.observe(now, {{8, 0}});
        load.observe(now + minutes(5), {{0, 8}});
        load.observe(now + minutes(10), {{0, 8}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, load.tokens()[0][0], 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, load.tokens()[0][1], 1e-9);
    }

    // Guards against a placement for a load that is already past: on a steady drift the prediction
    // is the drift's own value at that time.
    void predictionFollowsSteadyDrift()
    {
        ExpertLoad load(minutes(5), minutes(30));
        Instant now;
        for (int minute = 0; minute <= 600; ++minute, now += minutes(1))
            load.observe(now, {{100.0 + minute}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(720, load.predict(minutes(20))[0][0], 1);
    }

    // Guards against a prediction that lets a slow rank of one layer be made up for in another,
    // although all ranks wait for each other in each layer.
    void skewSumsSlowestRankOfEachLayer()
    {
        const ExpertMap map{0, {{{0}, {1}}, {{0}, {1}}}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, PlacementPlanner::skew(map, {{3, 1}, {1, 3}}), 1e-9);
    }

    // Guards against an expert that no rank holds, a rank with another number of slots, a plan that
    // makes things worse, wrong byte counts, and plans that differ between runs.
    void plansKeepEveryExpertAndLowerSkew()
    {
        RandomSource random(11);
        PlannerSettings settings;
        settings.expertBytes = 10;
        const PlacementPlanner planner(settings);
        for (int round = 0; round < 200; ++round) {
            const auto ranks = static_cast<std::uint32_t>(2 + random.below(12));
            const auto slots = static_cast<std::uint32_t>(1 + random.below(4));
            const auto experts = static_cast<std::uint32_t>(1 + random.below(ranks * slots));
            std::vector<double> tokens(experts);
            for (double &value : tokens)
                value = random.unit() * random.unit() * 100;
            const ExpertMap map{3, {LayerPlacement::even(ranks, experts, slots)}};
            const auto plan = planner.plan(map, {tokens});
            std::set<std::uint32_t> seen;
            for (const auto &rank : plan.map.slots[0]) {
                CPPUNIT_ASSERT_EQUAL(std::size_t(slots), rank.size());
                seen.insert(rank.begin(), rank.end());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(experts), seen.size());
            CPPUNIT_ASSERT(plan.skewAfter <= plan.skewBefore + 1e-9);
            CPPUNIT_ASSERT_EQUAL(10 * LayerPlacement::countLoads(map.slots[0], plan.map.slots[0]),
                                 plan.bytes);
            CPPUNIT_ASSERT(plan.map == planner.plan(map, {tokens}).map);
        }
    }

    // Guards against a search that only swaps: one expert with half of all tokens needs replicas.
    void hotExpertGetsReplicas()
    {
        const ExpertMap map{0, {LayerPlacement::even(4, 6, 2)}};
        const auto plan = PlacementPlanner({}).plan(map, {{60, 12, 12, 12, 12, 12}});
        std::size_t replicas = 0;
        for (const auto &rank : plan.map.slots[0])
            replicas += static_cast<std::size_t>(std::count(rank.begin(), rank.end(), 0U));
        CPPUNIT_ASSERT(replicas >= 3);
        CPPUNIT_ASSERT(plan.skewAfter < plan.skewBefore);
    }

    // Guards against weights moved for a load that is over before they arrive.
    void shortSkewStartsNoChange()
    {
        PlannerSettings settings;
        settings.startAfter = minutes(5);
        PlacementPlanner planner(settings);
        const ExpertMap map{0, {LayerPlacement::even(4, 6, 2)}};
        const ExpertLoad::Tokens skewed = {{60, 12, 12, 12, 12, 12}};
        const ExpertLoad::Tokens even = {{20, 20, 10, 10, 10, 10}};
        Instant now;
        CPPUNIT_ASSERT(!planner.consider(now, map, skewed).has_value());
        CPPUNIT_ASSERT(!planner.consider(now + minutes(3), map, even).has_value());
        CPPUNIT_ASSERT(!planner.consider(now + minutes(6), map, skewed).has_value());
        CPPUNIT_ASSERT(planner.consider(now + minutes(11), map, skewed).has_value());
    }

    // Guards against moves that take longer than they help.
    void costAboveGainStartsNoChange()
    {
        PlannerSettings settings;
        settings.startAfter = minutes(0);
        settings.expertBytes = 1000;
        settings.storeRate = 1;
        settings.horizon = std::chrono::seconds(10);
        PlacementPlanner planner(settings);
        const ExpertMap map{0, {LayerPlacement::even(4, 6, 2)}};
        CPPUNIT_ASSERT(!planner.consider(Instant(), map, {{60, 12, 12, 12, 12, 12}}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPlannerTest);

} // namespace Nutmegrill
