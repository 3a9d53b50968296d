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
    CPPUNIT_TEST(blankOrControlByteInAFieldNamePasses);
    CPPUNIT_TEST(blankOrControlByteInATrailerPasses);
    CPPUNIT_TEST(controlByteInAFieldValuePasses);
    CPPUNIT_TEST(brokenChunkPassesForABody);
    CPPUNIT_TEST(ambiguousLengthPassesForALength);
    CPPUNIT_TEST(unaskedProtocolSwitchPassesForAnAnswer);
    CPPUNIT_TEST(bodyOfAnAnswerWithoutOneIsAwaited);
    CPPUNIT_TEST(unusualAnswerIsLost);
    CPPUNIT_TEST(headBeyondTheLimitOfCallersIsLost);
    CPPUNIT_TEST(blankLineAfterTheLastEventBreaksTheStream);
    CPPUNIT_TEST(foldedFieldLosesItsBlank);
    CPPUNIT_TEST(brokenAnswerIsNotReplacedByAnotherServers);
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

    // Guards against an answer with a blank or a control byte in the name of a field, which callers
    // get with that line passed on, or with a body that the worker did not send.
    void blankOrControlByteInAFieldNamePasses()
    {
        this->store->put("op/config", configuration(1, "k"));
        const auto fieldsEnd = plainTail.find("\r\n\r\n");
        for (const std::string &line : invalidFields()) {
            this->expectNoAnswer(line + " as first field",
                                 "HTTP/1.1 200 OK\r\n" + line + plainTail);
            this->expectNoAnswer(line + " in an interim answer", "HTTP/1.1 103 Early\r\n" + line
                                                                         + "\r\n\r\nHTTP/1.1 200 OK"
                                                                         + plainTail);
            this->expectNoAnswer(line + " in a rejection",
                                 "HTTP/1.1 503 Busy\r\n" + line
                                         + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            this->expectNoAnswer(line + " in a stream", "HTTP/1.1 200 OK\r\n" + line + streamTail,
                                 "m", "/s/1");
            this->expectNoSecondAnswer(line, "HTTP/1.1 200 OK\r\n" + line + plainTail);
            // A line that begins with a blank continues the field before it.
            if (line.front() == ' ' || line.front() == '\t')
                continue;
            this->expectNoAnswer(line + " as last field",
                                 "HTTP/1.1 200 OK" + plainTail.substr(0, fieldsEnd) + "\r\n" + line
                                         + plainTail.substr(fieldsEnd));
            this->expectNoAnswer(line + " in an answer that ends with its connection",
                                 answerHeadText + line + "\r\n\r\ndone");
            this->expectNoAnswer(line + " as last field of a stream",
                                 streamHeadText + line + "\r\n\r\n" + twoEvents, "m", "/s/1");
        }
        this->assertNoProblems();
    }

    // The same for the fields behind a chunked body.
    void blankOrControlByteInATrailerPasses()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const std::string &line : invalidFields())
            this->expectNoAnswer(line, answerHeadText
                                               + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0"
                                                 "\r\n"
                                               + line + "\r\n\r\n");
        this->assertNoProblems();
    }

    // Guards against the rest of a field, or of the whole head, that is read as another field or as
    // the body: a carriage return alone ends no line.
    void controlByteInAFieldValuePasses()
    {
        this->store->put("op/config", configuration(1, "k"));
        using namespace std::string_literals;
        for (const std::string &line :
             {"X: a\x01"s, "X: \x01"s, "X: a\x7f"s, "X: a\0b"s, "X: a\rb"s, "X: \rY: b"s,
              "X:\rY: b"s, "X: a\r"s, "X: \r"s, "X: a\vb"s, "Content-Length: 4\rX"s,
              "Connection: close\rX"s}) {
            this->expectNoAnswer(line, "HTTP/1.1 200 OK\r\n" + line + plainTail);
            this->expectNoAnswer(line + " at the end", answerHeadText + line + "\r\n\r\ndone");
        }
        this->assertNoProblems();
    }

    // Guards against chunks whose sizes and data do not fit and that pass for a body.
    void brokenChunkPassesForABody()
    {
        this->store->put("op/config", configuration(1, "k"));
        using namespace std::string_literals;
        for (const std::string &body : {"3\r\ndone\r\n0\r\n\r\n"s,
                                        "4\r\ndoneXX0\r\n\r\n"s,
                                        "4\r\ndone\r0\r\n\r\n"s,
                                        "4\r\ndone\n0\r\n\r\n"s,
                                        "4\r\ndone\n\n0\r\n\r\n"s,
                                        "4\r\ndone0\r\n\r\n"s,
                                        "4\rXdone\r\n0\r\n\r\n"s,
                                        "4\ndone\r\n0\r\n\r\n"s,
                                        "4;x\ndone\r\n0\r\n\r\n"s,
                                        "4;x\rydone\r\n0\r\n\r\n"s,
                                        "4 5\r\ndone\r\n0\r\n\r\n"s,
                                        "4 x\r\ndone\r\n0\r\n\r\n"s,
                                        "4;\x01\r\ndone\r\n0\r\n\r\n"s,
                                        "0x4\r\ndone\r\n0\r\n\r\n"s,
                                        "+4\r\ndone\r\n0\r\n\r\n"s,
                                        "-4\r\ndone\r\n0\r\n\r\n"s,
                                        " 4\r\ndone\r\n0\r\n\r\n"s,
                                        "\r\n4\r\ndone\r\n0\r\n\r\n"s,
                                        "4\r\ndone\r\n\r\n0\r\n\r\n"s,
                                        "4\r\ndone\r\n0\rX\r\n"s,
                                        "4\r\ndone\r\n0\r\n\rX"s,
                                        "10000000000000004\r\ndone\r\n0\r\n\r\n"s,
                                        "4\r\ndone\r\n"s,
                                        "4\r\ndone\r\n0\r\n"s,
                                        "4\r\ndone\r\n0"s,
                                        "4\r\ndone\r\n0\r\nX: 1\r\n"s,
                                        "g\r\n"s,
                                        "done"s}) {
            const std::string head = "Transfer-Encoding: chunked\r\n\r\n";
            this->expectNoAnswer(body, answerHeadText + head + body);
        }
        this->assertNoProblems();
    }

    // Guards against a body that is not the worker's because its length or its coding has two
    // meanings, or one that no caller was told of.
    void ambiguousLengthPassesForALength()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
        for (const auto &[fields, body] : std::vector<std::pair<std::string, std::string>>{
                     {"Content-Length: 4\r\nContent-Length: 2", "done"},
                     {"Content-Length: 4, 2", "done"},
                     {"Content-Length: 4x", "done"},
                     {"Content-Length: +4", "done"},
                     {"Content-Length: -4", "done"},
                     {"Content-Length: 0x4", "done"},
                     {"Content-Length: ", "done"},
                     {"Content-Length: 4 4", "done"},
                     {"Content-Length: 18446744073709551620", "done"},
                     {"Content-Length: 4\r\nTransfer-Encoding: chunked", chunks},
                     {"Transfer-Encoding: chunked\r\nContent-Length: 4", chunks},
                     {"Transfer-Encoding: gzip, chunked", chunks},
                     {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", chunks},
                     {"Transfer-Encoding: chunked, gzip", chunks},
                     {"Transfer-Encoding: chunked, chunked", chunks},
                     {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunks},
                     {"Transfer-Encoding: gzip", "done"},
                     {"Transfer-Encoding: identity", "done"},
                     {"Transfer-Encoding: xchunked", "done"},
                     {"Transfer-Encoding: chunkedx", "done"},
                     {"Transfer-Encoding: ", "done"}})
            this->expectNoAnswer(fields, answerHeadText + fields + "\r\n\r\n" + body);
        this->assertNoProblems();
    }

    // Guards against bytes in another protocol that pass for an answer.
    void unaskedProtocolSwitchPassesForAnAnswer()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const char *fields :
             {"", "Upgrade: x\r\nConnection: Upgrade\r\n", "Content-Length: 0\r\n"}) {
            this->expectNoAnswer(fields, std::string("HTTP/1.1 101 Switching\r\nAttempt-Id: a1\r\n")
                                                 + fields + "\r\nHTTP/1.1 200 OK" + plainTail);
        }
        this->assertNoProblems();
    }

    // Guards against a whole answer that is lost, and against bytes of the next one that are read
    // as its body: these statuses have no body, whatever length their head names.
    void bodyOfAnAnswerWithoutOneIsAwaited()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const char *status : {"204 No Content", "304 Not Modified"}) {
            for (const char *fields : {"", "Content-Length: 0\r\n", "Content-Length: 4\r\n",
                                       "Transfer-Encoding: chunked\r\n"}) {
                const std::string head = std::string("HTTP/1.1 ") + status
                                         + "\r\nAttempt-Id: a1\r\nResponse-Seal: seal-raw\r\n"
                                         + fields + "\r\n";
                this->expectAnswer(head, head, std::stoi(status), {}, RawWorker::End::KeepOpen);
            }
        }
        for (const char *fields : {"", "Content-Length: 0\r\n", "Content-Length: 4\r\n",
                                   "Transfer-Encoding: chunked\r\n"})
            this->expectAnswer(std::string("interim ") + fields,
                               std::string("HTTP/1.1 103 Early\r\n") + fields
                                       + "\r\nHTTP/1.1 200 OK" + plainTail,
                               200, "done", RawWorker::End::KeepOpen);
        for (const std::string end : {"Content-Length: 4\r\n\r\n", "\r\n"}) {
            RawWorker worker(*this->loop, answerHeadText + end, RawWorker::End::KeepOpen);
            const std::string key = this->add(worker, "p");
            Answer answer;
            this->request(this->options.callerAddress,
                          "HEAD /r/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: "
                          "5000\r\nCredential: k\r\n\r\n",
                          answer);
            this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
            this->expect(answer.isWhole && answer.status == 200, "HEAD " + end, answer);
            this->remove(key, worker.record("p"));
        }
        this->assertNoProblems();
    }

    // Guards against a check that takes a whole answer for a broken one.
    void unusualAnswerIsLost()
    {
        this->store->put("op/config", configuration(1, "k"));
        using End = RawWorker::End;
        for (const int status : {200, 201, 206, 299, 300, 404, 418, 451, 499, 500, 502, 599})
            this->expectAnswer(std::to_string(status),
                               "HTTP/1.1 " + std::to_string(status) + " Text" + plainTail, status,
                               "done", End::KeepOpen);
        for (const char *start :
             {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 A\tlong (reason): /",
              "HTTP/1.1 200 \xc3\xa4\xff", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK"})
            this->expectAnswer(start, start + plainTail, 200, "done", End::KeepOpen);
        for (const char *line :
             {"!#$%&'*+-.^_`|~09azAZ: 1", "X:", "X: ", "X:1", "X:\t1\t", "X: a\tb  c ",
              "X: \xc3\xa4\x80\xff", "X: \"(:;,)\" {}[]", "x: 1\r\nX: 2", "Keep-Alive: timeout=5",
              "Connection: close, X", "Connection:", "Content-Length:   4  ", "CONTENT-LENGTH: 4",
              "Date: Mon, 07 Dec 2026 04:34:11 GMT", "X: a\r\n b", "X:\r\n\tb"})
            this->expectAnswer(
                    line,
                    std::string(answerHeadText) + line + "\r\n"
                            + (std::string_view(line).find("4 ") != std::string_view::npos
                                               || std::string_view(line).find("CON") == 0
                                       ? ""
                                       : "Content-Length: 4\r\n")
                            + "\r\ndone",
                    200, "done", End::KeepOpen);
        // Lines may end with a line feed alone.
        this->expectAnswer("line feeds",
                           "HTTP/1.1 200 OK\nAttempt-Id: a1\nResponse-Seal: s\nContent-Length: "
                           "4\n\ndone",
                           200, "done", End::KeepOpen);
        for (const char *body :
             {"4\r\ndone\r\n0\r\n\r\n", "0004\r\ndone\r\n000\r\n\r\n",
              "4;a=b;c=\"d e\"\r\ndone\r\n0;e\r\n\r\n", "4 ; a\r\ndone\r\n0\r\n\r\n",
              "4  \r\ndone\r\n0\r\n\r\n", "1\r\nd\r\n3\r\none\r\n0\r\nX: 1\r\nY:\r\n\r\n",
              "4\r\ndone\r\n0\r\nX: a\r\n b\r\n\r\n"}) {
            for (const char *coding : {"chunked", "Chunked", " chunked ", "CHUNKED\t"})
                this->expectAnswer(std::string(coding) + body,
                                   answerHeadText + "Transfer-Encoding:" + coding + "\r\n\r\n"
                                           + body,
                                   200, "done", End::KeepOpen);
        }
        const std::string lines(26, '\r');
        this->expectAnswer("chunk of line ends",
                           answerHeadText + "Transfer-Encoding: chunked\r\n\r\n1A\r\n" + lines
                                   + "\r\n0\r\n\r\n",
                           200, lines, End::KeepOpen);
        this->expectAnswer("body of line ends",
                           answerHeadText + "Content-Length: 26\r\n\r\n" + lines, 200, lines,
                           End::KeepOpen);
        for (const std::string &interim :
             {std::string("HTTP/1.1 100 Continue\r\n\r\n"),
              std::string("HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"),
              std::string("HTTP/1.1 199 X\r\n\r\n")})
            this->expectAnswer(interim, interim + "HTTP/1.1 200 OK" + plainTail, 200, "done",
                               End::KeepOpen);
        for (const char *body : {"", "d", "done"})
            this->expectAnswer(std::string("ends with the connection: ") + body,
                               answerHeadText + "\r\n" + body, 200, body, End::Close);
        this->assertNoProblems();
    }

    // Guards against a limit for callers that also holds for backend servers, whose answers with a
    // longer head are lost.
    void headBeyondTheLimitOfCallersIsLost()
    {
        std::string limited = configuration(1, "k");
        limited.insert(1, R"("limits":{"maxHeaderBytes":200},)");
        this->store->put("op/config", limited);
        for (const std::size_t size : {std::size_t(300), std::size_t(30000), std::size_t(60000)})
            this->expectAnswer(std::to_string(size),
                               "HTTP/1.1 200 OK\r\nX: " + std::string(size, 'x') + plainTail, 200,
                               "done", RawWorker::End::KeepOpen);
        // The head of an answer has a limit as well.
        this->expectNoAnswer("70000",
                             "HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x') + plainTail);
        this->expectNoAnswer("70000 without a line end",
                             "HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x'));
        this->assertNoProblems();
    }

    // Guards against a whole stream that is cut because an empty line follows its last event.
    void blankLineAfterTheLastEventBreaksTheStream()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const char *rest : {"", "\n", "\r\n", "\n\n", "\r\n\r\n", ": comment\n\n"}) {
            RawWorker worker(*this->loop, streamHeadText + "\r\n" + fourEvents + rest,
                             RawWorker::End::Close);
            const std::string key = this->add(worker, "m");
            Answer answer;
            this->start("/s/1", "k", {}, answer);
            this->loop->runUntil([&] { return worker.requests > 0; }, TestTimeout);
            this->remove(key, worker.record("m"));
            this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
            this->expect(answer.isWhole && answer.body.find(fourEvents) == 0, rest, answer);
        }
        this->assertNoProblems();
    }

    // Guards against a value whose lines are joined to one word.
    void foldedFieldLosesItsBlank()
    {
        this->store->put("op/config", configuration(1, "k"));
        RawWorker worker(*this->loop,
                         answerHeadText
                                 + "X: a\r\n  b\r\n \r\n\tc \r\nContent-Length: 4\r\n\r\ndone",
                         RawWorker::End::KeepOpen);
        this->add(worker, "p");
        const Answer answer = this->send("/r/1", "k");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT(answer.head.find("X") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("a  b\tc"), *answer.head.find("X"));
    }

    // Guards against a request that may run again and gets 502 although another backend server
    // would answer it.
    void brokenAnswerIsNotReplacedByAnotherServers()
    {
        std::string repeatable = configuration(1, "k");
        const std::string kind = R"("non_idempotent","timeoutMs":800,)";
        repeatable.replace(repeatable.find(kind), kind.size(), R"("idempotent","timeoutMs":800,)");
        const std::string attempts = R"("attempts":1)";
        repeatable.replace(repeatable.find(attempts), attempts.size(), R"("attempts":2)");
        this->store->put("op/config", repeatable);
        for (const std::string &bytes :
             {"HTTP/1.1 000 X" + plainTail, answerHeadText + "X Y: 1\r\n\r\ndone",
              answerHeadText + "\rX: 1\r\n\r\ndone",
              answerHeadText + "Transfer-Encoding: chunked\r\n\r\n4\r\ndoneXX0\r\n\r\n"}) {
            int brokenAnswers = 0;
            // Whichever of the two servers is asked first sends no answer.
            const RawWorker::AnswerOf answerOf = [&](int) {
                return ++brokenAnswers == 1 ? bytes : "HTTP/1.1 200 OK" + plainTail;
            };
            RawWorker first(*this->loop, answerOf, RawWorker::End::Close);
            RawWorker second(*this->loop, answerOf, RawWorker::End::Close);
            const std::string firstKey = this->add(first, "p");
            const std::string secondKey = this->add(second, "p");
            const Answer answer = this->send("/r/1", "k");
            this->expect(answer.status == 200 && answer.body == "done" && first.requests == 1
                                 && second.requests == 1,
                         bytes, answer);
            this->remove(firstKey, first.record("p"));
            this->remove(secondKey, second.record("p"));
        }
        this->assertNoProblems();
    }

private:
    /// Lines that are no field.
    static std::vector<std::string> invalidFields()
    {
        using namespace std::string_literals;
        return {"X Y: 1"s,
                "X\tY: 1"s,
                "X : 1"s,
                "X\t: 1"s,
                " X: 1"s,
                "\tX: 1"s,
                "X\x01Y: 1"s,
                "\x01X: 1"s,
                "X\x1fY: 1"s,
                "X\x7fY: 1"s,
                "X\0Y: 1"s,
                "\0: 1"s,
                "X\vY: 1"s,
                "\rX: 1"s,
                "X\rY: 1"s,
                "X\r: 1"s,
                "\r: 1"s,
                "\r\r"s,
                "\rContent-Length: 2"s,
                "Content-Length : 2"s,
                "Content Length: 2"s,
                "Content-Length\x01: 2"s,
                "Transfer-Encoding : chunked"s,
                ": 1"s,
                "X"s,
                "X=1"s,
                "(X): 1"s,
                "X/Y: 1"s,
                "\"X\": 1"s,
                "X\xc3\xa4: 1"s};
    }

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
