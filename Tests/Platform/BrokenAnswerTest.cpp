#include "SteppedWorker.h"
#include "WorkerAnswerFixture.h"

#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <event2/event.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Time in which everything that is under way on loopback arrives.
constexpr milliseconds SettleTime{30};
/// More than the sockets between an entry and a worker that does not read take.
constexpr std::size_t LongUploadBytes = (4U << 20U) - 1;

} // namespace

/// Tests that an answer which breaks off does not reach callers as a complete one, and that one
/// which only comes early does.
class BrokenAnswerTest : public WorkerAnswerFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerTest);
    CPPUNIT_TEST(resetAnswerPassesForComplete);
    CPPUNIT_TEST(resetStreamPassesForComplete);
    CPPUNIT_TEST(resetRejectionPassesForComplete);
    CPPUNIT_TEST(earlyAnswerToALongUploadIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the part of an answer that arrived before a reset, which callers get as a
    // complete answer: the answer ends with its connection, and the request was still being
    // written.
    void resetAnswerPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const char *status : {"200 OK", "404 Not Found", "500 Oops"}) {
            const std::string head = std::string("HTTP/1.1 ") + status
                                     + "\r\nAttempt-Id: a1\r\nResponse-Seal: seal-raw\r\n";
            for (const std::string &part :
                 {std::string(), std::string("part"), std::string(40000, 'x')}) {
                this->forEachBreak([&](const Break &broken) {
                    const Answer answer = this->breakOff("p", "/r/1", broken, head + "\r\n" + part);
                    this->expect(answer.isOver && answer.status == 502,
                                 broken.text() + status + " " + std::to_string(part.size()),
                                 answer);
                });
            }
        }
        this->assertNoProblems();
    }

    // The same for a stream of events: what arrived is passed on, but the stream must not end as a
    // complete one.
    void resetStreamPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        this->forEachBreak([&](const Break &broken) {
            const Answer answer =
                    this->breakOff("m", "/s/1", broken, streamHeadText + "\r\n" + twoEvents);
            const bool isPart = answer.body.empty() || answer.body == twoEvents;
            this->expect(answer.isOver && isPart && (!answer.isWhole || answer.status == 502),
                         broken.text(), answer);
        });
        this->assertNoProblems();
    }

    // Guards against a rejection that broke off and is taken for the statement that the request was
    // not run, so that it is sent again or answered with 503.
    void resetRejectionPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string head = "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n";
        for (const std::string &rest : {std::string("\r\n"), std::string("\r\nbus"),
                                        std::string("Content-Length: 4\r\n\r\nbus"),
                                        std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nbu")}) {
            this->forEachBreak([&](const Break &broken) {
                bool isSentAgain = false;
                const Answer answer =
                        this->breakOff("p", "/r/1", broken, head + rest, &isSentAgain);
                this->expect(answer.isOver && answer.status == 502 && !isSentAgain,
                             broken.text() + rest + (isSentAgain ? " sent again" : ""), answer);
            });
        }
        this->assertNoProblems();
    }

    // Guards against a whole answer that is lost because it came before the request was written:
    // one with a length whose connection is then reset, and one that ends with its connection.
    void earlyAnswerToALongUploadIsLost()
    {
        this->store->put("op/config", configuration(1, "k"));
        using End = SteppedWorker::End;
        for (const std::size_t size : {std::size_t(0), std::size_t(4), std::size_t(100000)}) {
            const std::string body(size, 'x');
            const std::string length = "Content-Length: " + std::to_string(size) + "\r\n\r\n";
            for (const auto &[rest, end] :
                 std::vector<std::pair<std::string, End>>{{length, End::Reset},
                                                          {length, End::Close},
                                                          {length, End::CloseThenReset},
                                                          {"\r\n", End::Close},
                                                          {"\r\n", End::CloseThenReset}}) {
                for (const bool isReadFirst : {false, true}) {
                    SteppedWorker worker;
                    const std::string key = this->add(worker, "p");
                    Answer answer;
                    this->start("/r/1", "k", std::string(LongUploadBytes, 'u'), answer);
                    this->loop->runUntil([&] { return worker.accept(); }, TestTimeout);
                    this->settle();
                    worker.send(answerHeadText + rest + body);
                    if (isReadFirst)
                        this->settle();
                    worker.end(end);
                    this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
                    const std::string name = rest + std::to_string(size) + " bytes, end "
                                             + std::to_string(static_cast<int>(end))
                                             + (isReadFirst ? " read first" : "");
                    this->expect(answer.isWhole && answer.status == 200 && answer.body == body,
                                 name, answer);
                    this->remove(key, worker.record("p"));
                }
            }
        }
        this->assertNoProblems();
    }

private:
    enum class Moment { BeforeRequest, InsideUpload, AfterRequest };

    /// When and on which connection an answer breaks off.
    struct Break
    {
        Moment moment;
        bool isKept;
        /// The entry has read the answer before the reset arrives.
        bool isReadFirst;

        std::string text() const
        {
            static constexpr std::array<const char *, 3> Names = {
                    "before the request", "in the upload", "after the request"};
            return std::string(Names.at(static_cast<std::size_t>(this->moment)))
                   + (this->isKept ? ", kept connection" : ", new connection")
                   + (this->isReadFirst ? ", answer read first " : " ");
        }
    };

    template <typename Check>
    void forEachBreak(const Check &check)
    {
        for (const Moment moment :
             {Moment::BeforeRequest, Moment::InsideUpload, Moment::AfterRequest}) {
            for (const bool isKept : {false, true}) {
                for (const bool isReadFirst : {false, true}) {
                    // A kept connection is closed when bytes arrive before a request.
                    if (moment != Moment::BeforeRequest || (!isKept && !isReadFirst))
                        check(Break{moment, isKept, isReadFirst});
                }
            }
        }
    }

    /// Sends one request to a worker whose answer breaks off after \a bytes.
    Answer breakOff(const std::string &service, const std::string &target, const Break &broken,
                    const std::string &bytes, bool *isSentAgain = nullptr)
    {
        SteppedWorker worker;
        const std::string key = this->add(worker, service);
        if (broken.isKept) {
            Answer first;
            this->start(target, "k", {}, first);
            this->loop->runUntil([&] { return worker.accept(); }, TestTimeout);
            this->loop->runUntil([&] { return worker.hasRequest(); }, TestTimeout);
            worker.readAll();
            worker.send(service == "m" ? streamHeadText + "Content-Length: "
                                                 + std::to_string(twoEvents.size()) + "\r\n\r\n"
                                                 + twoEvents
                                       : answerHeadText + "Content-Length: 4\r\n\r\ndone");
            this->loop->runUntil([&] { return first.isOver; }, TestTimeout);
            CPPUNIT_ASSERT(first.isWhole);
        }
        Answer answer;
        const std::size_t size = broken.moment == Moment::InsideUpload ? LongUploadBytes : 1;
        this->start(target, "k", std::string(size, 'u'), answer);
        if (broken.moment == Moment::BeforeRequest) {
            // One step at a time: the entry has connected, but has not written.
            for (int step = 0; step < 1000 && !worker.accept(); ++step)
                event_base_loop(this->loop->base(), EVLOOP_NONBLOCK);
        } else {
            if (!broken.isKept)
                this->loop->runUntil([&] { return worker.accept(); }, TestTimeout);
            this->loop->runUntil([&] { return worker.hasRequest(); }, TestTimeout);
            this->settle();
            if (broken.moment == Moment::AfterRequest)
                worker.readAll();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.text(), 1, worker.connections);
        // A stream would wait for another server to resume at.
        if (service == "m")
            this->remove(key, worker.record(service));
        worker.send(bytes);
        if (broken.isReadFirst)
            this->settle();
        worker.end(SteppedWorker::End::Reset);
        this->loop->runUntil(
                [&] {
                    // A connection without a request only checks whether the worker listens.
                    worker.accept();
                    if (isSentAgain != nullptr && worker.hasRequest())
                        *isSentAgain = true;
                    return answer.isOver;
                },
                TestTimeout);
        if (service != "m")
            this->remove(key, worker.record(service));
        return answer;
    }

    void settle()
    {
        this->loop->runUntil([] { return false; }, SettleTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);

} // namespace Nutmegrill
