#include "BaselinePolicies.h"
#include "LoadSimulation.h"

#include <chrono>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = LoadSimulation::Fault;
using Disruptions = std::vector<LoadSimulation::Disruption>;

constexpr milliseconds DisruptionStart{6000};
/// Arrival rate on days with high load, relative to a day with low load.
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
        LoadSimulation::Options options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.load = load;
        options.policy = policy;
        options.disruptions = disruptions;
        const LoadSimulation::Result result = LoadSimulation(options).run();
        const auto share = [&](std::uint32_t part) {
            return static_cast<double>(part) / result.all.counted / Seeds;
        };
        means.inTime += share(result.all.inTime);
        means.served += result.all.served() / Seeds;
        means.refused += share(result.all.refused);
        means.worstWindow += result.worstWindow / Seeds;
        means.worstAccount += result.worstAccount / Seeds;
        means.records += result.byKind.at("record").served() / Seeds;
        means.owed += static_cast<double>(result.all.counted) / Seeds;
        means.repeats += static_cast<double>(result.repeats) / Seeds;
        means.longestHold = std::max(means.longestHold, result.longestHold);
    }
    return means;
}

struct CrashScene
{
    std::uint32_t entries;
    std::size_t ranks;
    double load;
    /// Share of the streams with the crashing part, or arrivals of the crashing request a second.
    double rate;
    Disruptions further = {};
    Fault kind = Fault::CrashingPart;
    /// The crash from which on hardly any request that crashes servers may be sent.
    std::size_t namedCrashes = 5;
};

/// Plays requests of which some crash servers. Returns which rule was broken.
std::string crashFailure(const CrashScene &scene, std::uint64_t seed)
{
    constexpr milliseconds StableWindow{3000};
    constexpr std::size_t MaxLaterSends = 3;
    constexpr double MinServed = 0.9;
    LoadSimulation::Options options;
    options.seed = seed;
    options.entries = scene.entries;
    options.ranks = scene.ranks;
    options.load = scene.load;
    options.length = seconds(40);
    options.disruptions = scene.further;
    options.disruptions.push_back({scene.kind, DisruptionStart, seconds(34), scene.rate});
    const LoadSimulation::Result result = LoadSimulation(options).run();
    const std::string crashes = std::to_string(result.crashes.size()) + " crashes";
    if (result.crashes.empty())
        return "no crash";
    const Instant last = result.crashes[std::min(result.crashes.size(), scene.namedCrashes) - 1];
    // A connection to a plain server that has ended is refused, so the request does not reach it.
    const std::vector<Instant> &sends =
            scene.kind == Fault::CrashingRequest ? result.crashingArrivals : result.crashingSends;
    const auto later = std::count_if(sends.begin(), sends.end(),
                                     [&](Instant at) { return at > last + StableWindow; });
    if (static_cast<std::size_t>(later) > MaxLaterSends)
        return std::to_string(later) + " sends after crash " + std::to_string(scene.namedCrashes)
               + ", " + crashes;
    const auto begin =
            std::chrono::duration_cast<seconds>(last - Instant(seconds(100))).count() + 7;
    LoadSimulation::Tally sound;
    for (auto second = static_cast<std::size_t>(begin); second < 40; ++second) {
        sound.counted += result.bySecond[second].counted;
        sound.inTime += result.bySecond[second].inTime;
        sound.late += result.bySecond[second].late;
    }
    if (sound.served() < MinServed)
        return std::to_string(sound.served()) + " of the sound requests are served, " + crashes;
    return {};
}

std::string text(double current, double baseline)
{
    return std::to_string(current) + " against " + std::to_string(baseline);
}

} // namespace

/// Replays load patterns against the decision logic of six entries. Each test states the pattern
/// and the failure that another policy shows.
class LoadPatternTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPatternTest);
    CPPUNIT_TEST(normalLoadIsServedInTime);
    CPPUNIT_TEST(callersWaitThroughAShortOutage);
    CPPUNIT_TEST(loadSpikeIsServedInTime);
    CPPUNIT_TEST(largeAccountLeavesTheOthersTheirShare);
    CPPUNIT_TEST(impatientCallersStayWithinTheRetryLimit);
    CPPUNIT_TEST(nonIdempotentRequestsAreServedInALoadSpike);
    CPPUNIT_TEST(requestsAreRefusedBeforeCallersDisconnect);
    CPPUNIT_TEST(earlyDisconnectsFreeTheirSlots);
    CPPUNIT_TEST(lostPlainServersAreAvoided);
    CPPUNIT_TEST(crashingPromptPartReachesServersAgainAndAgain);
    CPPUNIT_TEST(repeatedPlainRequestCrashesEveryServer);
    CPPUNIT_TEST(serversGetMoreThanTheLimitThatTheyName);
    CPPUNIT_TEST(serversThatSayTheyLeaveGetRequests);
    CPPUNIT_TEST(serversThatAskForAPauseGetRequests);
    CPPUNIT_TEST(sameSeedGivesTheSameResult);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against placement by the loads that backend servers reported in their last answers:
    // all entries then choose the same seemingly free rank.
    void normalLoadIsServedInTime()
    {
        CPPUNIT_ASSERT(replay({}).inTime >= 0.99);
        CPPUNIT_ASSERT(replay({}, 1, BaselinePolicies::leastReportedLoad()).inTime < 0.99);
    }

    // All entries and the model group restart after a power failure. Most callers retry only once,
    // so requests that are refused during the outage are lost.
    void callersWaitThroughAShortOutage()
    {
        const Disruptions pattern = {
                {Fault::EntriesRestarted, DisruptionStart, milliseconds(700), 1},
                {Fault::GroupReforming, DisruptionStart, milliseconds(2200), 1}};
        const Means current = replay(pattern, BusyLoad);
        const Means previous = replay(pattern, BusyLoad, BaselinePolicies::previousVersion());
        CPPUNIT_ASSERT_MESSAGE(text(current.refused, previous.refused), current.refused < 0.06);
        CPPUNIT_ASSERT_MESSAGE(text(current.refused, previous.refused), previous.refused > 0.06);
        CPPUNIT_ASSERT_MESSAGE(text(current.worstWindow, previous.worstWindow),
                               current.worstWindow > previous.worstWindow);
    }

    // Three times the usual arrival rate for four seconds. Guards against a backlog that makes
    // every answer late, as with first come, first served.
    void loadSpikeIsServedInTime()
    {
        const Disruptions pattern = {{Fault::LoadSpike, DisruptionStart, seconds(4), 3}};
        const Means current = replay(pattern);
        const Means queue = replay(pattern, 1, BaselinePolicies::firstComeFirstServed());
        CPPUNIT_ASSERT_MESSAGE(text(current.inTime, queue.inTime),
                               current.inTime > queue.inTime + 0.1);
    }

    // Guards against one account whose backlog takes the slots of all others.
    void largeAccountLeavesTheOthersTheirShare()
    {
        const Disruptions pattern = {{Fault::HeavyAccount, DisruptionStart, seconds(5), 8}};
        const Means current = replay(pattern);
        const Means queue = replay(pattern, 1, BaselinePolicies::firstComeFirstServed());
        CPPUNIT_ASSERT_MESSAGE(text(current.inTime, queue.inTime),
                               current.inTime > queue.inTime + 0.1);
        CPPUNIT_ASSERT(current.served > 0.9);
    }

    // Callers that repeat without a pause add to the load. The entries' own repeats have to stay
    // within the retry limit of 0.2 per request plus 88.
    void impatientCallersStayWithinTheRetryLimit()
    {
        const Means current = replay({{Fault::LoadSpike, DisruptionStart, seconds(4), 2},
                                      {Fault::ImmediateRepeats, DisruptionStart, seconds(4), 0.4}});
        CPPUNIT_ASSERT(current.repeats < 0.2 * current.owed + 88);
        CPPUNIT_ASSERT(current.served > 0.95);
    }

    void nonIdempotentRequestsAreServedInALoadSpike()
    {
        CPPUNIT_ASSERT(replay({{Fault::LoadSpike, DisruptionStart, seconds(4), 3}}).records > 0.9);
    }

    // Guards against requests that wait until their caller has disconnected: callers close a stream
    // after two seconds without an event, so refusals have to be sent before.
    void requestsAreRefusedBeforeCallersDisconnect()
    {
        for (const Disruptions &pattern :
             {Disruptions{{Fault::LoadSpike, DisruptionStart, seconds(4), 3}},
              Disruptions{{Fault::GroupReforming, DisruptionStart, seconds(6), 1}}})
            CPPUNIT_ASSERT(replay(pattern).longestHold < seconds(2));
    }

    void earlyDisconnectsFreeTheirSlots()
    {
        const Means current =
                replay({{Fault::EarlyDisconnects, DisruptionStart, seconds(4), 0.4}}, BusyLoad);
        CPPUNIT_ASSERT(current.served > 0.99);
    }

    void lostPlainServersAreAvoided()
    {
        CPPUNIT_ASSERT(
                replay({{Fault::PlainServersUnreachable, DisruptionStart, seconds(5), 0.3}}).served
                > 0.99);
        CPPUNIT_ASSERT(replay({{Fault::PlainServersFlaky, DisruptionStart, seconds(5), 0.3}}).served
                       > 0.99);
    }

    // Guards against requests with one crashing prompt part that reach server after server, at the
    // sizes of a small and of a large deployment, and against sound requests that are refused with
    // them.
    void crashingPromptPartReachesServersAgainAndAgain()
    {
        const Disruptions allRestart = {
                {Fault::EntriesRestarted, seconds(20), milliseconds(700), 1}};
        const Disruptions halfRestartAndSpike = {
                {Fault::EntriesRestarted, seconds(8), milliseconds(700), 0.5},
                {Fault::LoadSpike, seconds(12), seconds(4), 3}};
        const Disruptions halfCut = {{Fault::EntriesCut, seconds(6), seconds(6), 0.5},
                                     {Fault::ReportsLost, seconds(0), seconds(40), 0.2}};
        const Disruptions storeAway = {
                {Fault::StoreAway, seconds(0), seconds(40), 1},
                {Fault::EntriesRestarted, seconds(20), milliseconds(700), 0.7},
                {Fault::ReportsLost, seconds(0), seconds(40), 0.2}};
        for (const CrashScene &scene :
             {CrashScene{6, 12, 1, 0.05}, CrashScene{6, 12, 1, 0.05, allRestart},
              CrashScene{6, 12, 1, 0.05, halfRestartAndSpike}, CrashScene{6, 12, 1, 0.05, halfCut},
              CrashScene{6, 12, 1, 0.05, storeAway}, CrashScene{34, 63, 5, 0.01}}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
                CPPUNIT_ASSERT_EQUAL(std::string(), crashFailure(scene, seed));
        }
    }

    // Guards against one request that comes again under new ids and crashes all servers of a plain
    // service, at the sizes of a small and of a large deployment.
    void repeatedPlainRequestCrashesEveryServer()
    {
        const Disruptions mostRestart = {
                {Fault::EntriesRestarted, seconds(8), milliseconds(700), 0.8},
                {Fault::EntriesRestarted, seconds(20), milliseconds(700), 1},
                {Fault::ReportsLost, seconds(0), seconds(40), 0.2}};
        std::string failures;
        for (const Disruptions &further : {Disruptions(), mostRestart}) {
            for (const CrashScene &scene :
                 {CrashScene{6, 12, 1, 1, further, Fault::CrashingRequest, 3},
                  CrashScene{6, 12, 1, 10, further, Fault::CrashingRequest, 3},
                  CrashScene{34, 12, 1, 10, further, Fault::CrashingRequest, 3}}) {
                for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                    if (const std::string failure = crashFailure(scene, seed); !failure.empty())
                        failures += "\n" + std::to_string(scene.entries) + " entries, "
                                    + std::to_string(scene.rate) + " a second, "
                                    + std::to_string(further.size()) + " faults, seed "
                                    + std::to_string(seed) + ": " + failure;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Guards against entries that ignore the limit of a server, or that each use all of it: limits
    // below and above one request in four seconds and entry, at the sizes of a small and of a large
    // deployment, also while entries restart.
    void serversGetMoreThanTheLimitThatTheyName()
    {
        struct Scene
        {
            std::uint32_t entries;
            std::size_t ranks;
            double load;
            double limit;
            double restarted;
        };
        for (const Scene &scene : {Scene{6, 12, 1, 0.5, 0.0}, Scene{6, 12, 1.3, 1.2, 0.3},
                                   Scene{34, 63, 5, 1.2, 0.0}, Scene{34, 63, 5, 4, 0.1}}) {
            LoadSimulation::Options options;
            options.entries = scene.entries;
            options.ranks = scene.ranks;
            options.load = scene.load;
            options.disruptions = {
                    {Fault::LimitNamed, seconds(2), seconds(18), scene.limit},
                    {Fault::EntriesRestarted, seconds(8), milliseconds(700), scene.restarted},
                    {Fault::EntriesCut, seconds(12), seconds(5), scene.restarted},
                    {Fault::ReportsLost, seconds(0), seconds(20), 0.2}};
            const LoadSimulation::Result result = LoadSimulation(options).run();
            CPPUNIT_ASSERT_EQUAL(std::string(), result.brokenLimit);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.all.served()), result.all.served() > 0.95);
        }
    }

    // The instance list shows the servers as active all the time.
    void serversThatSayTheyLeaveGetRequests()
    {
        for (const std::uint32_t entries : {6U, 34U}) {
            LoadSimulation::Options options;
            options.entries = entries;
            options.disruptions = {{Fault::ServersLeaving, seconds(4), seconds(16)},
                                   {Fault::EntriesRestarted, seconds(8), milliseconds(700), 0.3},
                                   {Fault::ReportsLost, seconds(0), seconds(20), 0.2}};
            const LoadSimulation::Result result = LoadSimulation(options).run();
            CPPUNIT_ASSERT_EQUAL(std::string(), result.sentToLeaving);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.all.served()), result.all.served() > 0.9);
        }
    }

    void serversThatAskForAPauseGetRequests()
    {
        for (const std::uint32_t entries : {6U, 34U}) {
            for (const double pause : {0.8, 3.0}) {
                LoadSimulation::Options options;
                options.entries = entries;
                options.load = 1.3;
                options.disruptions = {
                        {Fault::ServersPause, seconds(4), seconds(10), pause},
                        {Fault::EntriesRestarted, seconds(8), milliseconds(700), 0.3},
                        {Fault::ReportsLost, seconds(0), seconds(20), 0.2}};
                const LoadSimulation::Result result = LoadSimulation(options).run();
                CPPUNIT_ASSERT_EQUAL(std::string(), result.brokenPause);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(result.all.served()),
                                       result.all.served() > 0.9);
            }
        }
    }

    void sameSeedGivesTheSameResult()
    {
        const Disruptions pattern = {{Fault::SlowSteps, DisruptionStart, seconds(1), 1.8}};
        CPPUNIT_ASSERT_EQUAL(replay(pattern).inTime, replay(pattern).inTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPatternTest);

} // namespace Nutmegrill
