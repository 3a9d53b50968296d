#include "Duties/ClockConsensus.h"
#include "DutyWorld.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seeds = 1000;

} // namespace

/// Usage reports, which one entry sends for all.
class UsageDutyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageDutyTest);
    CPPUNIT_TEST(everyWindowIsReportedInCalm);
    CPPUNIT_TEST(noPromiseIsBrokenUnderFaults);
    CPPUNIT_TEST(actsAfterTheRightAreSeen);
    CPPUNIT_TEST(actsWithoutThePauseAreSeen);
    CPPUNIT_TEST(countsOfAnEndedEntryRemain);
    CPPUNIT_TEST(clockThatJumpsIsOutvoted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against windows that are left out.
    void everyWindowIsReportedInCalm()
    {
        DutyWorld::Options options;
        options.hasFaults = false;
        DutyWorld world(options);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.run());
        // A minute has twelve windows; the first is cut and the last not due.
        CPPUNIT_ASSERT(world.reports() >= 10);
    }

    // Guards against two holders at once, a token that falls or is used twice, two reports of one
    // window, and a duty that returns at once, under pauses, cuts, restarts, outages of the store,
    // lost answers and writes that are carried out late.
    void noPromiseIsBrokenUnderFaults()
    {
        std::size_t reports = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            DutyWorld::Options options;
            options.seed = seed;
            DutyWorld world(options);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.run());
            reports += world.reports();
        }
        // The faults leave room for most reports.
        CPPUNIT_ASSERT(reports > Seeds * 5);
    }

    // Shows that the world notices a holder that acts on after its right has run out.
    void actsAfterTheRightAreSeen()
    {
        DutyWorld::Options options;
        options.times.right = seconds(30);
        options.times.pause = milliseconds(0);
        CPPUNIT_ASSERT(this->breaksSomewhere(options));
    }

    // Guards against a duty that returns to its earlier holder at once when the holders stop one
    // after the other. Without the pause before the first act, the world sees that.
    void actsWithoutThePauseAreSeen()
    {
        DutyWorld::Options options;
        options.plannedStops = 0.05;
        CPPUNIT_ASSERT(!this->breaksSomewhere(options));
        options.times.pause = milliseconds(0);
        CPPUNIT_ASSERT(this->breaksSomewhere(options));
    }

    // Guards against counts that are lost with the entry that told them, or counted twice.
    void countsOfAnEndedEntryRemain()
    {
        const UsageCounts::WallTime start(seconds(1000));
        UsageCounts ended("a", 1, seconds(5));
        UsageCounts holder("b", 1, seconds(5));
        ended.recordRun(start, "x");
        ended.recordRun(start, "x");
        const UsageMessage first = ended.tell(start + seconds(1));
        holder.messageArrived(first);
        holder.messageArrived(first);
        UsageCounts again("a", 2, seconds(5));
        again.recordRun(start + seconds(2), "x");
        const UsageMessage late = again.tell(start + seconds(6));
        holder.messageArrived(late);
        holder.recordRun(start + seconds(3), "y");
        const AccountCounts total = holder.total(holder.windowOf(start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), total.at("x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), total.at("y"));
        CPPUNIT_ASSERT(holder.isComplete(holder.windowOf(start), {"a"}));
        CPPUNIT_ASSERT(!holder.isComplete(holder.windowOf(start), {"a", "c"}));
    }

    // Guards against windows that follow the wrong clock of one instance.
    void clockThatJumpsIsOutvoted()
    {
        const UsageCounts::WallTime truth(seconds(5000));
        ClockConsensus clocks;
        clocks.observe(Instant(seconds(1)), "a", truth);
        clocks.observe(Instant(seconds(1)), "b", truth + milliseconds(3));
        const auto shown = clocks.trueTime(Instant(seconds(2)), truth + seconds(40));
        CPPUNIT_ASSERT(shown >= truth + seconds(1) && shown <= truth + milliseconds(1010));
    }

private:
    bool breaksSomewhere(DutyWorld::Options options)
    {
        for (options.seed = 1; options.seed <= Seeds; ++options.seed) {
            if (!DutyWorld(options).run().empty())
                return true;
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageDutyTest);

} // namespace Nutmegrill
