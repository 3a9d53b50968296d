#include "RelayNodeHarness.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

/// Requests whose attempts fail, break off or fall silent.
class RelayNodeFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayNodeFailureTest);
    CPPUNIT_TEST(nonIdempotentRequestIsNotRepeatedAfterABrokenConnection);
    CPPUNIT_TEST(nonIdempotentRequestThatWasNotRunIsRepeated);
    CPPUNIT_TEST(rejectionThatBreaksOffIsTakenForNotRun);
    CPPUNIT_TEST(unsentRequestIsRefusedAsNotRun);
    CPPUNIT_TEST(unknownOutcomeIsNotReportedAsNotRun);
    CPPUNIT_TEST(brokenStreamIsResumedElsewhere);
    CPPUNIT_TEST(streamThatCannotBeResumedIsAborted);
    CPPUNIT_TEST(errorAnswerIsRelayedWhenTheRetryFails);
    CPPUNIT_TEST(errorAnswerThatBreaksOffLeavesTheCallerWithoutAnswer);
    CPPUNIT_TEST(errorAnswerOfAnEarlierAttemptIsKeptForEver);
    CPPUNIT_TEST(silentStreamIsResumedElsewhere);
    CPPUNIT_TEST(silentGroupKeepsItsStreams);
    CPPUNIT_TEST_SUITE_END();

public:
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

    // Guards against a request that runs twice, or is answered as not run, because the rejection of
    // a backend server counts although it broke off.
    void rejectionThatBreaksOffIsTakenForNotRun()
    {
        RelayNodeHarness scene;
        const auto record = scene.arrive("/record/");
        scene.head(record, 503, true);
        scene.fail(record, AttemptFailure::Broken);
        scene.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.attemptsOf(record));
        CPPUNIT_ASSERT_EQUAL(502, scene.refusalOf(record)->status);
        // A request that may run again does, and the answer does not promise that it has not run.
        const auto lookup = scene.arrive("/lookup/");
        for (int run = 0; run < 2; ++run) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(run) + 1, scene.attemptsOf(lookup));
            scene.head(lookup, 503, true);
            scene.fail(lookup, AttemptFailure::Broken);
        }
        scene.advance(seconds(2));
        CPPUNIT_ASSERT(scene.refusalOf(lookup) != nullptr);
        CPPUNIT_ASSERT(scene.refusalOf(lookup)->status == 502
                       || scene.refusalOf(lookup)->status == 504);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayNodeFailureTest);

} // namespace Nutmegrill
