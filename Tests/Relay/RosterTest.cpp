#include "Core/RandomSource.h"
#include "Relay/BackendHealth.h"
#include "Relay/BackendRoster.h"
#include "Relay/ConcurrencyLimit.h"
#include "Relay/EntryTable.h"
#include "Relay/Placement.h"
#include "Relay/StoreMirror.h"
#include "RelayNodeHarness.h"

#include <chrono>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RosterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RosterTest);
    CPPUNIT_TEST(removedServerGetsNoWork);
    CPPUNIT_TEST(expiredRowsStayUsableAfterAStoreOutage);
    CPPUNIT_TEST(addressBelongsToItsLatestStart);
    CPPUNIT_TEST(suspensionsAreShortAndGrow);
    CPPUNIT_TEST(placementTakesTheLeastLoadedHealthyServer);
    CPPUNIT_TEST(concurrencyLimitFallsAndRises);
    CPPUNIT_TEST(silentAndLeavingEntriesAreNotListed);
    CPPUNIT_TEST(oldReportsAreIgnored);
    CPPUNIT_TEST(sharesStayBelowTheLimitOfAllEntries);
    CPPUNIT_TEST(sharesHoldAfterAPauseOfTheProcess);
    CPPUNIT_TEST(mirrorNeverReverts);
    CPPUNIT_TEST(mirrorForgetsOldDeletions);
    CPPUNIT_TEST(mirrorReturnsTheChangesThatAnotherEntryLacks);
    CPPUNIT_TEST(lateAnswerOfAnEarlierGenerationIsApplied);
    CPPUNIT_TEST(restoredStoreBringsBackWhatHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void removedServerGetsNoWork()
    {
        BackendRoster roster;
        roster.update(this->start, RelayNodeHarness::record("a", "model"));
        roster.remove(this->start + seconds(5), "a");
        CPPUNIT_ASSERT(!roster.isEligible(*roster.find("a"), this->start + seconds(5)));
    }

    // Guards against an outage of the store after which no backend server is usable, because the
    // rows of live ones have expired.
    void expiredRowsStayUsableAfterAStoreOutage()
    {
        BackendRoster roster;
        roster.update(this->start, RelayNodeHarness::record("a", "model"));
        roster.update(this->start, RelayNodeHarness::record("b", "model"));
        const Instant back = this->start + seconds(10);
        roster.storeReturned(back);
        roster.remove(back, "a");
        roster.remove(back, "b");
        CPPUNIT_ASSERT(roster.isEligible(*roster.find("a"), back + seconds(1)));
        roster.update(back + milliseconds(1500), RelayNodeHarness::record("a", "model"));
        const Instant later = back + milliseconds(2300);
        CPPUNIT_ASSERT(roster.isEligible(*roster.find("a"), later));
        CPPUNIT_ASSERT(!roster.isEligible(*roster.find("b"), later));
    }

    // Guards against requests to the row of a crashed backend server whose address belongs to its
    // successor.
    void addressBelongsToItsLatestStart()
    {
        BackendRoster roster;
        BackendRecord before = RelayNodeHarness::record("a", "model");
        before.incarnation = 1000;
        BackendRecord after = before;
        after.id = "b";
        after.incarnation = 2000;
        roster.update(this->start, after);
        roster.update(this->start, before);
        CPPUNIT_ASSERT(!roster.isEligible(*roster.find("a"), this->start));
        CPPUNIT_ASSERT(roster.isEligible(*roster.find("b"), this->start));
    }

    void suspensionsAreShortAndGrow()
    {
        BackendHealth health;
        health.recordUnreachable(this->start);
        CPPUNIT_ASSERT(health.isSuspended(this->start + milliseconds(400)));
        CPPUNIT_ASSERT(!health.isSuspended(this->start + milliseconds(600)));
        health.recordUnreachable(this->start + milliseconds(600));
        CPPUNIT_ASSERT(health.isSuspended(this->start + milliseconds(1500)));
        health.recordSuccess(this->start + seconds(2));
        CPPUNIT_ASSERT(!health.isSuspended(this->start + seconds(2)));
    }

    void placementTakesTheLeastLoadedHealthyServer()
    {
        RandomSource random(1);
        std::vector<PlacementCandidate> servers = {
                {"full", 12, 12, 0, false}, {"busy", 12, 9, 0, false}, {"free", 12, 4, 0, false}};
        CPPUNIT_ASSERT_EQUAL(std::string("free"), *placeRequest(servers, 0, random));
        servers[2].failureShare = 0.6;
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), *placeRequest(servers, 0, random));
        servers[1].running = 12;
        CPPUNIT_ASSERT_EQUAL(std::string("free"), *placeRequest(servers, 0, random));
        servers[2].running = 12;
        CPPUNIT_ASSERT(!placeRequest(servers, 0, random).has_value());
    }

    // Pauses between events exceed their target while all slots are taken, and become short again.
    void concurrencyLimitFallsAndRises()
    {
        ConcurrencyLimit concurrency;
        CPPUNIT_ASSERT_EQUAL(12U, concurrency.limit(12));
        Instant now = this->start;
        for (int event = 0; event < 400; ++event, now += milliseconds(10))
            concurrency.recordPause(now, milliseconds(130), milliseconds(120));
        CPPUNIT_ASSERT(concurrency.limit(12) <= 6);
        CPPUNIT_ASSERT(concurrency.limit(12) >= 4);
        for (int event = 0; event < 1500; ++event, now += milliseconds(10))
            concurrency.recordPause(now, milliseconds(60), milliseconds(120));
        CPPUNIT_ASSERT_EQUAL(12U, concurrency.limit(12));
    }

    void silentAndLeavingEntriesAreNotListed()
    {
        EntryTable table;
        table.update(this->start, this->report("a", 1));
        EntryReport leaving = this->report("b", 1);
        leaving.isLeaving = true;
        table.update(this->start, leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             table.servingAddresses(this->start + seconds(1)).size());
        CPPUNIT_ASSERT(table.servingAddresses(this->start + seconds(4)).empty());
        // They still count for the shared limits.
        CPPUNIT_ASSERT_EQUAL(3U, table.entryCount(this->start + seconds(4)));
    }

    void oldReportsAreIgnored()
    {
        EntryTable table;
        EntryReport late = this->report("a", 4);
        late.running["m0"] = 9;
        table.update(this->start, this->report("a", 5));
        CPPUNIT_ASSERT(!table.update(this->start, late));
        CPPUNIT_ASSERT_EQUAL(0U, table.runningElsewhere("m0", this->start));
    }

    // Guards against a retry storm and an overloaded cold backend server caused by several entries.
    void sharesStayBelowTheLimitOfAllEntries()
    {
        static constexpr std::uint32_t Entries = 7;
        std::vector<ServiceRetryBudget> retries(Entries,
                                                ServiceRetryBudget({0.2, 88}, seconds(10)));
        std::vector<ColdRateLimit> cold(Entries);
        std::uint32_t repeats = 0;
        std::uint32_t starts = 0;
        for (int round = 0; round < 100; ++round) {
            for (std::uint32_t entry = 0; entry < Entries; ++entry) {
                retries[entry].recordRequest(this->start + milliseconds(round));
                repeats += retries[entry].tryAcquire(this->start + milliseconds(round), Entries)
                                   ? 1
                                   : 0;
                starts += cold[entry].tryAcquire(this->start + milliseconds(round), 26, Entries)
                                  ? 1
                                  : 0;
            }
        }
        CPPUNIT_ASSERT(repeats > 0);
        CPPUNIT_ASSERT(repeats <= 0.2 * 100 * Entries + 88);
        CPPUNIT_ASSERT(starts > 0);
        CPPUNIT_ASSERT(starts <= 26);
    }

    // Guards against an entry that takes the whole of a shared limit for itself after it was
    // paused: it heard nobody meanwhile, but the others have gone on.
    void sharesHoldAfterAPauseOfTheProcess()
    {
        for (const bool isRuleOn : {true, false}) {
            EntryTable::Switches switches;
            switches.countsAfterOwnPause = isRuleOn;
            EntryTable table(switches);
            Instant now = this->start;
            for (std::uint64_t sequence = 1; sequence < 20; ++sequence, now += milliseconds(100)) {
                for (const char *name : {"a", "b", "c"})
                    table.update(now, this->report(name, sequence));
                table.tick(now);
            }
            CPPUNIT_ASSERT_EQUAL(4U, table.entryCount(now));
            now += seconds(12);
            table.noteTime(now);
            CPPUNIT_ASSERT_EQUAL(isRuleOn ? 4U : 1U, table.entryCount(now));
            // One has reported again, the others have ended.
            table.update(now + milliseconds(50), this->report("a", 300));
            for (int tick = 0; tick < 200; ++tick, now += milliseconds(20))
                table.tick(now);
            CPPUNIT_ASSERT_EQUAL(2U, table.entryCount(now));
        }
    }

    void mirrorForgetsOldDeletions()
    {
        StoreMirror mirror;
        std::uint64_t revision = 1;
        for (int number = 0; number < 20'000; ++number, revision += 2) {
            const std::string key = "key/" + std::to_string(number);
            mirror.apply({{key, "x", revision}}, {0, revision});
            mirror.apply({{key, std::nullopt, revision + 1}}, {0, revision + 1});
        }
        CPPUNIT_ASSERT(mirror.deletedCount() <= 4096);
        // A value of before comes late, from an entry that lags behind.
        CPPUNIT_ASSERT(mirror.apply({{"key/0", "x", 1}}, {0, 1}).empty());
        CPPUNIT_ASSERT(mirror.items().empty());
        // The key is written again.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             mirror.apply({{"key/0", "y", revision}}, {0, revision}).size());
    }

    void mirrorNeverReverts()
    {
        StoreMirror mirror;
        mirror.reset({{"k", "old", 3}}, {0, 5});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.apply({{"k", "new", 8}}, {0, 8}).size());
        // A lagging peer returns an older state, and a late answer contains an older value.
        CPPUNIT_ASSERT(mirror.reset({{"k", "old", 3}}, {0, 5}).empty());
        CPPUNIT_ASSERT(mirror.apply({{"k", "old", 3}}, {0, 3}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), *mirror.items().at("k").value);
        mirror.apply({{"k", std::nullopt, 9}}, {0, 9});
        CPPUNIT_ASSERT(mirror.apply({{"k", "new", 8}}, {0, 9}).empty());
        CPPUNIT_ASSERT(mirror.items().empty());
    }

    void mirrorReturnsTheChangesThatAnotherEntryLacks()
    {
        StoreMirror ahead;
        ahead.reset({{"a", "1", 2}, {"b", "1", 3}}, {0, 4});
        ahead.apply({{"a", "2", 6}, {"b", std::nullopt, 7}}, {0, 7});
        StoreMirror behind;
        behind.reset({{"a", "1", 2}, {"b", "1", 3}}, {0, 4});
        const auto update = ahead.since(behind.position());
        CPPUNIT_ASSERT(!update.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), behind.apply(update.items, update.position).size());
        CPPUNIT_ASSERT(behind.items().size() == 1 && behind.position().revision == 7);
        StoreMirror fresh;
        const auto whole = ahead.since({});
        CPPUNIT_ASSERT(whole.isWhole);
        fresh.reset(whole.items, whole.position);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), *fresh.items().at("a").value);
    }

    void lateAnswerOfAnEarlierGenerationIsApplied()
    {
        StoreMirror mirror;
        mirror.reset({{"k", "old", 3}}, {1, 90});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.reset({{"k", "new", 2}}, {2, 40}).size());
        CPPUNIT_ASSERT(mirror.reset({{"k", "old", 3}}, {1, 95}).empty());
        CPPUNIT_ASSERT(mirror.apply({{"k", "old", 91}}, {1, 91}).empty());
        CPPUNIT_ASSERT(mirror.position() == (StorePosition{2, 40}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.apply({{"k", "newer", 41}}, {2, 41}).size());
        // An entry of the earlier generation gets all, also at a higher revision.
        CPPUNIT_ASSERT(mirror.since({1, 95}).isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.since({2, 40}).items.size());
    }

    // Guards against a copy that brings back a server that left and a key that was deleted, and
    // that takes away a key which is written again only later.
    void restoredStoreBringsBackWhatHasEnded()
    {
        StoreMirror mirror;
        mirror.reset({{"left", "1", 3}, {"same", "1", 4}, {"late", "1", 5}, {"lost", "1", 6}},
                     {1, 90});
        mirror.apply({{"left", std::nullopt, 91}}, {1, 91});
        const auto restored = mirror.reset({{"left", "1", 3}, {"same", "1", 4}}, {2, 40});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), restored.size());
        CPPUNIT_ASSERT(restored[0].isDoubtful && !restored[1].isDoubtful);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.apply({{"late", "1", 42}}, {2, 42}).size());
        const auto settled = mirror.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settled.size());
        CPPUNIT_ASSERT(settled[0].key == "left" && settled[0].value && !settled[0].isDoubtful);
        CPPUNIT_ASSERT(settled[1].key == "lost" && !settled[1].value);
        CPPUNIT_ASSERT(mirror.settle().empty());

        BackendRoster roster;
        BackendRecord record = RelayNodeHarness::record("a", "model");
        BackendRecord leaving = record;
        leaving.isLeaving = true;
        roster.update(this->start, leaving);
        roster.updateDoubtful(this->start, record);
        CPPUNIT_ASSERT(!roster.isEligible(*roster.find("a"), this->start));
        roster.remove(this->start, "a");
        roster.updateDoubtful(this->start, record);
        CPPUNIT_ASSERT(!roster.isEligible(*roster.find("a"), this->start));
        ++record.incarnation;
        roster.updateDoubtful(this->start, record);
        CPPUNIT_ASSERT(roster.isEligible(*roster.find("a"), this->start));
    }

private:
    EntryReport report(const std::string &name, std::uint64_t sequence) const
    {
        EntryReport made;
        made.name = name;
        made.incarnation = 1;
        made.sequence = sequence;
        made.peerAddress = name + ":7000";
        made.callerAddress = name + ":80";
        made.isServing = true;
        return made;
    }

    Instant start{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

} // namespace Nutmegrill
