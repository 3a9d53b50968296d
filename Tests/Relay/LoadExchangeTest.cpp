#include "Core/RandomSource.h"
#include "Relay/EntryTable.h"
#include "Relay/ReportSchedule.h"

#include <chrono>
#include <cmath>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{100};
/// Bytes of a share beside its rows, and of a row.
constexpr std::size_t ShareBytes = 110;
constexpr std::size_t RowBytes = 6;

std::string addressOf(std::size_t entry)
{
    return "10.0." + std::to_string(entry / 200) + "." + std::to_string(entry % 200 + 1) + ":7340";
}

std::string serverOf(std::size_t server)
{
    return "i-" + std::to_string(server);
}

/// Entries that exchange reports and shares with a delay of one step. Each runs some requests at
/// some of the servers.
class Fleet
{
public:
    Fleet(std::size_t entries, std::size_t domains, double lost = 0) : lost(lost), random(3)
    {
        for (std::size_t number = 0; number < entries; ++number) {
            Entry &entry = this->entries.emplace_back();
            entry.table = std::make_unique<EntryTable>();
            entry.report.name = "e" + std::to_string(number);
            entry.report.failureDomain = "d" + std::to_string(number % domains);
            entry.report.peerAddress = addressOf(number);
            entry.report.incarnation = 1;
        }
        for (Entry &entry : this->entries) {
            for (std::size_t other = 0; other < entries; ++other) {
                if (addressOf(other) != entry.report.peerAddress)
                    entry.table->addAddress(this->now, addressOf(other));
            }
        }
    }

    void run(milliseconds span)
    {
        for (const Instant end = this->now + span; this->now < end;)
            this->step();
    }

    void setLoad(std::size_t entry, std::size_t server, std::uint32_t requests)
    {
        this->entries[entry].report.running.clear();
        if (requests > 0)
            this->entries[entry].report.running[serverOf(server)] = requests;
    }

    void stop(std::size_t entry) { this->entries[entry].isUp = false; }
    void stopReports() { this->sendsReports = false; }

    /// What an entry takes for the load of the others at a server.
    std::uint32_t seen(std::size_t entry, std::size_t server)
    {
        return this->entries[entry].table->runningElsewhere(serverOf(server), this->now);
    }

    /// Entries that relay for their failure domain, by the view of the first one.
    std::set<std::size_t> relays()
    {
        std::set<std::size_t> found;
        EntryTable &table = *this->entries.front().table;
        for (const std::string &domain : table.domains(this->now)) {
            for (const std::string &address : table.relaysOf(domain, this->now)) {
                for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
                    if (addressOf(entry) == address)
                        found.insert(entry);
                }
            }
        }
        return found;
    }

    std::uint64_t bytesOf(std::size_t entry) const { return this->entries[entry].shareBytes; }
    std::uint64_t reportsOf(std::size_t entry) const { return this->entries[entry].reports; }

private:
    struct Entry
    {
        std::unique_ptr<EntryTable> table;
        ReportSchedule schedule;
        EntryReport report;
        bool isUp = true;
        std::uint64_t shareBytes = 0;
        std::uint64_t reports = 0;
    };

    std::size_t indexOf(const std::string &address) const
    {
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (this->entries[entry].report.peerAddress == address)
                return entry;
        }
        CPPUNIT_FAIL("unknown address " + address);
        return 0;
    }

    void step()
    {
        this->now += Step;
        for (const auto &[to, share] : std::exchange(this->shares, {})) {
            if (this->entries[to].isUp && this->random.unit() >= this->lost)
                this->entries[to].table->loads().shareReceived(this->now, *share);
        }
        for (const EntryReport &report : std::exchange(this->reports, {})) {
            for (Entry &entry : this->entries) {
                if (entry.isUp && entry.report.peerAddress != report.peerAddress
                    && this->random.unit() >= this->lost) {
                    entry.table->update(this->now, report);
                    ++entry.reports;
                }
            }
        }
        for (Entry &entry : this->entries) {
            if (entry.isUp)
                this->tick(entry);
        }
    }

    void tick(Entry &entry)
    {
        entry.table->tick(this->now);
        EntryReport report = entry.report;
        report.sequence = ++entry.report.sequence;
        entry.table->setOwn(report);
        if (this->sendsReports && entry.schedule.isDue(this->now, this->entries.size(), {}))
            this->reports.push_back(report);
        LoadSum load;
        load.add(entry.report);
        LoadExchange::Messages messages;
        entry.table->loads().tick(this->now, load, *entry.table, messages);
        for (const auto &[address, share] : messages) {
            const std::size_t to = this->indexOf(address);
            const std::size_t bytes = ShareBytes + RowBytes * share->running.size();
            entry.shareBytes += bytes;
            this->entries[to].shareBytes += bytes;
            this->shares.emplace_back(to, share);
        }
    }

    double lost;
    RandomSource random;
    Instant now{seconds(100)};
    std::vector<Entry> entries;
    std::vector<std::pair<std::size_t, std::shared_ptr<const LoadShare>>> shares;
    std::vector<EntryReport> reports;
    bool sendsReports = true;
};

} // namespace

/// What the entries of a large fleet know of the load of the others.
class LoadExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadExchangeTest);
    CPPUNIT_TEST(loadReachesAllEntriesWithinTenthsOfASecond);
    CPPUNIT_TEST(smallFleetUsesReports);
    CPPUNIT_TEST(deadRelaysAreReplaced);
    CPPUNIT_TEST(lossyLinksHideNoLoad);
    CPPUNIT_TEST(entryWithoutSumsUsesReports);
    CPPUNIT_TEST(ownLoadIsNotCountedTwice);
    CPPUNIT_TEST(oldSharesAreIgnored);
    CPPUNIT_TEST(trafficOfAnEntryDoesNotGrowWithTheFleet);
    CPPUNIT_TEST(urgentNewsAreToldSoon);
    CPPUNIT_TEST_SUITE_END();

public:
    void loadReachesAllEntriesWithinTenthsOfASecond()
    {
        Fleet fleet(148, 5);
        fleet.run(seconds(3));
        for (std::size_t entry = 0; entry < 148; ++entry)
            fleet.setLoad(entry, entry % 20, 1);
        fleet.run(milliseconds(600));
        for (std::size_t entry = 0; entry < 148; ++entry) {
            for (std::size_t server = 0; server < 20; ++server) {
                const std::uint32_t all = 7 + (server < 8 ? 1 : 0);
                const std::uint32_t own = entry % 20 == server ? 1 : 0;
                CPPUNIT_ASSERT_EQUAL(all - own, fleet.seen(entry, server));
            }
        }
        for (std::size_t entry = 0; entry < 148; ++entry)
            fleet.setLoad(entry, 0, 0);
        fleet.run(milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(0U, fleet.seen(77, 3));
    }

    void smallFleetUsesReports()
    {
        Fleet fleet(7, 3);
        fleet.run(seconds(1));
        for (std::size_t entry = 0; entry < 7; ++entry)
            fleet.setLoad(entry, 0, 2);
        fleet.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(12U, fleet.seen(0, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fleet.bytesOf(0));
    }

    // Guards against a view of the load that hangs on the relays of a failure domain.
    void deadRelaysAreReplaced()
    {
        Fleet fleet(60, 3);
        fleet.run(seconds(3));
        const std::set<std::size_t> relays = fleet.relays();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), relays.size());
        for (const std::size_t relay : relays)
            fleet.stop(relay);
        for (std::size_t entry = 0; entry < 60; ++entry)
            fleet.setLoad(entry, 0, 1);
        // Reports tell the load before new relays are selected.
        fleet.run(milliseconds(1600));
        for (std::size_t entry = 0; entry < 60; ++entry) {
            if (relays.count(entry) == 0)
                CPPUNIT_ASSERT(fleet.seen(entry, 0) >= 50);
        }
        fleet.run(seconds(3));
        for (std::size_t entry = 0; entry < 60; ++entry) {
            if (relays.count(entry) == 0)
                CPPUNIT_ASSERT_EQUAL(53U, fleet.seen(entry, 0));
        }
    }

    void lossyLinksHideNoLoad()
    {
        Fleet fleet(60, 3, 0.2);
        fleet.run(seconds(3));
        for (std::size_t entry = 0; entry < 60; ++entry)
            fleet.setLoad(entry, 0, 1);
        fleet.run(seconds(2));
        for (int round = 0; round < 20; ++round) {
            fleet.run(Step);
            for (std::size_t entry = 0; entry < 60; ++entry)
                CPPUNIT_ASSERT(fleet.seen(entry, 0) >= 52);
        }
    }

    void entryWithoutSumsUsesReports()
    {
        EntryTable table;
        Instant now(seconds(100));
        for (std::size_t entry = 1; entry < 40; ++entry) {
            EntryReport report;
            report.peerAddress = addressOf(entry);
            report.failureDomain = "north";
            report.sequence = 1;
            report.running["i-1"] = 2;
            report.waiting["s"] = 1;
            table.update(now, report);
        }
        CPPUNIT_ASSERT_EQUAL(78U, table.runningElsewhere("i-1", now));
        CPPUNIT_ASSERT_EQUAL(39U, table.waitingElsewhere("s", now));
        CPPUNIT_ASSERT_EQUAL(0U, table.runningElsewhere("i-2", now));
        now += seconds(2);
        CPPUNIT_ASSERT_EQUAL(0U, table.runningElsewhere("i-1", now));
    }

    // Guards against an entry that takes requests which it sent a moment ago for those of others,
    // or does not see them at all.
    void ownLoadIsNotCountedTwice()
    {
        Fleet fleet(60, 3);
        fleet.run(seconds(3));
        fleet.setLoad(5, 0, 4);
        fleet.run(Step);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.seen(5, 0));
        for (int round = 0; round < 10; ++round) {
            fleet.run(Step);
            CPPUNIT_ASSERT(fleet.seen(5, 0) <= 4);
        }
        CPPUNIT_ASSERT_EQUAL(0U, fleet.seen(5, 0));
        CPPUNIT_ASSERT_EQUAL(4U, fleet.seen(6, 0));
    }

    // Guards against a relay that stood still and sends what it knew before.
    void oldSharesAreIgnored()
    {
        LoadExchange exchange;
        LoadShare own;
        own.sender = "self";
        exchange.setOwn(own);
        const Instant now(seconds(100));
        LoadShare share;
        share.scope = LoadShare::Scope::Fleet;
        share.sender = "relay";
        share.incarnation = 3;
        share.sequence = 9;
        share.running = {{LoadShare::hashOf("i-1"), 5}};
        exchange.shareReceived(now, share);
        share.sequence = 8;
        share.running = {{LoadShare::hashOf("i-1"), 1}};
        exchange.shareReceived(now, share);
        CPPUNIT_ASSERT_EQUAL(5U, *exchange.runningElsewhere("i-1", now));
        CPPUNIT_ASSERT(!exchange.runningElsewhere("i-1", now + seconds(1)));
        share.sender = "self";
        share.sequence = 10;
        exchange.shareReceived(now, share);
        CPPUNIT_ASSERT_EQUAL(5U, *exchange.runningElsewhere("i-1", now));
    }

    void trafficOfAnEntryDoesNotGrowWithTheFleet()
    {
        for (const std::size_t entries : {std::size_t(34), std::size_t(148), std::size_t(340)}) {
            Fleet fleet(entries, 5);
            for (std::size_t entry = 0; entry < entries; ++entry)
                fleet.setLoad(entry, entry % 129, 1);
            fleet.run(seconds(2));
            const std::set<std::size_t> relays = fleet.relays();
            std::size_t other = 0;
            while (relays.count(other) != 0)
                ++other;
            const std::uint64_t bytes = fleet.bytesOf(other);
            const std::uint64_t reports = fleet.reportsOf(other);
            fleet.run(seconds(5));
            // The bound on control of the size to design for; reports are counted apart.
            CPPUNIT_ASSERT((fleet.bytesOf(other) - bytes) / 5 <= 12'000);
            CPPUNIT_ASSERT((fleet.reportsOf(other) - reports) / 5 <= 350);
        }
    }

    void urgentNewsAreToldSoon()
    {
        ReportSchedule schedule;
        Instant now(seconds(100));
        ReportSchedule::Facts facts;
        CPPUNIT_ASSERT(schedule.isDue(now, 148, facts));
        now += milliseconds(100);
        facts.hasNews = true;
        CPPUNIT_ASSERT(!schedule.isDue(now, 148, facts));
        now += milliseconds(200);
        CPPUNIT_ASSERT(schedule.isDue(now, 148, facts));
        facts.hasNews = false;
        now += milliseconds(300);
        CPPUNIT_ASSERT(!schedule.isDue(now, 148, facts));
        // Only those that watch the store tell a change soon.
        facts.known.revision = 5;
        CPPUNIT_ASSERT(!schedule.isDue(now, 148, facts));
        facts.watchesStore = true;
        CPPUNIT_ASSERT(schedule.isDue(now, 148, facts));
        facts.isLeaving = true;
        CPPUNIT_ASSERT(schedule.isDue(now + milliseconds(10), 148, facts));
        CPPUNIT_ASSERT(ReportSchedule::period(6) == milliseconds(100));
        CPPUNIT_ASSERT(ReportSchedule::period(340) == milliseconds(1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadExchangeTest);

} // namespace Nutmegrill
