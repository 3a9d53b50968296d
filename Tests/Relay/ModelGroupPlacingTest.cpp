#include "RelayNodeHarness.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t RanksOfGroup = 4;

} // namespace

/// Two model groups of one service at an entry: what happens to one of them does not affect the
/// requests that the other one would serve.
class ModelGroupPlacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ModelGroupPlacingTest);
    CPPUNIT_TEST(brokenGroupDrawsNoRequests);
    CPPUNIT_TEST(requestsWaitWhileAllGroupsAreBroken);
    CPPUNIT_TEST(stalledGroupGetsNoNewRequests);
    CPPUNIT_TEST(longPausesLimitOnlyTheirGroup);
    CPPUNIT_TEST(requestsGoToTheFasterGroup);
    CPPUNIT_TEST(restartedServerBelongsToNoGroupYet);
    CPPUNIT_TEST(agentsAreAskedOnceForTheirGroup);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the ranks of a group that turns requests away: they run nothing, so they look
    // idle and draw all requests as long as the other group keeps the circuit of the service
    // closed.
    void brokenGroupDrawsNoRequests()
    {
        RelayNodeHarness scene(2 * RanksOfGroup, 0);
        this->formGroups(scene);
        std::size_t rejections = 0;
        std::set<RelayCommand::CallerId> open;
        for (int arrival = 0; arrival < 100; ++arrival) {
            open.insert(scene.arrive("/stream/"));
            scene.advance(milliseconds(20));
            for (auto caller = open.begin(); caller != open.end();) {
                if (!this->isRunning(scene, *caller)) {
                    ++caller;
                } else if (this->groupOf(scene, *caller) == "a") {
                    scene.reject(*caller++);
                    ++rejections;
                } else {
                    scene.streamHead(*caller);
                    scene.event(*caller, 1);
                    scene.end(*caller);
                    caller = open.erase(caller);
                }
            }
        }
        // Probes at intervals of 120 ms in two seconds, and those that open the circuit.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rejections), rejections <= 25);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.count<RelayCommand::Refuse>());
    }

    void requestsWaitWhileAllGroupsAreBroken()
    {
        RelayNodeHarness scene(2 * RanksOfGroup, 0);
        this->formGroups(scene);
        std::vector<RelayCommand::CallerId> callers;
        for (std::uint32_t number = 0; number < 4 * RanksOfGroup; ++number)
            callers.push_back(scene.arrive("/stream/"));
        for (const auto caller : callers)
            scene.reject(caller);
        const std::size_t sends = scene.count<RelayCommand::StartAttempt>();
        scene.advance(milliseconds(240));
        // One probe a group in 120 ms.
        CPPUNIT_ASSERT(scene.count<RelayCommand::StartAttempt>() <= sends + 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scene.count<RelayCommand::Refuse>());
    }

    // Guards against requests that are sent to a group that stands still.
    void stalledGroupGetsNoNewRequests()
    {
        RelayNodeHarness scene(2 * RanksOfGroup, 0);
        this->formGroups(scene);
        const std::vector<RelayCommand::CallerId> callers = this->openStreams(scene);
        // Group a stands still from now on.
        for (std::uint64_t id = 2; id < 10; ++id) {
            scene.advance(milliseconds(100));
            for (const auto caller : callers) {
                if (this->groupOf(scene, caller) == "b")
                    scene.event(caller, id);
            }
        }
        for (int number = 0; number < 20; ++number)
            CPPUNIT_ASSERT_EQUAL(std::string("b"), this->groupOf(scene, scene.arrive("/stream/")));
    }

    void longPausesLimitOnlyTheirGroup()
    {
        RelayNodeHarness scene(2 * RanksOfGroup, 0);
        this->formGroups(scene);
        const std::vector<RelayCommand::CallerId> callers = this->openStreams(scene);
        // The steps of group a take longer than the target, those of group b a fifth of it.
        for (std::uint64_t id = 2; id < 300; ++id) {
            scene.advance(milliseconds(20));
            for (const auto caller : callers) {
                if (this->groupOf(scene, caller) == "b" || id % 8 == 0)
                    scene.event(caller, id);
            }
        }
        std::map<std::string, std::size_t> running;
        for (const auto caller : callers)
            ++running[this->groupOf(scene, caller)];
        for (std::uint32_t number = 0; number < 2 * RanksOfGroup * 12; ++number) {
            if (const auto caller = scene.arrive("/stream/"); this->isRunning(scene, caller))
                ++running[this->groupOf(scene, caller)];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(RanksOfGroup) * 12, running["b"]);
        CPPUNIT_ASSERT(running["a"] <= std::size_t(RanksOfGroup) * 6);
    }

    // Guards against requests that are spread evenly over two groups although the experts of one of
    // them are loaded unevenly, which makes each of its steps longer.
    void requestsGoToTheFasterGroup()
    {
        CPPUNIT_ASSERT(this->shareServedInTime(false) < 0.9);
        CPPUNIT_ASSERT(this->shareServedInTime(true) > 0.97);
    }

    void restartedServerBelongsToNoGroupYet()
    {
        RelayNodeHarness scene(2, 0);
        scene.node.groupArrived(scene.now, {scene.record("m0", "model").address, "a"});
        CPPUNIT_ASSERT_EQUAL(std::string("model/a"), scene.node.roster().find("m0")->unit);
        BackendRecord again = scene.record("m0", "model");
        again.incarnation = 5;
        scene.node.roster().update(scene.now, again);
        CPPUNIT_ASSERT_EQUAL(std::string("model"), scene.node.roster().find("m0")->unit);
        CPPUNIT_ASSERT(!scene.node.roster().find("m0")->isGroupKnown);
    }

    // Guards against traffic that grows with entries times servers.
    void agentsAreAskedOnceForTheirGroup()
    {
        RelayNodeHarness scene(60, 2);
        std::size_t asked = 0;
        for (int round = 0; round < 300; ++round, scene.now += milliseconds(100)) {
            const auto due = scene.node.dueGroupQueries(scene.now);
            CPPUNIT_ASSERT(due.size() <= 32);
            asked += due.size();
            for (const std::string &address : due)
                scene.node.groupArrived(scene.now, {address, "a"});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), asked);
    }

private:
    /// The first ranks belong to group a, the others to group b.
    void formGroups(RelayNodeHarness &scene) const
    {
        for (std::uint32_t number = 0; number < 2 * RanksOfGroup; ++number)
            scene.node.groupArrived(scene.now,
                                    {scene.record("m" + std::to_string(number), "model").address,
                                     number < RanksOfGroup ? "a" : "b"});
    }

    /// One stream at each server.
    std::vector<RelayCommand::CallerId> openStreams(RelayNodeHarness &scene) const
    {
        std::vector<RelayCommand::CallerId> callers;
        for (std::uint32_t number = 0; number < 2 * RanksOfGroup; ++number)
            callers.push_back(scene.arrive("/stream/"));
        for (const auto caller : callers) {
            scene.streamHead(caller);
            scene.event(caller, 1);
        }
        return callers;
    }

    std::string groupOf(const RelayNodeHarness &scene, RelayCommand::CallerId caller) const
    {
        const auto *attempt = scene.attemptOf(caller);
        CPPUNIT_ASSERT(attempt != nullptr);
        return std::stoul(attempt->backend.substr(1)) < RanksOfGroup ? "a" : "b";
    }

    /// Whether the latest attempt is open.
    bool isRunning(RelayNodeHarness &scene, RelayCommand::CallerId caller) const
    {
        const auto *attempt = scene.attemptOf(caller);
        if (attempt == nullptr)
            return false;
        for (const auto &command : scene.commands) {
            const auto *cancelled = std::get_if<RelayCommand::CancelAttempt>(&command);
            if (cancelled != nullptr && cancelled->attempt == attempt->attempt)
                return false;
        }
        return true;
    }

    /// Share of the streams whose pauses stay within their target. Two groups of eight ranks serve
    /// 35 streams a second of 28 events each; a step takes 30 ms and 4 ms more for each request
    /// that a rank runs, and 2.5 times as long in the first group.
    double shareServedInTime(bool isPaceKnown) const
    {
        struct Stream
        {
            std::uint32_t rank = 0;
            int eventsLeft = 28;
            bool isLate = false;
        };
        constexpr std::uint32_t Ranks = 16;
        constexpr double PauseTarget = 120;
        constexpr double ArrivalsPerMs = 0.035;
        const double skews[] = {2.5, 1};
        RandomSource random(7);
        std::vector<Stream> streams;
        std::vector<std::uint32_t> running(Ranks, 0);
        ConcurrencyLimit pauses[2];
        double stepEnds[2] = {0, 0};
        double stepTimes[2] = {30, 30};
        int served = 0;
        int late = 0;
        for (double time = 0; time < 60000; time += 1) {
            if (random.unit() < ArrivalsPerMs) {
                std::vector<PlacementCandidate> candidates;
                for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
                    PlacementCandidate candidate;
                    candidate.id = std::to_string(rank);
                    candidate.slots = 12;
                    candidate.running = running[rank];
                    if (isPaceKnown)
                        candidate.pace = pauses[rank / 8].pace();
                    candidates.push_back(candidate);
                }
                if (const auto chosen = placeRequest(candidates, 0, random)) {
                    const auto rank = static_cast<std::uint32_t>(std::stoul(*chosen));
                    ++running[rank];
                    streams.push_back({rank});
                } else {
                    ++served;
                    ++late;
                }
            }
            for (std::uint32_t group = 0; group < 2; ++group) {
                if (time < stepEnds[group])
                    continue;
                std::uint32_t most = 0;
                for (std::uint32_t rank = 8 * group; rank < 8 * group + 8; ++rank)
                    most = std::max(most, running[rank]);
                for (Stream &stream : streams) {
                    if (stream.rank / 8 != group)
                        continue;
                    stream.isLate = stream.isLate || stepTimes[group] > PauseTarget;
                    --stream.eventsLeft;
                    pauses[group].recordPause(
                            Instant(milliseconds(static_cast<std::int64_t>(time))),
                            std::chrono::microseconds(
                                    static_cast<std::int64_t>(stepTimes[group] * 1000)),
                            milliseconds(static_cast<std::int64_t>(PauseTarget)));
                    if (stream.eventsLeft > 0)
                        continue;
                    --running[stream.rank];
                    ++served;
                    late += stream.isLate ? 1 : 0;
                }
                std::erase_if(streams, [](const Stream &stream) { return stream.eventsLeft <= 0; });
                stepTimes[group] = skews[group] * (30 + 4.0 * most);
                stepEnds[group] = time + stepTimes[group];
            }
        }
        return 1 - static_cast<double>(late) / served;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelGroupPlacingTest);

} // namespace Nutmegrill
