#include "Relay/AnswerHead.h"
#include "Relay/ReportSchedule.h"
#include "RelayNodeHarness.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

void answer(RelayNodeHarness &scene, RelayCommand::CallerId caller, const AnswerHead &head)
{
    scene.node.headArrived(scene.now, scene.attemptOf(caller)->attempt, head, scene.commands);
}

AnswerHead leavingHead(int status = 200)
{
    AnswerHead head;
    head.status = status;
    head.isLeaving = true;
    return head;
}

void rejectWithPause(RelayNodeHarness &scene, RelayCommand::CallerId caller, milliseconds pause)
{
    AnswerHead head;
    head.status = 503;
    head.notRun = true;
    head.pause = pause;
    answer(scene, caller, head);
    scene.end(caller);
}

} // namespace

/// Tests what an entry does with what backend servers say about themselves in their answers.
class BackendNoticeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendNoticeTest);
    CPPUNIT_TEST(serverThatSaysItLeavesGetsNewRequests);
    CPPUNIT_TEST(otherEntriesDoNotLearnThatAServerLeaves);
    CPPUNIT_TEST(largeFleetIsToldThreeTimesThatAServerLeaves);
    CPPUNIT_TEST(requestsWaitWhenAllServersLeave);
    CPPUNIT_TEST(pausingServerGetsRequests);
    CPPUNIT_TEST(requestsThatCanWaitAreRefusedDuringAPause);
    CPPUNIT_TEST(pauseOpensTheCircuitBreaker);
    CPPUNIT_TEST_SUITE_END();

public:
    // The instance list shows it as active, and reports it so again.
    void serverThatSaysItLeavesGetsNewRequests()
    {
        RelayNodeHarness scene(2, 0);
        const auto first = scene.arrive("/stream/");
        AnswerHead head = leavingHead();
        head.isStream = true;
        answer(scene, first, head);
        const std::string leaving = scene.attemptOf(first)->backend;
        const std::string other = leaving == "m0" ? "m1" : "m0";
        scene.node.roster().update(scene.now, RelayNodeHarness::record(leaving, "model"));
        for (int number = 0; number < 6; ++number)
            CPPUNIT_ASSERT_EQUAL(other, scene.attemptOf(scene.arrive("/stream/"))->backend);
        // A new start under the same id serves, and a late answer of the last one changes nothing.
        BackendRecord restarted = RelayNodeHarness::record(leaving, "model");
        restarted.incarnation += 1;
        scene.node.roster().update(scene.now, restarted);
        answer(scene, first, head);
        bool isUsed = false;
        for (int number = 0; number < 6; ++number)
            isUsed = scene.attemptOf(scene.arrive("/stream/"))->backend == leaving || isUsed;
        CPPUNIT_ASSERT(isUsed);
    }

    void otherEntriesDoNotLearnThatAServerLeaves()
    {
        RelayNodeHarness scene(1, 0);
        answer(scene, scene.arrive("/stream/"), leavingHead(500));
        EntryReport report;
        report.peerAddress = "10.0.0.9:7000";
        report.sequence = 1;
        scene.node.fillReport(scene.now, report);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.leaving.size());
        RelayNodeHarness other(2, 0);
        other.node.reportArrived(other.now, report, other.commands);
        for (int number = 0; number < 4; ++number)
            CPPUNIT_ASSERT_EQUAL(std::string("m1"),
                                 other.attemptOf(other.arrive("/stream/"))->backend);
        // The others are told three times.
        for (int number = 0; number < 3; ++number) {
            report.leaving.clear();
            scene.node.fillReport(scene.now, report);
        }
        CPPUNIT_ASSERT(report.leaving.empty());
    }

    // Guards against news that wait for the next report of a large fleet and then are told once, in
    // a datagram that may get lost.
    void largeFleetIsToldThreeTimesThatAServerLeaves()
    {
        RelayNodeHarness scene(1, 0);
        const auto caller = scene.arrive("/stream/");
        ReportSchedule schedule;
        std::size_t told = 0;
        std::size_t sent = 0;
        for (int tick = 0; tick < 60; ++tick, scene.now += milliseconds(100)) {
            if (tick == 3)
                answer(scene, caller, leavingHead(500));
            ReportSchedule::Facts facts;
            facts.hasNews = scene.node.hasNews();
            if (!schedule.isDue(scene.now, 148, facts))
                continue;
            EntryReport report;
            scene.node.fillReport(scene.now, report);
            ++sent;
            told += report.leaving.empty() ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), told);
        // About one a second, and the news.
        CPPUNIT_ASSERT(sent <= 9);
    }

    void requestsWaitWhenAllServersLeave()
    {
        RelayNodeHarness scene(2, 0);
        const auto first = scene.arrive("/stream/");
        const auto second = scene.arrive("/stream/");
        answer(scene, first, leavingHead());
        answer(scene, second, leavingHead());
        const auto late = scene.arrive("/stream/");
        const RelayCommand::Refuse *refusal = scene.refusalOf(late);
        CPPUNIT_ASSERT(refusal != nullptr && refusal->status == 503 && refusal->retryAfter);
    }

    // Also after a success, after a shorter pause, and when it comes back all at once.
    void pausingServerGetsRequests()
    {
        RelayNodeHarness scene(1, 1);
        const auto open = scene.arrive("/stream/");
        const auto rejected = scene.arrive("/stream/");
        scene.streamHead(open);
        rejectWithPause(scene, rejected, milliseconds(5000));
        scene.event(open, 1);
        scene.end(open);
        const auto waiting = scene.arrive("/stream/");
        CPPUNIT_ASSERT(scene.attemptOf(waiting) == nullptr);
        CPPUNIT_ASSERT(scene.refusalOf(waiting) != nullptr
                       && *scene.refusalOf(waiting)->retryAfter > milliseconds(1000));
        scene.advance(milliseconds(4900));
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/stream/")) == nullptr);
        const std::size_t before = scene.count<RelayCommand::StartAttempt>();
        const auto sent = [&] { return scene.count<RelayCommand::StartAttempt>() - before; };
        for (const Instant latest = scene.now + milliseconds(1200); sent() == 0;) {
            CPPUNIT_ASSERT(scene.now < latest);
            scene.arrive("/stream/");
            scene.advance(milliseconds(20));
        }
        for (int number = 0; number < 8; ++number)
            scene.arrive("/stream/");
        CPPUNIT_ASSERT(sent() <= 2);
        // A new start of the server has no pause.
        BackendRecord restarted = RelayNodeHarness::record("m0", "model");
        restarted.incarnation += 1;
        rejectWithPause(scene, scene.arrive("/lookup/"), milliseconds(500));
        restarted = RelayNodeHarness::record("p0", "plain");
        restarted.incarnation += 1;
        scene.node.roster().update(scene.now, restarted);
        const auto later = scene.arrive("/lookup/");
        scene.advance(milliseconds(40));
        CPPUNIT_ASSERT(scene.attemptOf(later) != nullptr);
    }

    void requestsThatCanWaitAreRefusedDuringAPause()
    {
        RelayNodeHarness scene(1, 2);
        const auto first = scene.arrive("/lookup/");
        rejectWithPause(scene, first, milliseconds(400));
        // The other server takes it.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(first));
        rejectWithPause(scene, first, milliseconds(200));
        CPPUNIT_ASSERT(scene.refusalOf(first) == nullptr);
        // Nothing is sent before the end of the pause.
        scene.advance(milliseconds(180));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(first));
        scene.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), scene.attemptsOf(first));
    }

    void pauseOpensTheCircuitBreaker()
    {
        RelayNodeHarness scene(3, 0);
        const auto rejected = scene.arrive("/stream/");
        for (int number = 0; number < 3; ++number)
            rejectWithPause(scene, rejected, milliseconds(5000));
        scene.advance(milliseconds(7100));
        const auto first = scene.arrive("/stream/");
        const auto second = scene.arrive("/stream/");
        CPPUNIT_ASSERT(scene.attemptOf(first) != nullptr && scene.attemptOf(second) != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendNoticeTest);

} // namespace Nutmegrill
