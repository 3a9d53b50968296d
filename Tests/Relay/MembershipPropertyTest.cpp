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

/// Plays one script a seed; returns the first failure.
std::string play(const EntryCluster::Switches &switches)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RandomSource random(seed);
        std::vector<int> choices(ScriptLength);
        for (int &choice : choices)
            choice = static_cast<int>(random.below(840));
        ChoiceScript script(std::move(choices));
        if (const std::string failure = EntryCluster(switches).run(script); !failure.empty())
            return "seed " + std::to_string(seed) + ": " + failure;
    }
    return {};
}

} // namespace

/// While entries and store are cut off from each other and restarted: the shares of the cold limit
/// and of the retry limit hold over all entries together; afterwards every entry knows the others
/// and the last configuration within four seconds, also when only one of them reaches the store.
class MembershipPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipPropertyTest);
    CPPUNIT_TEST(limitsAndKnowledgeHold);
    CPPUNIT_TEST(withoutSilentEntriesTheLimitsBreak);
    CPPUNIT_TEST(withoutAnnouncedEntriesTheLimitsBreak);
    CPPUNIT_TEST(withoutEarlierStartsEntriesAreMissing);
    CPPUNIT_TEST(withoutPullingTheConfigurationIsMissing);
    CPPUNIT_TEST(withoutSparingColdServersTheirLimitBreaks);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitsAndKnowledgeHold() { CPPUNIT_ASSERT_EQUAL(std::string(), play({})); }

    void withoutSilentEntriesTheLimitsBreak()
    {
        EntryCluster::Switches switches;
        switches.table.countsSilent = false;
        CPPUNIT_ASSERT(!play(switches).empty());
    }

    // All entries start at once and know nobody for a moment.
    void withoutAnnouncedEntriesTheLimitsBreak()
    {
        EntryCluster::Switches switches;
        switches.table.countsAnnounced = false;
        CPPUNIT_ASSERT(!play(switches).empty());
    }

    // The time of day jumped back while an entry was restarted.
    void withoutEarlierStartsEntriesAreMissing()
    {
        EntryCluster::Switches switches;
        switches.table.takesEarlierStart = false;
        CPPUNIT_ASSERT(!play(switches).empty());
    }

    void withoutPullingTheConfigurationIsMissing()
    {
        EntryCluster::Switches switches;
        switches.pullsFromPeers = false;
        CPPUNIT_ASSERT(!play(switches).empty());
    }

    // Entries that start again send their whole part within the second of their former start.
    void withoutSparingColdServersTheirLimitBreaks()
    {
        EntryCluster::Switches switches;
        switches.sparesColdAfterStart = false;
        CPPUNIT_ASSERT(!play(switches).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPropertyTest);

} // namespace Nutmegrill
