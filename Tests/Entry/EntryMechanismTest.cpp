#include "EntryDriver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

namespace {

using Lines = std::vector<std::string>;

const Lines startLines = {"0 config 1",
                          "10 instances e1:north e2:north e3:south a1:north:model a2:south:model "
                          "b1:north:ledger b2:south:ledger",
                          "20 up a1 credits=9",
                          "20 up a2 credits=9",
                          "20 up b1 credits=9",
                          "20 up b2 credits=9"};

// Returns the trace of the lines after the start lines, with one mechanism turned off (or none).
Lines trace(const Lines &lines, bool EntrySwitches::*off)
{
    EntrySettings settings = EntryDriver::defaultSettings();
    if (off != nullptr)
        settings.switches.*off = false;
    EntryDriver driver(settings);
    driver.runAll(startLines);
    return driver.runAll(lines);
}

// Checks that the expectation holds with the mechanism and fails without it.
void checkMechanism(const Lines &lines, bool EntrySwitches::*mechanism,
                    const std::function<bool(const Lines &)> &expectation)
{
    CPPUNIT_ASSERT(expectation(trace(lines, nullptr)));
    CPPUNIT_ASSERT(!expectation(trace(lines, mechanism)));
}

std::function<bool(const Lines &)> has(int count, const std::string &text)
{
    return [=](const Lines &lines) { return countLines(lines, text) == count; };
}

} // namespace

class EntryMechanismTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryMechanismTest);
    CPPUNIT_TEST(noStartWithoutCredit);
    CPPUNIT_TEST(slowReaderReleasesItsSlot);
    CPPUNIT_TEST(unstartedRequestIsRejectedEarly);
    CPPUNIT_TEST(resumedAnswerIsAcknowledgedAgain);
    CPPUNIT_TEST(noStartInFailureDomainThatIsOut);
    CPPUNIT_TEST(noStartOnLeavingAgent);
    CPPUNIT_TEST(brokenAnswerIsResumed);
    CPPUNIT_TEST(brokenStreamContinuesElsewhere);
    CPPUNIT_TEST(repeatedEventsAreDropped);
    CPPUNIT_TEST(callIsNotSentAgain);
    CPPUNIT_TEST(quarantinedRequestIsNotRun);
    CPPUNIT_TEST(smallAccountIsServedAmongLargeOne);
    CPPUNIT_TEST(slowReaderPausesStream);
    CPPUNIT_TEST(stopWaitsForStreams);
    CPPUNIT_TEST(credits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against slow readers that occupy all slots while other requests wait, and against
    // aborting a slow reader when no request waits.
    void slowReaderReleasesItsSlot()
    {
        Lines lines = {"90 grant a1 1 ms=60000",
                       "90 grant a2 0 ms=60000",
                       "100 request 1 model small",
                       "110 head 1",
                       "200 buffered 1 100000",
                       "300 request 2 model large",
                       "900 tick",
                       "1500 tick",
                       "2100 tick",
                       "2300 tick"};
        checkMechanism(lines, &EntrySwitches::backpressure, has(1, "reader_too_slow"));
        const Lines late(lines.begin(), lines.end() - 1);
        CPPUNIT_ASSERT_EQUAL(0, countLines(trace(late, nullptr), "reader_too_slow"));
        std::erase(lines, "300 request 2 model large");
        CPPUNIT_ASSERT_EQUAL(0, countLines(trace(lines, nullptr), "reader_too_slow"));
    }

    // Guards against an answer that stays paused because its acknowledgement was lost with the
    // link.
    void resumedAnswerIsAcknowledgedAgain()
    {
        const Lines lines = {"90 grant a2 0 ms=60000",
                             "100 request 1 model small",
                             "110 head 1",
                             "120 event 1 0 one",
                             "1300 tick",
                             "2500 tick",
                             "2600 down a1",
                             "2700 up a1 credits=9",
                             "2800 tick"};
        const Lines before(lines.begin(), lines.end() - 3);
        CPPUNIT_ASSERT_EQUAL(1, countLines(trace(before, nullptr), "[\"ack\""));
        Lines after = lines;
        after.insert(after.end(), {"3900 tick", "5000 tick"});
        CPPUNIT_ASSERT_EQUAL(2, countLines(trace(after, nullptr), "[\"ack\""));
    }

    // Guards against late rejections: a request that has not started is rejected after a quarter of
    // its time limit.
    void unstartedRequestIsRejectedEarly()
    {
        const Lines lines = {"90 grant a1 0 ms=60000", "90 grant a2 0 ms=60000",
                             "100 request 1 model small limit=2000", "590 tick", "600 tick"};
        const Lines early(lines.begin(), lines.end() - 1);
        CPPUNIT_ASSERT_EQUAL(0, countLines(trace(early, nullptr), "queue_timeout not_run"));
        CPPUNIT_ASSERT_EQUAL(1, countLines(trace(lines, nullptr), "queue_timeout not_run"));
    }

    // Guards against more starts at an agent than it has granted.
    void noStartWithoutCredit()
    {
        checkMechanism({"30 grant a1 1 ms=60000", "30 grant a2 0 ms=60000",
                        "40 request 1 model small", "50 request 2 model small"},
                       &EntrySwitches::credits, has(1, "start work"));
    }

    // Guards against starts in a failure domain that operators have taken out.
    void noStartInFailureDomainThatIsOut()
    {
        checkMechanism({"30 config 2 out=south epoch=2", "40 request 1 model small",
                        "50 request 2 model small"},
                       &EntrySwitches::domainCheck, has(2, " a1 r"));
    }

    // Guards against starts at an agent that has reported that it is leaving.
    void noStartOnLeavingAgent()
    {
        checkMechanism(
                {"30 status a2 leaving", "40 request 1 model small", "50 request 2 model small"},
                &EntrySwitches::leavingCheck, has(2, " a1 r"));
    }

    // Guards against losing the recorded answer of a non-idempotent call when the link breaks.
    void brokenAnswerIsResumed()
    {
        checkMechanism({"30 request 1 ledger small once", "40 lost b1 1", "50 up b1 credits=9",
                        "60 head 2", "70 event 2 0 recorded", "80 end 2 1"},
                       &EntrySwitches::resume, has(1, "end caller=1"));
    }

    // Guards against a truncated stream when its agent crashes.
    void brokenStreamContinuesElsewhere()
    {
        checkMechanism({"30 request 1 model small", "40 event 1 0 Good", "50 lost a1 1",
                        "60 down a1", "70 event 2 0 done", "80 end 2 1"},
                       &EntrySwitches::continuation, has(1, "end caller=1"));
    }

    // Guards against duplicate text when an agent sends an event twice.
    void repeatedEventsAreDropped()
    {
        checkMechanism({"30 request 1 model small", "40 event 1 0 Good", "50 event 1 0 Good"},
                       &EntrySwitches::dropDuplicates, has(1, "event caller=1 0"));
    }

    // Guards against a non-idempotent call that is executed twice.
    void callIsNotSentAgain()
    {
        checkMechanism({"30 request 1 ledger small once", "40 failure 1 unknown 502"},
                       &EntrySwitches::atMostOnce, has(1, "start work"));
    }

    // Guards against a request that is tried on one backend server after another and crashes each.
    void quarantinedRequestIsNotRun()
    {
        checkMechanism({"30 crash a1 7 x y", "40 request 1 model small fp=7"},
                       &EntrySwitches::quarantine, has(0, "start work"));
    }

    // Guards against an account with one request that waits for the whole queue of another account.
    void smallAccountIsServedAmongLargeOne()
    {
        Lines lines = {"30 grant a1 0 ms=60000", "30 grant a2 0 ms=60000"};
        for (int caller = 1; caller <= 10; ++caller)
            lines.push_back("40 request " + std::to_string(caller) + " model large tokens=1000");
        lines.push_back("50 request 11 model small tokens=1000");
        lines.push_back("60 grant a1 3 ms=60000");
        checkMechanism(lines, &EntrySwitches::fairShares, has(1, " r11 "));
    }

    // Guards against buffer memory that grows while a caller reads slowly.
    void slowReaderPausesStream()
    {
        checkMechanism({"30 request 1 model small", "40 head 1", "50 buffered 1 300000"},
                       &EntrySwitches::backpressure, has(1, "pause work=1"));
    }

    // Guards against a planned stop that aborts running requests.
    void stopWaitsForStreams()
    {
        checkMechanism({"30 request 1 model small", "40 stop", "20000 tick"},
                       &EntrySwitches::gracefulStop, [](const Lines &lines) {
                           return std::count(lines.begin(), lines.end(), "stop") == 0;
                       });
    }

    // Guards against starts on credits that have expired or were granted over a link that has
    // closed since.
    void credits()
    {
        const Lines lines = trace({"30 grant a1 2 ms=100", "30 grant a2 0 ms=60000",
                                   "150 request 1 model small", "160 grant a1 1 ms=100",
                                   "170 down a1", "180 open a1", "190 request 2 model small"},
                                  nullptr);
        CPPUNIT_ASSERT_EQUAL(1, countLines(lines, "start work"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMechanismTest);

} // namespace Nutmegrill
