#include "Core/RandomSource.h"
#include "Experts/GroupExchange.h"
#include "Experts/RankPace.h"
#include "Experts/SlowRankNotices.h"
#include "Relay/BackendRoster.h"
#include "Relay/ReportSchedule.h"
#include "Relay/SlowRankTable.h"
#include "RelayShell/GroupQueryCodec.h"
#include "RelayShell/PeerCodec.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
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
constexpr std::uint32_t SlowRankNumber = 40;
constexpr double Pace = 5;
constexpr milliseconds Tick{20};

/// Agents of a group and entries that exchange messages, which are lost or late.
class NewsWorld
{
public:
    NewsWorld(std::size_t entryCount, double lost, std::uint64_t seed) : random(seed), lost(lost)
    {
        std::set<std::string> addresses;
        for (std::uint32_t rank = 0; rank < Ranks; ++rank)
            addresses.insert(std::to_string(rank));
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            Agent &agent = this->agents.emplace_back();
            agent.state.engine.group = "g";
            agent.state.engine.rank = rank;
            agent.state.engine.ranks = Ranks;
            agent.state.address = std::to_string(rank);
            agent.state.engineAddress = serverAddress(rank);
            agent.state.incarnation = 1;
            agent.exchange = std::make_unique<GroupExchange>(GroupExchange::Settings{});
            agent.exchange->setPeers(addresses);
        }
        this->entries.resize(entryCount);
        for (Entry &entry : this->entries) {
            for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
                BackendRecord record;
                record.id = "s" + std::to_string(rank);
                record.address = serverAddress(rank);
                entry.roster.update(this->now, record);
            }
        }
        // Each entry has asked the agent of one rank; the hub learns of it from the states.
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            this->agents[1 + entry % (Ranks - 1)].state.entry = std::to_string(entry);
    }

    void setPace(std::uint32_t rank, double pace) { this->agents[rank].enginePace = pace; }
    void kill(std::uint32_t rank) { this->agents[rank].isLive = false; }

    void run(milliseconds span)
    {
        for (const Instant end = this->now + span; this->now < end; this->now += Tick) {
            while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
                const auto deliver = std::move(this->messages.begin()->second);
                this->messages.erase(this->messages.begin());
                deliver();
            }
            for (Agent &agent : this->agents) {
                if (agent.isLive)
                    this->runAgent(agent);
            }
            for (std::size_t number = 0; number < this->entries.size(); ++number)
                this->runEntry(number);
        }
    }

    /// Entries that know the pace of a rank.
    std::size_t informed(std::uint32_t rank, double pace) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->entries.begin(), this->entries.end(), [&](const Entry &entry) {
                    const auto &rows = entry.roster.rows();
                    return rows.at("s" + std::to_string(rank)).paceAt(this->now) == pace;
                }));
    }

    std::size_t noticesSent = 0;
    std::size_t largestReport = 0;

private:
    struct Agent
    {
        RankState state;
        double enginePace = 1;
        RankPace pace;
        std::unique_ptr<GroupExchange> exchange;
        SlowRankNotices notices;
        Instant nextReportAt;
        bool isLive = true;
    };

    struct Entry
    {
        BackendRoster roster;
        SlowRankTable table;
        ReportSchedule schedule;
    };

    static std::string serverAddress(std::uint32_t rank)
    {
        return "10.0.1." + std::to_string(rank) + ":8000";
    }

    void post(std::function<void()> deliver)
    {
        if (this->random.unit() >= this->lost)
            this->messages.emplace(this->now + milliseconds(1 + this->random.below(80)),
                                   std::move(deliver));
    }

    void runAgent(Agent &agent)
    {
        if (this->now >= agent.nextReportAt) {
            agent.pace.reported(this->now, agent.enginePace);
            agent.nextReportAt = this->now + milliseconds(agent.pace.isPending() ? 40 : 250);
        }
        agent.state.engine.pace = agent.pace.at(this->now);
        GroupExchange::Messages out;
        agent.exchange->tick(this->now, agent.state, {}, out);
        for (const GroupExchange::Message &message : out) {
            const std::string bytes =
                    encodeRankState(**std::get_if<std::shared_ptr<const RankState>>(&message.body));
            Agent &to = this->agents[std::stoul(message.address)];
            this->post([this, bytes, &to] {
                const RankState state = *decodeRankState(bytes);
                if (to.exchange->stateReceived(this->now, state) == GroupExchange::Receipt::New
                    && !state.entry.empty())
                    to.notices.entryHeard(this->now, state.entry);
            });
        }
        if (!agent.exchange->isHub()) {
            agent.notices.stop();
            return;
        }
        const auto notice =
                agent.notices.tick(this->now, agent.exchange->slowRanks(this->now, agent.state));
        if (!notice)
            return;
        const std::string bytes = encodeGroupMembership({"x", "g", notice->ranks});
        for (const std::string &address : notice->entries) {
            ++this->noticesSent;
            Entry &entry = this->entries[std::stoul(address)];
            this->post([this, bytes, &entry] {
                entry.table.noticeArrived(this->now, decodeGroupMembership(bytes)->slowRanks,
                                          entry.roster);
            });
        }
    }

    void runEntry(std::size_t number)
    {
        Entry &entry = this->entries[number];
        entry.roster.tick(this->now);
        ReportSchedule::Facts facts;
        facts.hasNews = entry.table.hasNews();
        if (!entry.schedule.isDue(this->now, this->entries.size(), facts))
            return;
        EntryReport report;
        report.peerAddress = std::to_string(number);
        report.slowRanks = entry.table.takeReport(this->now);
        this->largestReport = std::max(this->largestReport, report.slowRanks.size());
        // Reports without the figures change nothing here.
        if (report.slowRanks.empty())
            return;
        const auto read = decodeReport(encodeReport(report))->slowRanks;
        for (Entry &other : this->entries) {
            if (&other != &entry)
                this->post([this, read, &other] {
                    SlowRankTable::record(this->now, read, other.roster);
                });
        }
    }

    RandomSource random;
    double lost;
    Instant now{seconds(100)};
    std::vector<Agent> agents;
    std::vector<Entry> entries;
    std::multimap<Instant, std::function<void()>> messages;
};

} // namespace

/// The load: one rank of 63 is five times slower for nine seconds, and messages are lost or late.
class SlowRankNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowRankNewsTest);
    CPPUNIT_TEST(allEntriesLearnOfASlowRank);
    CPPUNIT_TEST(nextHubTellsAgain);
    CPPUNIT_TEST(silentAgentIsNotSlow);
    CPPUNIT_TEST(noticesGoToFewEntriesAtATime);
    CPPUNIT_TEST(oldFiguresAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that learn of a slow rank late or never, forget it while it lasts, or
    // keep avoiding it afterwards.
    void allEntriesLearnOfASlowRank()
    {
        for (const std::size_t entries : {13U, 60U, 150U}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                const std::string scene =
                        std::to_string(entries) + " entries, seed " + std::to_string(seed) + ": ";
                NewsWorld world(entries, 0.1, seed);
                world.run(seconds(8));
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.noticesSent);
                world.setPace(SlowRankNumber, Pace);
                world.run(seconds(1));
                for (int part = 0; part < 16; ++part) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(scene, entries,
                                                 world.informed(SlowRankNumber, Pace));
                    world.run(milliseconds(500));
                }
                CPPUNIT_ASSERT_EQUAL(entries, world.informed(SlowRankNumber + 1, 1));
                // Four entries in 300 ms, and two repeats.
                CPPUNIT_ASSERT(world.noticesSent <= 4 * (9000 / 300 + 3));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.largestReport);
                world.setPace(SlowRankNumber, 1);
                world.run(milliseconds(4200));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(scene, entries, world.informed(SlowRankNumber, 1));
                const std::size_t sent = world.noticesSent;
                world.run(seconds(2));
                CPPUNIT_ASSERT_EQUAL(sent, world.noticesSent);
            }
        }
    }

    // Guards against figures that never expire after the hub has ended, and against a next hub that
    // knows no entry.
    void nextHubTellsAgain()
    {
        NewsWorld world(60, 0.1, 5);
        world.run(seconds(8));
        world.setPace(SlowRankNumber, Pace);
        world.run(seconds(2));
        world.kill(0);
        world.run(milliseconds(2100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), world.informed(SlowRankNumber, 1));
        world.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), world.informed(SlowRankNumber, Pace));
    }

    // Guards against a rank that stays slow because its agent has ended.
    void silentAgentIsNotSlow()
    {
        NewsWorld world(20, 0, 6);
        world.run(seconds(8));
        world.setPace(SlowRankNumber, Pace);
        world.run(seconds(2));
        world.kill(SlowRankNumber);
        world.run(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), world.informed(SlowRankNumber, Pace));
        world.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), world.informed(SlowRankNumber, 1));
    }

    // Guards against messages that grow with the entries, and against an ended entry that is the
    // only one to be told.
    void noticesGoToFewEntriesAtATime()
    {
        SlowRankNotices notices;
        Instant now(seconds(100));
        for (int entry = 0; entry < 100; ++entry, now += milliseconds(1))
            notices.entryHeard(now, std::to_string(100 + entry));
        std::set<std::string> told;
        const std::vector<SlowRank> slow = {{"a", Pace, milliseconds(0)}};
        for (int count = 0; count < 4; ++count, now += milliseconds(300)) {
            const auto notice = notices.tick(now, slow);
            CPPUNIT_ASSERT_EQUAL(SlowRankNotices::EntriesPerNotice, notice->entries.size());
            told.insert(notice->entries.begin(), notice->entries.end());
        }
        CPPUNIT_ASSERT_EQUAL(4 * SlowRankNotices::EntriesPerNotice, told.size());
        CPPUNIT_ASSERT(notices.tick(now, {})->ranks == std::vector<SlowRank>({{"a", 1, {}}}));
        CPPUNIT_ASSERT(!notices.tick(now + seconds(1), {}));
        CPPUNIT_ASSERT(!notices.tick(now + seconds(150), slow));
    }

    // Guards against a late message that makes a rank slow again, and a new start that is slow
    // because the former one was.
    void oldFiguresAreIgnored()
    {
        BackendRoster roster;
        const Instant now(seconds(100));
        BackendRecord record;
        record.id = "s";
        record.address = "a";
        roster.update(now, record);
        CPPUNIT_ASSERT(SlowRankTable::record(now, {{"a", Pace, milliseconds(0)}}, roster));
        CPPUNIT_ASSERT_EQUAL(Pace, roster.find("s")->paceAt(now + milliseconds(1999)));
        CPPUNIT_ASSERT_EQUAL(1.0, roster.find("s")->paceAt(now + milliseconds(2000)));
        CPPUNIT_ASSERT(SlowRankTable::record(now + seconds(1), {{"a", 1, {}}}, roster));
        CPPUNIT_ASSERT(!SlowRankTable::record(now + seconds(1), {{"a", 5, seconds(1)}}, roster));
        CPPUNIT_ASSERT(!SlowRankTable::record(now + seconds(3), {{"a", 5, seconds(2)}}, roster));
        CPPUNIT_ASSERT_EQUAL(1.0, roster.find("s")->paceAt(now + seconds(1)));
        roster.recordPace("a", 12, now + seconds(9));
        record.incarnation = 1;
        roster.update(now + seconds(4), record);
        CPPUNIT_ASSERT_EQUAL(1.0, roster.find("s")->paceAt(now + seconds(4)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowRankNewsTest);

} // namespace Nutmegrill
