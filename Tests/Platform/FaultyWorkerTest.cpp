#include "RawWorker.h"
#include "RelayEntryFixture.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

const std::string refusalHeadText =
        "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: ";
const std::string refusal = refusalHeadText + "0\r\n\r\n";
const std::string refusalEvent = "data: the worker is full\n\n";
/// Refusal whose text looks like a stream.
const std::string refusalStream = refusalHeadText + std::to_string(refusalEvent.size())
                                  + "\r\nContent-Type: text/event-stream\r\n\r\n" + refusalEvent;

} // namespace

/// Tests what callers get from backend servers whose answers break the protocol.
class FaultyWorkerTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(FaultyWorkerTest);
    CPPUNIT_TEST(refusalWrittenAgainAnswersTheRepeat);
    CPPUNIT_TEST(errorTextAppearsInsideAStream);
    CPPUNIT_TEST(answerThatStopsInsideItsHeadPassesForComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that runs twice: its repeat on the same connection is answered by
    // the refusal of its first sending, which the server writes once more.
    void refusalWrittenAgainAnswersTheRepeat()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string done = answerHeadText + "Content-Length: 4\r\n\r\ndone";
        int sends = 0;
        RawWorker worker(
                *this->loop,
                [&](int request) {
                    if (++sends == 1)
                        return refusal;
                    return request > 1 ? refusal + done : done;
                },
                RawWorker::End::KeepOpen);
        this->store->put("servers/i-1", worker.record("p"));
        const Answer answer = this->send("/r/1", "k");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(2, worker.requests);
    }

    // Whether the next server refuses or fails, and whatever type its text has, only events of a
    // success belong to the caller's stream.
    void errorTextAppearsInsideAStream()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string failure = "HTTP/1.1 500 Oops\r\nAttempt-Id: a1\r\nContent-Length: "
                                    + std::to_string(refusalEvent.size()) + "\r\n";
        const std::string eventType = "Content-Type: text/event-stream\r\n\r\n";
        for (const std::string &next :
             {refusal, refusalStream, failure + "\r\n" + refusalEvent,
              failure + eventType + refusalEvent, std::string("HTTP/1.1 500 Oops\r\nAttempt")}) {
            RawWorker broken(*this->loop, streamHeadText + "\r\n" + twoEvents + "id: 3\nda",
                             RawWorker::End::Close);
            RawWorker faulty(*this->loop, next, RawWorker::End::Close);
            const std::string first = "servers/i-" + std::to_string(++this->servers);
            const std::string second = "servers/i-" + std::to_string(++this->servers);
            this->store->put(first, broken.record("m"));
            Answer answer;
            this->start("/s/1", "k", {}, answer);
            this->loop->runUntil([&] { return broken.requests > 0; }, TestTimeout);
            this->store->put(second, faulty.record("m"));
            this->loop->runUntil([&] { return answer.isOver; }, 2 * TestTimeout);
            CPPUNIT_ASSERT(faulty.requests > 0);
            CPPUNIT_ASSERT(answer.isOver && !answer.isWhole);
            CPPUNIT_ASSERT_EQUAL(twoEvents, answer.body);
            this->store->put(first, draining(broken.record("m")));
            this->store->put(second, draining(faulty.record("m")));
        }
        // A refusal before the stream has begun is not its beginning.
        int sends = 0;
        RawWorker worker(
                *this->loop,
                [&](int) {
                    return ++sends == 1 ? refusalStream : streamHeadText + "\r\n" + fourEvents;
                },
                RawWorker::End::Close);
        this->store->put("servers/last", worker.record("m"));
        const Answer answer = this->send("/s/1", "k");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(fourEvents, answer.body);
    }

    void answerThatStopsInsideItsHeadPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string plainHead = answerHeadText + "Content-Length: 4\r\n\r\n";
        const std::string streamHead = streamHeadText + "\r\n";
        for (const std::string &head : {plainHead, streamHead}) {
            const bool isStream = head == streamHead;
            for (const std::size_t length :
                 {std::size_t(9), std::size_t(17), std::size_t(20), std::size_t(45),
                  head.size() - 8, head.size() - 4, head.size() - 2, head.size() - 1}) {
                RawWorker broken(*this->loop, head.substr(0, length), RawWorker::End::Close);
                const std::string key = "servers/i-" + std::to_string(++this->servers);
                const std::string record = broken.record(isStream ? "m" : "p");
                this->store->put(key, record);
                const Answer answer = this->send(isStream ? "/s/1" : "/r/1", "k");
                CPPUNIT_ASSERT_EQUAL(1, broken.requests);
                CPPUNIT_ASSERT_EQUAL(502, answer.status);
                this->store->put(key, draining(record));
            }
        }
    }

private:
    int servers = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyWorkerTest);

} // namespace Nutmegrill
