#include "Relay/RelayLog.h"
#include "RelayNodeHarness.h"

#include <chrono>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Report of another entry with a limit of the first plain server.
EntryReport reportWithLimit(std::uint64_t sequence, std::optional<double> limit)
{
    EntryReport report;
    report.peerAddress = "10.0.1.1:7000";
    report.sequence = sequence;
    report.limits = {{"p0/0", limit, milliseconds(0)}};
    return report;
}

/// Lets requests arrive and returns how many of them were sent.
std::size_t sentOf(RelayNodeHarness &scene, int requests)
{
    std::size_t sent = 0;
    for (int number = 0; number < requests; ++number)
        sent += scene.attemptOf(scene.arrive("/lookup/")) == nullptr ? 0 : 1;
    return sent;
}

} // namespace

class RelayNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayNodeTest);
    CPPUNIT_TEST(requestGoesToItsServiceWithItsAccount);
    CPPUNIT_TEST(unknownPathAndKeyAreRefused);
    CPPUNIT_TEST(entryWithoutConfigurationAnswers503);
    CPPUNIT_TEST(olderConfigurationIsNotTaken);
    CPPUNIT_TEST(routeTimeoutEndsTheRequest);
    CPPUNIT_TEST(disconnectedCallerFreesItsSlot);
    CPPUNIT_TEST(drainingServerGetsNoRequests);
    CPPUNIT_TEST(takenOutDomainGetsNoRequests);
    CPPUNIT_TEST(coldRateIsSharedBetweenEntries);
    CPPUNIT_TEST(failedAnswerClearsACrashRecord);
    CPPUNIT_TEST(limitNamedToAnotherEntryIsIgnored);
    CPPUNIT_TEST(limitOutlivesItsServerOrItsEnd);
    CPPUNIT_TEST(limitsOfManyServersHideEachOther);
    CPPUNIT_TEST(requestsWaitForServersBeyondTheirLimits);
    CPPUNIT_TEST(openCircuitLimitsRepeats);
    CPPUNIT_TEST(excessRequestsAreRefusedAtOnce);
    CPPUNIT_TEST(smallAccountIsServedBesideALargeOne);
    CPPUNIT_TEST(failedRequestsAreTraceableInTheLog);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestGoesToItsServiceWithItsAccount()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/record/7", "key-2");
        const auto *start = scene.attemptOf(caller);
        CPPUNIT_ASSERT(start != nullptr);
        CPPUNIT_ASSERT_EQUAL('p', start->backend.front());
        CPPUNIT_ASSERT_EQUAL(std::string("account-2"), start->account);
        // The route's timeout is shorter than the caller's deadline.
        CPPUNIT_ASSERT_EQUAL(milliseconds(800).count(), start->timeLeft.count());
    }

    void unknownPathAndKeyAreRefused()
    {
        RelayNodeHarness scene;
        CPPUNIT_ASSERT_EQUAL(404, scene.refusalOf(scene.arrive("/none/"))->status);
        CPPUNIT_ASSERT_EQUAL(401, scene.refusalOf(scene.arrive("/record/", "key-9"))->status);
    }

    // Guards against 404 and 401 from an entry without a configuration.
    void entryWithoutConfigurationAnswers503()
    {
        RelayNode node({});
        RelayNode::Commands commands;
        node.requestArrived(Instant(), 1, {}, commands);
        CPPUNIT_ASSERT_EQUAL(503, std::get<RelayCommand::Refuse>(commands.front()).status);
    }

    void olderConfigurationIsNotTaken()
    {
        RelayNodeHarness scene;
        auto older = std::make_shared<Configuration>();
        older->version = 1;
        scene.node.configure(older, scene.commands);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), scene.node.configuration()->routes.size());
    }

    void routeTimeoutEndsTheRequest()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/stream/");
        scene.streamHead(caller);
        scene.advance(milliseconds(7900));
        CPPUNIT_ASSERT(scene.refusalOf(caller) == nullptr);
        scene.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(504, scene.refusalOf(caller)->status);
    }

    // Guards against a backend server that continues to work after the caller has disconnected.
    void disconnectedCallerFreesItsSlot()
    {
        RelayNodeHarness scene(1, 0);
        const auto caller = scene.arrive("/stream/");
        scene.node.callerDisconnected(scene.now, caller, scene.commands);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::CancelAttempt>());
        EntryReport report;
        scene.node.fillReport(scene.now, report);
        CPPUNIT_ASSERT(report.running.empty());
    }

    void drainingServerGetsNoRequests()
    {
        RelayNodeHarness scene(2, 0);
        BackendRecord leaving = RelayNodeHarness::record("m0", "model");
        leaving.isLeaving = true;
        scene.node.roster().update(scene.now, leaving);
        for (int number = 0; number < 8; ++number)
            CPPUNIT_ASSERT_EQUAL(std::string("m1"),
                                 scene.attemptOf(scene.arrive("/stream/"))->backend);
    }

    void takenOutDomainGetsNoRequests()
    {
        RelayNodeHarness scene(2, 0);
        scene.node.roster().setTakenOutDomains({"north"});
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(scene.arrive("/stream/"))->status);
        scene.node.roster().setTakenOutDomains({});
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/stream/")) != nullptr);
    }

    // Guards against several entries that together overload a backend server in its warm-up.
    void coldRateIsSharedBetweenEntries()
    {
        RelayNodeHarness scene(1, 0);
        BackendRecord wide = RelayNodeHarness::record("m0", "model");
        wide.slots = 1000;
        scene.node.roster().update(scene.now, wide);
        for (std::uint32_t other = 1; other < 6; ++other) {
            EntryReport report;
            report.sequence = 1;
            report.peerAddress = "10.0.1." + std::to_string(other) + ":7000";
            scene.node.reportArrived(scene.now, report, scene.commands);
        }
        std::size_t sent = 0;
        for (int number = 0; number < 50; ++number)
            sent += scene.attemptOf(scene.arrive("/stream/")) != nullptr ? 1 : 0;
        CPPUNIT_ASSERT(sent >= 1);
        CPPUNIT_ASSERT(6 * sent <= 26);
    }

    // A group that has lost a rank rejects everything until it has formed again. Guards against
    // repeats that use up the retry budget and against requests that wait without limit.
    // Only a successful answer shows that a request does not crash its server.
    void failedAnswerClearsACrashRecord()
    {
        RelayNodeHarness scene(0, 3);
        for (const char server : {'a', 'b'}) {
            const auto caller = scene.arrive("/record/");
            const auto &start = *scene.attemptOf(caller);
            const std::string incarnation = start.backend + "/0";
            scene.fail(caller, AttemptFailure::Broken);
            scene.node.backendChecked(scene.now, incarnation, BackendCheck::Refused,
                                      scene.commands);
            scene.advance(seconds(1));
            if (server == 'b')
                break;
            const auto failed = scene.arrive("/record/");
            scene.head(failed, 500);
            scene.end(failed);
        }
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/record/")) == nullptr);
        const auto other = scene.arrive("/record/", "key-2");
        CPPUNIT_ASSERT(scene.attemptOf(other) != nullptr);
    }

    // The limit holds over all entries, also those that have no answer with it yet.
    void limitNamedToAnotherEntryIsIgnored()
    {
        RelayNodeHarness scene(0, 1);
        EntryReport report = reportWithLimit(1, 0.5);
        scene.node.reportArrived(scene.now, report, scene.commands);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sentOf(scene, 4));
        // Two entries share two requests in four seconds.
        scene.advance(milliseconds(4100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sentOf(scene, 4));
        scene.advance(seconds(1));
        // An answer that the other entry got later states that the limit has ended.
        report = reportWithLimit(2, std::nullopt);
        scene.node.reportArrived(scene.now, report, scene.commands);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), sentOf(scene, 4));
        EntryReport own;
        scene.node.fillReport(scene.now, own);
        CPPUNIT_ASSERT(own.limits.empty());
    }

    void limitOutlivesItsServerOrItsEnd()
    {
        RelayNodeHarness scene(0, 1);
        const auto early = scene.arrive("/lookup/");
        const auto limited = scene.arrive("/lookup/");
        scene.advance(milliseconds(20));
        scene.limitedHead(limited, 0.5);
        EntryReport report;
        scene.node.fillReport(scene.now, report);
        CPPUNIT_ASSERT(report.limits.size() == 1 && report.limits[0].requestsPerSecond == 0.5);
        // An answer to an earlier request may have been written before the limit.
        scene.head(early, 200);
        scene.advance(milliseconds(4100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sentOf(scene, 4));
        scene.advance(milliseconds(4100));
        const auto later = scene.arrive("/lookup/");
        scene.head(later, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sentOf(scene, 3));
        // The next start of the server has no limit.
        scene.advance(milliseconds(4100));
        const auto again = scene.arrive("/lookup/");
        scene.limitedHead(again, 0.5);
        BackendRecord restarted = RelayNodeHarness::record("p0", "plain");
        restarted.incarnation = 9;
        scene.node.roster().update(scene.now, restarted);
        scene.node.reportArrived(scene.now, reportWithLimit(1, 0.5), scene.commands);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sentOf(scene, 3));
    }

    // Servers of the size to design for, far more than a report has room for.
    void limitsOfManyServersHideEachOther()
    {
        constexpr std::uint32_t Servers = 600;
        RelayNodeHarness scene(0, Servers);
        for (std::uint32_t number = 0; number < Servers; ++number) {
            const auto caller = scene.arrive("/lookup/");
            scene.limitedHead(caller, 0.5);
        }
        std::set<std::string> reported;
        for (int round = 0; round < 40; ++round) {
            EntryReport report;
            scene.node.fillReport(scene.now, report);
            CPPUNIT_ASSERT(report.limits.size() <= 16);
            for (const EntryReport::Limit &limit : report.limits)
                reported.insert(limit.incarnation);
            scene.now += milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(Servers), reported.size());
    }

    // What the limits leave no room for is refused at once.
    void requestsWaitForServersBeyondTheirLimits()
    {
        RelayNodeHarness scene(0, 1);
        const auto first = scene.arrive("/lookup/");
        scene.limitedHead(first, 0.5);
        scene.end(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sentOf(scene, 30));
        scene.advance(milliseconds(100));
        CPPUNIT_ASSERT(scene.count<RelayCommand::Refuse>() >= 20);
    }

    void openCircuitLimitsRepeats()
    {
        RelayNodeHarness scene(12, 0);
        std::size_t sends = 0;
        std::set<RelayCommand::CallerId> callers;
        for (int tick = 0; tick < 125; ++tick) {
            callers.insert(scene.arrive("/stream/"));
            scene.advance(milliseconds(20));
            for (const auto caller : callers) {
                const std::size_t before = scene.attemptsOf(caller);
                if (before > sends)
                    sends = before;
                EntryReport report;
                scene.node.fillReport(scene.now, report);
                if (scene.attemptOf(caller) != nullptr && !report.running.empty()
                    && report.running.count(scene.attemptOf(caller)->backend) != 0)
                    scene.reject(caller);
            }
        }
        std::size_t attempts = scene.count<RelayCommand::StartAttempt>();
        // 50 requests a second for 2.5 s; without the circuit breaker each is sent up to four
        // times.
        CPPUNIT_ASSERT(attempts < 75);
        // The requests of the first second have waited as long as callers do.
        CPPUNIT_ASSERT(scene.count<RelayCommand::Refuse>() >= 40);
    }

    // Many more simultaneous requests than slots: those that cannot get a slot in time are refused
    // at once, with different Retry-After times.
    void excessRequestsAreRefusedAtOnce()
    {
        RelayNodeHarness scene(1, 0);
        std::set<std::int64_t> pauses;
        std::size_t refused = 0;
        for (int number = 0; number < 200; ++number) {
            if (const auto *refusal = scene.refusalOf(scene.arrive("/stream/"))) {
                ++refused;
                CPPUNIT_ASSERT_EQUAL(503, refusal->status);
                pauses.insert(refusal->retryAfter->count());
            }
        }
        CPPUNIT_ASSERT(refused > 150);
        CPPUNIT_ASSERT(pauses.size() > refused / 2);
    }

    // One account has a backlog while another one sends a single request.
    void smallAccountIsServedBesideALargeOne()
    {
        RelayNodeHarness scene(1, 0);
        std::vector<RelayCommand::CallerId> large;
        large.reserve(20);
        for (int number = 0; number < 20; ++number)
            large.push_back(scene.arrive("/stream/", "key-1"));
        const auto small = scene.arrive("/stream/", "key-2");
        CPPUNIT_ASSERT(scene.attemptOf(small) == nullptr);
        CPPUNIT_ASSERT(scene.refusalOf(small) == nullptr);
        scene.streamHead(large.front());
        scene.event(large.front(), 1);
        scene.end(large.front());
        CPPUNIT_ASSERT(scene.attemptOf(small) != nullptr);
    }

    // The log lines exist by which docs/OPERATIONS.md traces a request id to the cause of a
    // failure.
    void failedRequestsAreTraceableInTheLog()
    {
        RelayNodeHarness full(1, 1);
        RelayCommand::CallerId refused = 0;
        for (int number = 0; number < 60; ++number)
            refused = full.arrive("/stream/");
        const auto refusal = this->linesOf(full, refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refusal.size());
        CPPUNIT_ASSERT_EQUAL(RelayLog::Refused, refusal.front().number);
        CPPUNIT_ASSERT(refusal.front().text.find("no place in time") != std::string::npos);
        CPPUNIT_ASSERT(refusal.front().text.find("sends 0") != std::string::npos);

        RelayNodeHarness scene;
        const auto cut = scene.arrive("/stream/");
        for (int run = 0; run < 2; ++run) {
            scene.streamHead(cut);
            scene.event(cut, static_cast<std::uint64_t>(run) + 1);
            scene.fail(cut, AttemptFailure::Broken);
        }
        std::vector<std::uint32_t> numbers;
        for (const LogRecord &line : this->linesOf(scene, cut))
            numbers.push_back(line.number);
        CPPUNIT_ASSERT(
                (numbers
                 == std::vector<std::uint32_t>{RelayLog::AttemptStarted, RelayLog::AttemptFailed,
                                               RelayLog::AttemptStarted, RelayLog::AttemptFailed,
                                               RelayLog::StreamCut}));

        const auto unknown = scene.arrive("/record/");
        scene.advance(std::chrono::seconds(1));
        const auto lines = this->linesOf(scene, unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        CPPUNIT_ASSERT(lines.front().text.find("backend=p") != std::string::npos);
        CPPUNIT_ASSERT(lines.back().text.find("status=504") != std::string::npos);
        CPPUNIT_ASSERT(lines.back().text.find("runs 1") != std::string::npos);
    }

private:
    std::vector<LogRecord> linesOf(const RelayNodeHarness &scene,
                                   RelayCommand::CallerId caller) const
    {
        std::vector<LogRecord> lines;
        const std::string id = "request=request-" + std::to_string(caller) + " ";
        for (const auto &command : scene.commands) {
            if (const auto *log = std::get_if<RelayCommand::Log>(&command);
                log != nullptr && log->record.text.find(id) != std::string::npos)
                lines.push_back(log->record);
        }
        return lines;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayNodeTest);

} // namespace Nutmegrill
