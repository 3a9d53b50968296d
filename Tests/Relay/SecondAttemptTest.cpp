#include "HedgeScene.h"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using Outcomes = std::map<std::string, int>;

} // namespace

/// Requests that get a second attempt while the first one is late, and those that do not.
class SecondAttemptTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SecondAttemptTest);
    CPPUNIT_TEST(lateRequestGetsOneSecondAttempt);
    CPPUNIT_TEST(noneWithoutTheSettingOrSamples);
    CPPUNIT_TEST(firstEventDecides);
    CPPUNIT_TEST(successfulHeadDecides);
    CPPUNIT_TEST(otherAttemptGoesOnAfterAFailure);
    CPPUNIT_TEST(errorAnswerIsRelayedWhenBothFail);
    CPPUNIT_TEST(bothEndWithTheCaller);
    CPPUNIT_TEST(heldBackWithAReason);
    CPPUNIT_TEST(suspectGetsNone);
    CPPUNIT_TEST(emptyStreamIsAnAnswer);
    CPPUNIT_TEST(stalledGroupGetsNone);
    CPPUNIT_TEST(budgetsLimitSecondAttempts);
    CPPUNIT_TEST(cancelledAttemptsKeepTheQuantile);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second attempt that starts early, at the same backend server, or again and
    // again while both attempts are late.
    void lateRequestGetsOneSecondAttempt()
    {
        for (const std::string path : {"/stream/", "/lookup/"}) {
            HedgeScene scene;
            const auto caller = scene.arrive(path);
            scene.advance(milliseconds(20));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.attemptsOf(caller));
            scene.advance(milliseconds(40));
            const auto ids = scene.attemptIds(caller);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), ids.size());
            CPPUNIT_ASSERT(scene.backendOf(ids[0]) != scene.backendOf(ids[1]));
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), scene.usedSlots());
            scene.advance(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
            CPPUNIT_ASSERT(scene.outcomes() == (Outcomes{{"started", 1}}));
        }
    }

    void noneWithoutTheSettingOrSamples()
    {
        HedgeScene off(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), off.attemptsOf(off.arriveLate("/stream/")));
        RelayNodeHarness fresh;
        fresh.node.setHedgeRatio(1);
        const auto caller = fresh.arrive("/stream/");
        fresh.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fresh.attemptsOf(caller));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fresh.count<RelayCommand::CountSecondAttempt>());
    }

    // Guards against events of two runs in one stream, and against the slot of the slower attempt
    // staying taken.
    void firstEventDecides()
    {
        for (const std::size_t winner : {0U, 1U}) {
            HedgeScene scene;
            const auto caller = scene.arriveLate("/stream/");
            const auto ids = scene.attemptIds(caller);
            for (const auto id : ids)
                scene.headOf(id, 200, true);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), scene.usedSlots());
            scene.eventOf(ids[winner], 1);
            CPPUNIT_ASSERT(scene.isCancelled(ids[1 - winner]));
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), scene.usedSlots());
            scene.eventOf(ids[1 - winner], 1);
            scene.eventOf(ids[1 - winner], 2);
            scene.endOf(ids[1 - winner]);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::SendEvent>());
            scene.endOf(ids[winner]);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::EndStream>());
            CPPUNIT_ASSERT(!scene.isCancelled(ids[winner]));
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), scene.usedSlots());
            CPPUNIT_ASSERT(scene.outcomes()
                           == (Outcomes{{"started", 1}, {winner == 1 ? "won" : "cancelled", 1}}));
        }
    }

    void successfulHeadDecides()
    {
        HedgeScene scene;
        const auto caller = scene.arriveLate("/lookup/");
        const auto ids = scene.attemptIds(caller);
        scene.headOf(ids[0], 500, false);
        CPPUNIT_ASSERT(!scene.isCancelled(ids[0]) && !scene.isCancelled(ids[1]));
        scene.headOf(ids[1], 200, false);
        CPPUNIT_ASSERT(scene.isCancelled(ids[0]));
        scene.endOf(ids[1]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::RelayAnswer>());
        CPPUNIT_ASSERT(scene.outcomes() == (Outcomes{{"started", 1}, {"won", 1}}));
    }

    // Guards against a retry, or the end of the request, while one of its attempts still runs.
    void otherAttemptGoesOnAfterAFailure()
    {
        for (const std::size_t failing : {0U, 1U}) {
            HedgeScene scene;
            const auto caller = scene.arriveLate("/stream/");
            const auto ids = scene.attemptIds(caller);
            scene.failOf(ids[failing], AttemptFailure::Broken);
            scene.advance(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), scene.usedSlots());
            scene.headOf(ids[1 - failing], 200, true);
            scene.eventOf(ids[1 - failing], 1);
            scene.endOf(ids[1 - failing]);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::EndStream>());
            CPPUNIT_ASSERT_EQUAL(1, scene.outcomes()[failing == 0 ? "alone" : "failed"]);
        }
    }

    // Guards against a lost error answer, and the memory of the one that is not relayed.
    void errorAnswerIsRelayedWhenBothFail()
    {
        HedgeScene scene;
        const auto caller = scene.arriveLate("/lookup/");
        const auto ids = scene.attemptIds(caller);
        for (const auto id : ids) {
            scene.headOf(id, 500, false);
            scene.endOf(id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scene.attemptsOf(caller));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::RelayAnswer>());
        CPPUNIT_ASSERT(scene.isCancelled(ids[0]));
    }

    void bothEndWithTheCaller()
    {
        HedgeScene scene;
        const auto caller = scene.arriveLate("/stream/");
        scene.node.callerDisconnected(scene.now, caller, scene.commands);
        for (const auto id : scene.attemptIds(caller))
            CPPUNIT_ASSERT(scene.isCancelled(id));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), scene.usedSlots());
    }

    // Each case would start a second attempt without the condition that it sets up.
    void heldBackWithAReason()
    {
        struct Case
        {
            const char *reason;
            const char *path;
            std::function<void(HedgeScene &)> prepare;
        };
        const Case cases[] = {
                {"runs_once", "/record/", [](HedgeScene &scene) { scene.serve("/record/", 100); }},
                {"planned_stop", "/stream/",
                 [](HedgeScene &scene) {
                     scene.node.beginStop(scene.now + std::chrono::seconds(20));
                 }},
                {"saturated", "/stream/",
                 [](HedgeScene &scene) {
                     for (int number = 0; number < 33; ++number) {
                         const auto caller = scene.arrive("/stream/");
                         scene.now += milliseconds(1);
                         scene.streamHead(caller);
                         scene.event(caller, 1);
                     }
                 }},
                {"no_server", "/lookup/",
                 [](HedgeScene &scene) { scene.node.roster().remove(scene.now, "p0"); }},
        };
        for (const auto &[reason, path, prepare] : cases) {
            HedgeScene scene;
            prepare(scene);
            const auto caller = scene.arriveLate(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reason, std::size_t(1), scene.attemptsOf(caller));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reason, 1, scene.outcomes()[reason]);
        }
    }

    // Guards against a request that takes two backend servers down at once.
    void suspectGetsNone()
    {
        HedgeScene scene;
        RelayRequest request;
        request.host = "host.example";
        request.path = "/stream/";
        request.key = "key-1";
        request.sharedParts = {"part"};
        constexpr RelayCommand::CallerId Breaking = 1001;
        constexpr RelayCommand::CallerId Late = 1002;
        scene.node.requestArrived(scene.now, Breaking, request, scene.commands);
        scene.fail(Breaking, AttemptFailure::Broken);
        scene.node.requestArrived(scene.now, Late, request, scene.commands);
        scene.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.attemptsOf(Late));
        CPPUNIT_ASSERT_EQUAL(1, scene.outcomes()["suspect"]);
    }

    // Guards against a caller that waits for the slower attempt after the end of the answer.
    void emptyStreamIsAnAnswer()
    {
        HedgeScene scene;
        const auto ids = scene.attemptIds(scene.arriveLate("/stream/"));
        scene.headOf(ids[1], 200, true);
        scene.endOf(ids[1]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scene.count<RelayCommand::RelayAnswer>());
        CPPUNIT_ASSERT(scene.isCancelled(ids[0]));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), scene.usedSlots());
    }

    // Guards against second attempts that wait in a group which has stopped to answer.
    void stalledGroupGetsNone()
    {
        for (const bool isStalled : {false, true}) {
            HedgeScene scene;
            for (const auto &[id, group] : {std::pair("m0", "g0"), {"m1", "g1"}, {"m2", "g1"}})
                scene.node.groupArrived(scene.now,
                                        {RelayNodeHarness::record(id, "model").address, group});
            scene.node.setHedgeRatio(0);
            // One request holds a slot of each backend server.
            std::array<RelayCommand::CallerId, 3> open{};
            for (auto &caller : open)
                caller = scene.arrive("/stream/");
            scene.advance(milliseconds(700));
            for (const auto caller : open) {
                if (!isStalled || scene.attemptOf(caller)->backend == "m0") {
                    scene.streamHead(caller);
                    scene.event(caller, 1);
                }
            }
            scene.node.setHedgeRatio(1);
            const auto caller = scene.arrive("/stream/");
            CPPUNIT_ASSERT(!isStalled || scene.attemptOf(caller)->backend == "m0");
            scene.advance(milliseconds(60));
            CPPUNIT_ASSERT_EQUAL(std::size_t(isStalled ? 1 : 2), scene.attemptsOf(caller));
            CPPUNIT_ASSERT(!isStalled || scene.outcomes()["no_server"] > 0);
        }
    }

    // Guards against second attempts beyond the share that the operator set, and beyond the budget
    // that they share with retries.
    void budgetsLimitSecondAttempts()
    {
        HedgeScene few(0.05);
        HedgeScene noRetries;
        noRetries.node.setRetryLimit({0, 0});
        for (int number = 0; number < 20; ++number) {
            for (HedgeScene *scene : {&few, &noRetries}) {
                const auto caller = scene->arriveLate("/stream/");
                scene->node.callerDisconnected(scene->now, caller, scene->commands);
            }
        }
        // 0.7 of 5% of 120 requests.
        CPPUNIT_ASSERT_EQUAL(4, few.outcomes()["started"]);
        CPPUNIT_ASSERT_EQUAL(16, few.outcomes()["hedge_budget"]);
        CPPUNIT_ASSERT_EQUAL(0, noRetries.outcomes()["started"]);
        CPPUNIT_ASSERT_EQUAL(20, noRetries.outcomes()["retry_budget"]);
    }

    // Guards against a threshold that sinks with each second attempt, because only the fast ones
    // of two attempts count: a tenth of the requests would then be late for ever.
    void cancelledAttemptsKeepTheQuantile()
    {
        HedgeScene scene;
        for (int number = 0; number < 30; ++number) {
            const auto caller = scene.arriveLate("/stream/");
            const auto ids = scene.attemptIds(caller);
            if (ids.size() < 2)
                break;
            scene.headOf(ids[1], 200, true);
            scene.eventOf(ids[1], 1);
            scene.endOf(ids[1]);
        }
        CPPUNIT_ASSERT(scene.outcomes()["started"] > 0);
        CPPUNIT_ASSERT(scene.outcomes()["started"] < 15);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptTest);

} // namespace Nutmegrill
