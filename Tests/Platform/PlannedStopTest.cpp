#include "Core/RandomSource.h"
#include "RawWorker.h"
#include "RelayEntryFixture.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Callers = 50;
constexpr int Seeds = 8;
constexpr milliseconds GraceTime{1500};
/// The difference between the end of a stop and that of this time is a multiple of the resolution
/// of the process's timers; LatePause is a multiple of that difference.
constexpr milliseconds LongGraceTime{4000};
constexpr milliseconds LatePause{800};
/// Longest time for which the worker works on a request.
constexpr std::uint64_t MaxWorkMs = 120;

/// Answers each request after a random time and remembers which ones it ran.
struct SlowWorker
{
    SlowWorker(EventLoop &loop, RandomSource &random)
        : address(freeAddress()),
          listener(loop, this->address, 1000,
                   [this, &loop, &random](HttpListener::Request &&request) {
                       const std::string id = *request.head.find("Attempt-Id");
                       this->ran.insert(id);
                       loop.after(milliseconds(random.below(MaxWorkMs)), [this, id,
                                                                          key = request.id] {
                           if (auto *connection = this->listener.find(key))
                               connection->reply(200, "OK",
                                                 {{"Attempt-Id", id}, {"Response-Seal", "s"}},
                                                 "done");
                       });
                   })
    {}

    std::string address;
    std::set<std::string> ran;
    HttpListener listener;
};

} // namespace

/// A planned stop while callers send their next request as soon as they have an answer.
class PlannedStopTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(noRequestThatRanIsCutOff);
    CPPUNIT_TEST(stopThatIsNoticedLateEndsWithinTheGraceTime);
    CPPUNIT_TEST(lastAnswersLeaveAProcessThatIsLate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are taken during the stop and lost at its end.
    void noRequestThatRanIsCutOff()
    {
        for (int seed = 1; seed <= Seeds; ++seed) {
            this->tearDown();
            this->setUp();
            this->playStop(static_cast<std::uint64_t>(seed));
        }
    }

    // Guards against a process that is killed with open requests because it counts the grace time
    // from the moment at which it noticed the signal, not from its arrival.
    void stopThatIsNoticedLateEndsWithinTheGraceTime()
    {
        const RawWorker worker(*this->loop, "", RawWorker::End::KeepOpen);
        Answer answer;
        this->openRequest(worker, LongGraceTime, answer);
        Instant signalledAt;
        this->loop->after(milliseconds(50), [this, &signalledAt] {
            signalledAt = this->loop->now();
            std::raise(SIGTERM);
            std::this_thread::sleep_for(LatePause);
        });
        this->entry->run();
        CPPUNIT_ASSERT(this->loop->now() < signalledAt + LongGraceTime);
    }

    // Guards against answers that are written in the last moment of a process that was paused and
    // never leave it.
    void lastAnswersLeaveAProcessThatIsLate()
    {
        const RawWorker worker(*this->loop, "", RawWorker::End::KeepOpen);
        Answer answer;
        this->openRequest(worker, GraceTime, answer);
        std::raise(SIGTERM);
        this->loop->after(GraceTime * 9 / 10,
                          [] { std::this_thread::sleep_for(GraceTime * 8 / 100); });
        this->entry->run();
        // The process ends here.
        this->entry.reset();
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        CPPUNIT_ASSERT(answer.isWhole);
    }

private:
    struct Caller
    {
        std::string id;
        Answer answer;
        bool isStopped = false;
    };

    /// Sends a request that the worker does not answer.
    void openRequest(const RawWorker &worker, milliseconds graceTime, Answer &answer)
    {
        RelayEntry::Options changed = this->options;
        changed.graceTime = graceTime;
        this->entry->reload(changed, "changed=grace-seconds");
        this->store->put("servers/i-1", worker.record("m"));
        this->store->put("op/config", configuration(1, "k"));
        this->loop->runUntil([] { return false; }, milliseconds(50));
        this->start("/s/1", "k", "hi", answer);
        CPPUNIT_ASSERT(this->loop->runUntil([&] { return worker.requests > 0; }, TestTimeout));
    }

    void playStop(std::uint64_t seed)
    {
        RandomSource random(seed);
        SlowWorker worker(*this->loop, random);
        RelayEntry::Options shorter = this->options;
        shorter.graceTime = GraceTime;
        this->entry->reload(shorter, "changed=grace-seconds");
        this->store->put("servers/i-1", R"({"service":"p","address":")" + worker.address
                                                + R"(","zone":"n","slots":40,"state":"ready"})");
        this->store->put("op/config", configuration(1, "k"));
        this->loop->runUntil([] { return false; }, milliseconds(50));
        std::vector<Caller> callers(Callers);
        std::size_t answered = 0;
        std::set<std::string> answeredIds;
        const auto again = this->loop->every(milliseconds(1), [&] {
            for (Caller &caller : callers) {
                if (!caller.id.empty() && !caller.answer.isOver)
                    continue;
                if (caller.answer.isWhole) {
                    ++answered;
                    answeredIds.insert(caller.id);
                } else if (!caller.id.empty()) {
                    // The connection ended: refused, or cut.
                    caller.isStopped = true;
                }
                if (caller.isStopped)
                    continue;
                caller.id = std::to_string(++this->lastId);
                caller.answer = {};
                this->request(this->options.callerAddress,
                              "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + caller.id
                                      + "\r\nDeadline-Ms: 700\r\nCredential: k\r\n"
                                        "Content-Length: 2\r\n\r\nhi",
                              caller.answer);
            }
        });
        this->loop->after(milliseconds(100 + random.below(300)), [] { std::raise(SIGTERM); });
        bool isLate = false;
        this->loop->after(milliseconds(4000), [&] {
            isLate = true;
            this->loop->stop();
        });
        this->entry->run();
        CPPUNIT_ASSERT(!isLate);
        // Answers that were on their way.
        this->loop->runUntil([] { return false; }, milliseconds(50));
        CPPUNIT_ASSERT(answered > Callers);
        for (const Caller &caller : callers)
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " request " + caller.id,
                                   worker.ran.count(caller.id) == 0 || caller.answer.isWhole
                                           || answeredIds.count(caller.id) != 0);
        this->clients.clear();
        this->entry.reset();
    }

    std::uint64_t lastId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace Nutmegrill
