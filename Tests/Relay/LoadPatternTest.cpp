#include "BaselinePolicies.h"
#include "LoadWorld.h"

#include <chrono>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Trouble = LoadWorld::Trouble;
using Disruptions = std::vector<LoadWorld::Disruption>;

constexpr milliseconds At{6000};
/// Arrivals of the days with high load, relative to a quiet day.
constexpr double BusyLoad = 1.3;

struct Means
{
    double inTime = 0;
    double served = 0;
    double refused = 0;
    double worstWindow = 0;
    double worstAccount = 0;
    double records = 0;
    double owed = 0;
    double repeats = 0;
    milliseconds longestHold{0};
};

Means replay(const Disruptions &disruptions, double load = 1, const RelayPolicy &policy = {})
{
    static constexpr int Seeds = 3;
    Means means;
    for (int seed = 1; seed <= Seeds; ++seed) {
        LoadWorld::Options options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.load = load;
        options.policy = policy;
        options.disruptions = disruptions;
        const LoadWorld::Result result = LoadWorld(options).run();
        const auto share = [&](std::uint32_t part) {
            return static_cast<double>(part) / result.all.owed / Seeds;
        };
        means.inTime += share(result.all.inTime);
        means.served += result.all.served() / Seeds;
        means.refused += share(result.all.refused);
        means.worstWindow += result.worstWindow / Seeds;
        means.worstAccount += result.worstAccount / Seeds;
        means.records += result.byKind.at("record").served() / Seeds;
        means.owed += static_cast<double>(result.all.owed) / Seeds;
        means.repeats += static_cast<double>(result.repeats) / Seeds;
        means.longestHold = std::max(means.longestHold, result.longestHold);
    }
    return means;
}

std::string text(double present, double baseline)
{
    return std::to_string(present) + " against " + std::to_string(baseline);
}

} // namespace

/// Load patterns, replayed against the decisions of six entries. Each test states the pattern and
/// what fails with another policy.
class LoadPatternTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPatternTest);
    CPPUNIT_TEST(usualLoadIsServedInTime);
    CPPUNIT_TEST(callersWaitThroughAShortOutage);
    CPPUNIT_TEST(crowdIsServedWhileItCanStillBeOnTime);
    CPPUNIT_TEST(largeAccountLeavesTheOthersTheirShare);
    CPPUNIT_TEST(impatientCallersStayWithinTheRetryLimit);
    CPPUNIT_TEST(recordsKeepTheirShareInACrowd);
    CPPUNIT_TEST(nothingIsHeldUntilItsCallerLeaves);
    CPPUNIT_TEST(earlyLeaversFreeTheirPlaces);
    CPPUNIT_TEST(lostPlainServersCostLittle);
    CPPUNIT_TEST(sameSeedGivesTheSameResult);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against placing by loads that backend servers stated in their last answers, which all
    // entries read as the same free rank.
    void usualLoadIsServedInTime()
    {
        CPPUNIT_ASSERT(replay({}).inTime >= 0.99);
        CPPUNIT_ASSERT(replay({}, 1, BaselinePolicies::leastReportedLoad()).inTime < 0.99);
    }

    // Power is lost and all entries and the model group start again. Most callers come back once,
    // so a refusal during the outage is final for them.
    void callersWaitThroughAShortOutage()
    {
        const Disruptions pattern = {{Trouble::EntriesRestarted, At, milliseconds(700), 1},
                                     {Trouble::GroupForming, At, milliseconds(2200), 1}};
        const Means present = replay(pattern, BusyLoad);
        const Means before = replay(pattern, BusyLoad, BaselinePolicies::versionBefore());
        CPPUNIT_ASSERT_MESSAGE(text(present.refused, before.refused), present.refused < 0.06);
        CPPUNIT_ASSERT_MESSAGE(text(present.refused, before.refused), before.refused > 0.06);
        CPPUNIT_ASSERT_MESSAGE(text(present.worstWindow, before.worstWindow),
                               present.worstWindow > before.worstWindow);
    }

    // Three times the usual arrivals for four seconds. Guards against a backlog that makes every
    // answer late, which is what first come, first served gives.
    void crowdIsServedWhileItCanStillBeOnTime()
    {
        const Disruptions pattern = {{Trouble::Crowd, At, seconds(4), 3}};
        const Means present = replay(pattern);
        const Means queue = replay(pattern, 1, BaselinePolicies::firstComeFirstServed());
        CPPUNIT_ASSERT_MESSAGE(text(present.inTime, queue.inTime),
                               present.inTime > queue.inTime + 0.1);
    }

    // Guards against one account whose backlog takes the places of all others.
    void largeAccountLeavesTheOthersTheirShare()
    {
        const Disruptions pattern = {{Trouble::HeavyAccount, At, seconds(5), 8}};
        const Means present = replay(pattern);
        const Means queue = replay(pattern, 1, BaselinePolicies::firstComeFirstServed());
        CPPUNIT_ASSERT_MESSAGE(text(present.inTime, queue.inTime),
                               present.inTime > queue.inTime + 0.1);
        CPPUNIT_ASSERT(present.served > 0.9);
    }

    // Callers that repeat at once add to the load; what the entries send once more stays within
    // the limit of 0.2 of the requests and 88.
    void impatientCallersStayWithinTheRetryLimit()
    {
        const Means present = replay({{Trouble::Crowd, At, seconds(4), 2},
                                      {Trouble::ImpatientCallers, At, seconds(4), 0.4}});
        CPPUNIT_ASSERT(present.repeats < 0.2 * present.owed + 88);
        CPPUNIT_ASSERT(present.served > 0.95);
    }

    void recordsKeepTheirShareInACrowd()
    {
        CPPUNIT_ASSERT(replay({{Trouble::Crowd, At, seconds(4), 3}}).records > 0.9);
    }

    // Callers leave a stream that shows nothing for two seconds; whatever is refused is refused
    // before. Guards against requests that are kept until nobody waits for them.
    void nothingIsHeldUntilItsCallerLeaves()
    {
        for (const Disruptions &pattern : {Disruptions{{Trouble::Crowd, At, seconds(4), 3}},
                                           Disruptions{{Trouble::GroupForming, At, seconds(6), 1}}})
            CPPUNIT_ASSERT(replay(pattern).longestHold < seconds(2));
    }

    void earlyLeaversFreeTheirPlaces()
    {
        const Means present = replay({{Trouble::EarlyLeavers, At, seconds(4), 0.4}}, BusyLoad);
        CPPUNIT_ASSERT(present.served > 0.99);
    }

    void lostPlainServersCostLittle()
    {
        CPPUNIT_ASSERT(replay({{Trouble::PlainServersGone, At, seconds(5), 0.3}}).served > 0.99);
        CPPUNIT_ASSERT(replay({{Trouble::GreyPlainServers, At, seconds(5), 0.3}}).served > 0.99);
    }

    void sameSeedGivesTheSameResult()
    {
        const Disruptions pattern = {{Trouble::SlowSteps, At, seconds(1), 1.8}};
        CPPUNIT_ASSERT_EQUAL(replay(pattern).inTime, replay(pattern).inTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPatternTest);

} // namespace Nutmegrill
