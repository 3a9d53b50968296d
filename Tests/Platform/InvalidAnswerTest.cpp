#include "WorkerAnswerFixture.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Tests that bytes which are no answer in HTTP/1.1 do not reach callers as one, and that an
/// unusual answer does.
class InvalidAnswerTest : public WorkerAnswerFixture
{
    CPPUNIT_TEST_SUITE(InvalidAnswerTest);
    CPPUNIT_TEST(invalidStatusPassesForAnAnswer);
    CPPUNIT_TEST(otherProtocolIsAwaitedUntilTheDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer with a status that HTTP does not have, such as 000, which callers
    // get as an answer.
    void invalidStatusPassesForAnAnswer()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const std::string status :
             {"000", "0", "00", "1", "20", "99", "099", "0200", "00200", "600", "799", "999",
              "1000", "2e2", "+200", "-200", "0x0", "2 0"}) {
            for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "})
                this->expectNoAnswer(status, version + status + " Text" + plainTail);
            this->expectNoAnswer(status + " in a stream",
                                 "HTTP/1.1 " + status + " Text" + streamTail, "m", "/s/1");
            this->expectNoAnswer(status + " after an interim answer",
                                 "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 " + status + " Text"
                                         + plainTail);
            this->expectNoAnswer(status + " in an interim answer",
                                 "HTTP/1.1 " + status + " Text\r\n\r\nHTTP/1.1 200 OK" + plainTail);
            this->expectNoSecondAnswer(status, "HTTP/1.1 " + status + " Text" + plainTail);
        }
        for (const std::string start :
             {"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 OK\rX: y",
              "HTTP/1.1 200OK", "HTTP/1.1200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
              "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.1 200 OK", "HTTP/1.10 200 OK",
              "http/1.1 200 OK", "HTTP/1.1 OK", "HTTP/1.1", "GET / HTTP/1.1"})
            this->expectNoAnswer(start, start + plainTail);
        this->assertNoProblems();
    }

    // Guards against a caller that waits until its deadline for the end of a line that is no status
    // line.
    void otherProtocolIsAwaitedUntilTheDeadline()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const char *bytes :
             {"no answer", "\x16\x03\x01", "HTTP/2.0 200", "HTTP/1.1 0", "SSH-2.0-x"})
            this->expectNoAnswer(bytes, bytes, "p", "/r/1", RawWorker::End::KeepOpen);
        this->assertNoProblems();
    }

private:
    /// Sends two requests on one connection to a worker whose second answer is none.
    void expectNoSecondAnswer(const std::string &name, const std::string &bytes)
    {
        RawWorker worker(
                *this->loop,
                [&](int request) { return request == 1 ? "HTTP/1.1 200 OK" + plainTail : bytes; },
                RawWorker::End::KeepOpen);
        const std::string key = this->add(worker, "p");
        const Answer first = this->send("/r/1", "k");
        const Answer second = this->send("/r/1", "k");
        this->expect(first.status == 200 && second.status == 502 && worker.requests == 2
                             && worker.openConnections() <= 1,
                     name + " on a kept connection", second);
        this->remove(key, worker.record("p"));
    }

    static inline const std::string streamTail =
            "\r\nAttempt-Id: a1\r\nResponse-Seal: seal-raw\r\nContent-Type: text/event-stream"
            "\r\n\r\n"
            + twoEvents;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidAnswerTest);

} // namespace Nutmegrill
