#include "Relay/RelayLog.h"
#include "Relay/StopAdmission.h"
#include "RelayNodeHarness.h"
#include "RouteFixture.h"

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
    CPPUNIT_TEST(nonIdempotentRequestIsNotRepeatedAfterABrokenConnection);
    CPPUNIT_TEST(nonIdempotentRequestThatWasNotRunIsRepeated);
    CPPUNIT_TEST(unsentRequestIsRefusedAsNotRun);
    CPPUNIT_TEST(unknownOutcomeIsNotReportedAsNotRun);
    CPPUNIT_TEST(brokenStreamIsResumedElsewhere);
    CPPUNIT_TEST(streamThatCannotBeResumedIsAborted);
    CPPUNIT_TEST(errorAnswerIsRelayedWhenTheRetryFails);
    CPPUNIT_TEST(errorAnswerThatBreaksOffLeavesTheCallerWithoutAnswer);
    CPPUNIT_TEST(errorAnswerOfAnEarlierAttemptIsKeptForEver);
    CPPUNIT_TEST(silentStreamIsResumedElsewhere);
    CPPUNIT_TEST(silentGroupKeepsItsStreams);
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
    CPPUNIT_TEST(streamIsRefusedShortlyBeforeAPlannedStop);
    CPPUNIT_TEST(callIsRefusedShortlyBeforeAPlannedStop);
    CPPUNIT_TEST(requestThatMayOutliveTheProcessIsTakenInAPlannedStop);
    CPPUNIT_TEST(openRequestGetsNoAnswerAtTheEndOfAPlannedStop);
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

    // Guards against a non-idempotent request that is executed twice.
    void nonIdempotentRequestIsNotRepeatedAfterABrokenConnection()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/record/");
        scene.fail(caller, AttemptFailure::Broken);
        scene.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.attemptsOf(caller));
        CPPUNIT_ASSERT_EQUAL(502, scene.refusalOf(caller)->status);
    }

    void nonIdempotentRequestThatWasNotRunIsRepeated()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/record/");
        scene.reject(caller);
        scene.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        // The second attempt may have run, so there is no third one.
        scene.fail(caller, AttemptFailure::Broken);
        scene.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        CPPUNIT_ASSERT_EQUAL(502, scene.refusalOf(caller)->status);
    }

    void unsentRequestIsRefusedAsNotRun()
    {
        RelayNodeHarness scene(0, 0);
        const auto caller = scene.arrive("/record/");
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(caller)->status);
        CPPUNIT_ASSERT(scene.refusalOf(caller)->retryAfter.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.attemptsOf(caller));
    }

    // Guards against 503, which guarantees that a request was not run, when a backend server did
    // not answer and may have run it.
    void unknownOutcomeIsNotReportedAsNotRun()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/record/");
        scene.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(504, scene.refusalOf(caller)->status);
    }

    // Guards against missing and repeated events in a stream that is resumed after a broken
    // connection.
    void brokenStreamIsResumedElsewhere()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/stream/");
        const std::string first = scene.attemptOf(caller)->backend;
        scene.streamHead(caller);
        scene.event(caller, 1);
        scene.event(caller, 2);
        scene.fail(caller, AttemptFailure::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        CPPUNIT_ASSERT(scene.attemptOf(caller)->backend != first);
        CPPUNIT_ASSERT(scene.attemptOf(caller)->lastEvent == std::uint64_t(2));
        scene.streamHead(caller);
        scene.event(caller, 2);
        scene.event(caller, 3);
        scene.end(caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::OpenStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), scene.count<RelayCommand::SendEvent>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::EndStream>());
    }

    // Guards against an incomplete stream that is ended as complete.
    void streamThatCannotBeResumedIsAborted()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/stream/");
        for (int run = 0; run < 2; ++run) {
            scene.streamHead(caller);
            scene.event(caller, static_cast<std::uint64_t>(run) + 1);
            scene.fail(caller, AttemptFailure::Broken);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.count<RelayCommand::EndStream>());
    }

    void errorAnswerIsRelayedWhenTheRetryFails()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/lookup/");
        scene.head(caller, 500);
        scene.end(caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        const auto second = scene.attemptOf(caller)->attempt;
        scene.head(caller, 500);
        scene.end(caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::RelayAnswer>());
        for (const auto &command : scene.commands) {
            if (const auto *relayed = std::get_if<RelayCommand::RelayAnswer>(&command))
                CPPUNIT_ASSERT_EQUAL(second, relayed->attempt);
        }
    }

    // Guards against a request that is never answered: the head of an error answer arrives, the
    // rest does not, the attempt is given up as silent, and no other one succeeds.
    void errorAnswerThatBreaksOffLeavesTheCallerWithoutAnswer()
    {
        for (const std::uint32_t servers : {1U, 2U}) {
            RelayNodeHarness scene(0, servers);
            const auto caller = scene.arrive("/lookup/");
            scene.head(caller, 500);
            scene.advance(milliseconds(700));
            CPPUNIT_ASSERT_EQUAL(std::size_t(servers), scene.attemptsOf(caller));
            if (servers > 1)
                scene.fail(caller, AttemptFailure::Broken);
            scene.advance(milliseconds(1500));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.count<RelayCommand::RelayAnswer>());
            CPPUNIT_ASSERT(scene.refusalOf(caller) != nullptr);
            CPPUNIT_ASSERT(scene.refusalOf(caller)->status == 502
                           || scene.refusalOf(caller)->status == 504);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.node.openRequests());
        }
    }

    // Guards against the memory of the first of two error answers, of which one is relayed.
    void errorAnswerOfAnEarlierAttemptIsKeptForEver()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/lookup/");
        const auto first = scene.attemptOf(caller)->attempt;
        for (int attempt = 0; attempt < 2; ++attempt) {
            scene.head(caller, 500);
            scene.end(caller);
        }
        const auto isRelease = [first](const RelayCommand::Any &command) {
            const auto *cancelled = std::get_if<RelayCommand::CancelAttempt>(&command);
            return cancelled != nullptr && cancelled->attempt == first;
        };
        CPPUNIT_ASSERT(std::any_of(scene.commands.begin(), scene.commands.end(), isRelease));
    }

    // One backend server accepts requests but sends no event, while the others do.
    void silentStreamIsResumedElsewhere()
    {
        RelayNodeHarness scene;
        const auto silent = scene.arrive("/stream/");
        const auto other = scene.arrive("/stream/");
        scene.streamHead(other);
        for (std::uint64_t id = 1; id < 20; ++id) {
            scene.event(other, id);
            scene.advance(milliseconds(80));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(silent));
    }

    // All ranks of a group stall together; retries at other ranks would multiply the load.
    void silentGroupKeepsItsStreams()
    {
        RelayNodeHarness scene;
        const auto caller = scene.arrive("/stream/");
        scene.advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.attemptsOf(caller));
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

    // Guards against a stream that is accepted during a planned stop and aborted when the process
    // ends; this was observed for a stream that began 4.5 s after SIGTERM.
    void streamIsRefusedShortlyBeforeAPlannedStop()
    {
        RelayNodeHarness scene;
        scene.node.beginStop(scene.now + milliseconds(7680));
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/stream/")) != nullptr);
        scene.advance(milliseconds(4400));
        const auto late = scene.arrive("/stream/");
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(late)->status);
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/record/")) != nullptr);
    }

    // Guards against requests that are taken late in the grace time and cut off at its end. Those
    // that may not be repeated have no other chance.
    void callIsRefusedShortlyBeforeAPlannedStop()
    {
        RelayNodeHarness scene;
        scene.node.beginStop(StopAdmission::phasesOf(scene.now, seconds(8)).exitAt);
        scene.advance(milliseconds(6600));
        CPPUNIT_ASSERT(scene.attemptOf(scene.arrive("/record/")) != nullptr);
        scene.advance(milliseconds(160));
        // The route's timeout of 800 ms ends after the process.
        const auto record = scene.arrive("/record/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.attemptsOf(record));
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(record)->status);
        scene.advance(milliseconds(500));
        const auto lookup = scene.arrive("/lookup/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.attemptsOf(lookup));
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(lookup)->status);
        // The callers of requests that were taken have their answers or deadlines by the end.
        scene.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.node.openRequests());
    }

    // Guards against requests of any kind that are taken in a planned stop, because requests
    // usually are short, and cut off at its end. Only a resumable stream goes on at another entry.
    void requestThatMayOutliveTheProcessIsTakenInAPlannedStop()
    {
        RelayNodeHarness scene;
        auto longer = std::make_shared<Configuration>(*scene.node.configuration());
        longer->version = 2;
        for (Route &route : longer->routes)
            route.timeout = milliseconds(8000);
        longer->routes.push_back(makeRoute("/once/", Route::Kind::Stream, "model"));
        longer->routes.back().isResumable = false;
        scene.node.configure(longer, scene.commands);
        scene.node.beginStop(scene.now + milliseconds(5150));
        RelayCommand::CallerId caller = 1000;
        for (const std::string path : {"/lookup/", "/record/", "/once/", "/stream/"}) {
            RelayRequest request;
            request.id = path;
            request.host = "host.example";
            request.path = path;
            request.key = "key-1";
            request.timeLeft = milliseconds(5000);
            scene.node.requestArrived(scene.now, ++caller, request, scene.commands);
            const bool isResumable = path == "/stream/";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, isResumable, scene.attemptOf(caller) != nullptr);
            if (!isResumable)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, scene.refusalOf(caller)->status);
        }
    }

    // Guards against connections that close without an answer when the process ends: what runs has
    // an unknown outcome, and what waits has not run.
    void openRequestGetsNoAnswerAtTheEndOfAPlannedStop()
    {
        RelayNodeHarness scene(0, 1);
        std::vector<RelayCommand::CallerId> callers;
        while (callers.empty() || scene.attemptOf(callers.back()) != nullptr)
            callers.push_back(scene.arrive("/lookup/"));
        CPPUNIT_ASSERT(scene.refusalOf(callers.back()) == nullptr);
        scene.node.endOpenRequests(scene.now, scene.commands);
        CPPUNIT_ASSERT_EQUAL(502, scene.refusalOf(callers.front())->status);
        CPPUNIT_ASSERT_EQUAL(503, scene.refusalOf(callers.back())->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.node.openRequests());
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
