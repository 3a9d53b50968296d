#include "Relay/StopAdmission.h"
#include "RelayNodeHarness.h"
#include "RouteFixture.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

/// Requests that arrive while an entry stops by plan.
class RelayNodeStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayNodeStopTest);
    CPPUNIT_TEST(streamIsRefusedShortlyBeforeAPlannedStop);
    CPPUNIT_TEST(callIsRefusedShortlyBeforeAPlannedStop);
    CPPUNIT_TEST(requestThatMayOutliveTheProcessIsTakenInAPlannedStop);
    CPPUNIT_TEST(openRequestGetsNoAnswerAtTheEndOfAPlannedStop);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayNodeStopTest);

} // namespace Nutmegrill
