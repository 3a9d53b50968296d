#include "Core/RandomSource.h"
#include "EntryCluster.h"
#include "PropertyCheck.h"

#include <string>
#include <utility>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

constexpr std::size_t ScriptLength = 240;
constexpr std::uint64_t Seeds = 60;
/// More entries than a cold server takes requests a second, its tolerance included.
constexpr std::size_t ManyEntries = 60;
constexpr std::size_t LargeFleet = 148;
constexpr std::uint64_t FewSeeds = 3;

/// Runs one script per seed; returns the first failure.
std::string runScripts(const EntryCluster::Switches &switches,
                       std::size_t entries = EntryCluster::DefaultEntries,
                       std::uint64_t seeds = Seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RandomSource random(seed);
        std::vector<int> choices(ScriptLength);
        for (int &choice : choices)
            choice = static_cast<int>(random.below(840));
        ChoiceScript script(std::move(choices));
        if (const std::string failure = EntryCluster(switches, entries).run(script);
            !failure.empty())
            return "seed " + std::to_string(seed) + ": " + failure;
    }
    return {};
}

} // namespace

/// During network partitions and restarts, all entries together stay within the cold rate and the
/// retry limit. Within four seconds after the last fault, every entry knows the others and the
/// latest configuration, even if only one of them reaches the store.
class MembershipPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipPropertyTest);
    CPPUNIT_TEST(limitsHoldAndEntriesConverge);
    CPPUNIT_TEST(withoutSilentEntriesTheLimitsBreak);
    CPPUNIT_TEST(withoutAnnouncedEntriesTheLimitsBreak);
    CPPUNIT_TEST(withoutAcceptingEarlierStartsEntriesAreMissing);
    CPPUNIT_TEST(withoutPullingTheConfigurationIsMissing);
    CPPUNIT_TEST(withoutTheReducedColdRateAfterAStartTheLimitBreaks);
    CPPUNIT_TEST(coldRateHoldsWithMoreEntriesThanItsRequests);
    CPPUNIT_TEST(withoutReplacingCutWatchersTheConfigurationIsMissing);
    CPPUNIT_TEST(lostWatcherKeepsItsDomainAtTheOldConfiguration);
    CPPUNIT_TEST(largeFleetLearnsAConfigurationWithoutOneEntry);
    CPPUNIT_TEST(domainThatLosesItsWatchersLearnsAConfiguration);
    CPPUNIT_TEST(restoredStoreLeavesEntriesAtTheOldConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitsHoldAndEntriesConverge() { CPPUNIT_ASSERT_EQUAL(std::string(), runScripts({})); }

    void withoutSilentEntriesTheLimitsBreak()
    {
        EntryCluster::Switches switches;
        switches.table.countsSilent = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }

    // Entries that start together have no reports of each other yet; each would use the whole
    // limit.
    void withoutAnnouncedEntriesTheLimitsBreak()
    {
        EntryCluster::Switches switches;
        switches.table.countsAnnounced = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }

    // The clock was set back while an entry restarted, so its new incarnation is lower.
    void withoutAcceptingEarlierStartsEntriesAreMissing()
    {
        EntryCluster::Switches switches;
        switches.table.acceptsEarlierStart = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }

    void withoutPullingTheConfigurationIsMissing()
    {
        EntryCluster::Switches switches;
        switches.pullsFromPeers = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }

    // Guards against a share of at least one request a second in each entry: 31 entries sent 31
    // requests in a second to a cold server that takes 17.
    void coldRateHoldsWithMoreEntriesThanItsRequests()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runScripts({}, ManyEntries, FewSeeds));
        EntryCluster::Switches switches;
        switches.table.choosesEntries = false;
        CPPUNIT_ASSERT(!runScripts(switches, ManyEntries, FewSeeds).empty());
    }

    // Two entries of a failure domain watch the store for the others; both may lose it.
    void withoutReplacingCutWatchersTheConfigurationIsMissing()
    {
        EntryCluster::Switches switches;
        switches.table.replacesCutWatchers = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }

    // An entry that has reported a configuration and then does not answer is asked again and again.
    void lostWatcherKeepsItsDomainAtTheOldConfiguration()
    {
        for (const std::size_t entries : {std::size_t(6), std::size_t(34)}) {
            for (std::size_t lost = 0; lost < entries; ++lost)
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     EntryCluster({}, entries).runLossAfterReport({lost}));
        }
    }

    // Guards against a failure domain whose changes hang on the two entries that watch the store.
    void domainThatLosesItsWatchersLearnsAConfiguration()
    {
        for (const std::size_t entries : {std::size_t(34), LargeFleet})
            CPPUNIT_ASSERT_EQUAL(std::string(), EntryCluster({}, entries).runLossOfWatchers());
    }

    // Guards against a change that is told with the reports of a large fleet, which come less
    // often.
    void largeFleetLearnsAConfigurationWithoutOneEntry()
    {
        for (std::size_t lost = 0; lost < LargeFleet; lost += 16)
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 EntryCluster({}, LargeFleet).runLossAfterReport({lost}));
    }

    // Guards against entries that take or pass on changes by revisions of before a restore.
    void restoredStoreLeavesEntriesAtTheOldConfiguration()
    {
        for (const std::size_t entries : {std::size_t(6), std::size_t(34)})
            CPPUNIT_ASSERT_EQUAL(std::string(), EntryCluster({}, entries).runRestore());
    }

    // A restarted entry would send its full share again within the second in which its previous
    // start used it.
    void withoutTheReducedColdRateAfterAStartTheLimitBreaks()
    {
        EntryCluster::Switches switches;
        switches.reducesColdRateAfterStart = false;
        CPPUNIT_ASSERT(!runScripts(switches).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPropertyTest);

} // namespace Nutmegrill
