#include "Membership/CrashRecords.h"
#include "GoldenSession.h"
#include "Messages/MessageCodec.h"
#include "PropertyCheck.h"

#include <deque>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Request = 77;

Instant at(long long millis)
{
    return Instant(milliseconds(millis));
}

// Two peers send each other their record every 10 ms over a link of 20 ms. Returns whether either
// still suspects the request 30 s after its lifetime of 10 min.
bool echoKeepsRecord(CrashRecords::Switches switches)
{
    constexpr std::size_t Delay = 2;
    std::vector<CrashRecords> peers(2, CrashRecords(switches));
    std::vector<std::deque<PeerMessage::CrashNotice>> links(2);
    peers[0].add(at(0), Request, "crash-1");
    for (long long millis = 0; millis < 630'000; millis += 10) {
        for (std::size_t peer = 0; peer < 2; ++peer) {
            links[peer].push_back(peers[peer].notice(at(millis), Request));
            if (links[peer].size() > Delay) {
                peers[1 - peer].merge(at(millis), links[peer].front());
                links[peer].pop_front();
            }
            peers[peer].tick(at(millis));
        }
    }
    return peers[0].isSuspect(at(630'000), Request) || peers[1].isSuspect(at(630'000), Request);
}

// A notice reaches a peer after 5 s, and the peer's copy returns after the record expired here.
bool revivedByDelayedNotice(CrashRecords::Switches switches)
{
    CrashRecords records(switches);
    CrashRecords peer(switches);
    records.add(at(0), Request, "crash-1");
    peer.merge(at(5'000), records.notice(at(0), Request));
    records.tick(at(601'000));
    records.merge(at(601'000), peer.notice(at(601'000), Request));
    return records.isSuspect(at(601'001), Request);
}

// Peers exchange notices in random order, with loss and duplicates; in the end all must agree.
std::string agree(ChoiceScript &script)
{
    std::vector<CrashRecords> peers(3);
    std::size_t crashes = 0;
    long long millis = 0;
    while (!script.isExhausted()) {
        millis += 1;
        const std::size_t from = script.below(3);
        const std::size_t to = script.below(3);
        if (script.below(20) == 1)
            peers[from].add(at(millis), Request, "crash-" + std::to_string(crashes++ % 4));
        else
            peers[to].merge(at(millis), peers[from].notice(at(millis), Request));
    }
    for (int round = 0; round < 9; ++round)
        peers[static_cast<std::size_t>(round + 1) % 3].merge(
                at(millis), peers[static_cast<std::size_t>(round) % 3].notice(at(millis), Request));
    for (const CrashRecords &peer : peers) {
        if (peer.isQuarantined(at(millis), Request) != (crashes >= 2)
            || peer.isSuspect(at(millis), Request) != (crashes >= 1))
            return "peers disagree after " + std::to_string(crashes) + " crashes";
        if (peer.isSuspect(at(millis + 600'000), Request))
            return "the record outlives its lifetime";
    }
    return {};
}

} // namespace

class CrashRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashRecordsTest);
    CPPUNIT_TEST(echoDoesNotExtendLifetime);
    CPPUNIT_TEST(proofFailsWithoutFixedDeadline);
    CPPUNIT_TEST(delayedNoticeDoesNotReviveRecord);
    CPPUNIT_TEST(peersAgree);
    CPPUNIT_TEST(emptyNoticeMakesNoSuspect);
    CPPUNIT_TEST(repeatedNoticeDoesNotMoveDeadline);
    CPPUNIT_TEST(clearedCrashCountsInQuarantineOfPeer);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(goldenSession);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a record that two peers keep alive forever by exchanging notices.
    void echoDoesNotExtendLifetime() { CPPUNIT_ASSERT(!echoKeepsRecord({true, true})); }

    // Shows that the test above detects deadlines that every notice extends.
    void proofFailsWithoutFixedDeadline() { CPPUNIT_ASSERT(echoKeepsRecord({false, true})); }

    // Guards against an expired record that is revived by a delayed notice of a peer.
    void delayedNoticeDoesNotReviveRecord()
    {
        CPPUNIT_ASSERT(!revivedByDelayedNotice({true, true}));
        // If ended crashes are not kept, the same sequence revives the record.
        CPPUNIT_ASSERT(revivedByDelayedNotice({true, false}));
    }

    // Guards against peers that count the same crashes differently.
    void peersAgree()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), checkScripts("crash records", 120, agree));
    }

    // Guards against a request that is suspected without a crash.
    void emptyNoticeMakesNoSuspect()
    {
        CrashRecords records;
        CPPUNIT_ASSERT(!records.merge(at(0), {Request, {}, milliseconds(60'000)}));
        CPPUNIT_ASSERT(!records.merge(at(0), {Request, {"crash-1"}, milliseconds(0)}));
        CPPUNIT_ASSERT(!records.isSuspect(at(1), Request));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, records.size());
    }

    // Guards against a lifetime that each repeat of a notice extends.
    void repeatedNoticeDoesNotMoveDeadline()
    {
        CrashRecords records;
        records.add(at(0), Request, "crash-1");
        records.merge(at(500'000), {Request, {"crash-1"}, milliseconds::max()});
        records.add(at(500'000), Request, "crash-1");
        CPPUNIT_ASSERT(!records.isSuspect(at(600'000), Request));
        // A second crash gives the quarantine its full time.
        CPPUNIT_ASSERT(records.add(at(700'000), Request, "crash-2"));
        CPPUNIT_ASSERT(!records.isQuarantined(at(700'001), Request));
        CPPUNIT_ASSERT(records.merge(at(800'000), {Request, {"crash-3"}, milliseconds::max()}));
        CPPUNIT_ASSERT(records.isQuarantined(at(1'399'999), Request));
        CPPUNIT_ASSERT(!records.isQuarantined(at(1'400'000), Request));
    }

    // Guards against a missing quarantine after two crashes because one process cleared the first.
    void clearedCrashCountsInQuarantineOfPeer()
    {
        CrashRecords records;
        records.add(at(0), Request, "crash-1");
        records.clearSuspect(Request);
        CPPUNIT_ASSERT(!records.isSuspect(at(1), Request));
        records.merge(at(2), {Request, {"crash-1"}, milliseconds(60'000)});
        CPPUNIT_ASSERT(!records.isSuspect(at(3), Request));
        records.add(at(4), Request, "crash-2");
        CPPUNIT_ASSERT(!records.isQuarantined(at(5), Request));
        records.merge(at(6), {Request, {"crash-1", "crash-2"}, milliseconds(60'000)});
        CPPUNIT_ASSERT(records.isQuarantined(at(7), Request));
        records.clearSuspect(Request);
        CPPUNIT_ASSERT(records.isQuarantined(at(7), Request));
    }

    // Guards against memory that grows with crashes, and against a flood of suspects that displaces
    // a quarantine.
    void memoryIsBounded()
    {
        CrashRecords records;
        records.add(at(0), Request, "crash-1");
        records.add(at(0), Request, "crash-2");
        for (std::uint64_t other = 1000; other < 11'000; ++other)
            records.add(at(1), other, "crash-3");
        for (int crash = 0; crash < 100; ++crash)
            records.add(at(2), Request, "more-" + std::to_string(crash));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, records.size());
        CPPUNIT_ASSERT(records.isQuarantined(at(3), Request));
        CPPUNIT_ASSERT(records.notice(at(3), Request).crashIds.size() <= 8);
        records.tick(at(1'300'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, records.size());
    }

    // Guards against any unintended change of the decisions.
    void goldenSession()
    {
        CrashRecords records;
        const auto step = [&records](const std::string &line) {
            std::istringstream words(line);
            long long millis = 0;
            std::string verb;
            std::string crash;
            long long remaining = 0;
            words >> millis >> verb >> crash >> remaining;
            bool isNew = false;
            if (verb == "add")
                isNew = records.add(at(millis), Request, crash);
            else if (verb == "notice")
                isNew = records.merge(at(millis), {Request, {crash}, milliseconds(remaining)});
            else if (verb == "clear")
                records.clearSuspect(Request);
            else
                records.tick(at(millis));
            const bool quarantined = records.isQuarantined(at(millis), Request);
            const bool suspect = records.isSuspect(at(millis), Request);
            return std::vector<std::string>{std::string(isNew ? "new, " : "")
                                                    + (quarantined ? "quarantined"
                                                       : suspect   ? "suspect"
                                                                   : "clean"),
                                            describeMessage(records.notice(at(millis), Request))};
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), GoldenSession("config-crash-records").run(step));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRecordsTest);

} // namespace Nutmegrill
