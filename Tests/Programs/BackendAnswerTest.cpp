#include "Net/EventLoop.h"
#include "Platform/RawWorker.h"
#include "Platform/SteppedWorker.h"
#include "Programs/BackendCaller.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TestTimeout{2000};
constexpr milliseconds SettleTime{30};
/// More than the sockets between an agent and a backend server that does not read take.
constexpr std::size_t LongUploadBytes = 8U << 20U;

const std::string plainTail = "\r\nContent-Length: 4\r\n\r\ndone";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

/// What an agent gets from its backend server.
struct Result
{
    std::vector<int> statuses;
    std::string body;
    bool isWhole = false;
    bool isFailed = false;

    bool isOver() const { return this->isWhole || this->isFailed; }
    std::string text() const
    {
        std::string text = this->isWhole ? "whole" : this->isFailed ? "failed" : "open";
        for (const int status : this->statuses)
            text += " " + std::to_string(status);
        return text + ", " + std::to_string(this->body.size()) + " bytes";
    }
};

} // namespace

/// Tests that an agent takes an answer of its backend server for one only if it is one, and for a
/// complete one only if it is.
class BackendAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendAnswerTest);
    CPPUNIT_TEST(invalidAnswerPasses);
    CPPUNIT_TEST(interimAnswerPassesForTheAnswer);
    CPPUNIT_TEST(resetAnswerPassesForComplete);
    CPPUNIT_TEST(streamThatEndsInsideAnEventPassesForComplete);
    CPPUNIT_TEST(unusualAnswerIsLost);
    CPPUNIT_TEST(earlyAnswerToALongUploadIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are no answer in HTTP/1.1 and that an agent passes on as one.
    void invalidAnswerPasses()
    {
        using namespace std::string_literals;
        for (const char *status : {"000", "0", "99", "0200", "600", "999", "-1", "200x", "2e2"})
            this->expectFailure(status, "HTTP/1.1 " + std::string(status) + " Text" + plainTail);
        for (const char *start :
             {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 101 Switch"})
            this->expectFailure(start, start + plainTail);
        for (const std::string &line :
             {"X Y: 1"s, "X : 1"s, "X\x01Y: 1"s, "X\0Y: 1"s, "\rX: 1"s, "X\rY: 1"s, "(X): 1"s,
              ": 1"s, "X"s, "X: \x01"s, "X: a\rb"s, "X: a\0b"s, "Content-Length : 2"s,
              "Content Length: 2"s, "Transfer-Encoding : chunked"s,
              "Content-Length: 2\r\nContent-Length: 4"s, "Content-Length: 2, 4"s,
              "Transfer-Encoding: gzip, chunked"s, "Transfer-Encoding: gzip"s}) {
            this->expectFailure(line + " first", "HTTP/1.1 200 OK\r\n" + line + plainTail);
            this->expectFailure(line, "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\ndone");
        }
        for (const char *body :
             {"4\r\ndoneXX0\r\n\r\n", "4\r\ndone0\r\n\r\n", "4\r\ndone\n\n0\r\n\r\n",
              "4 x\r\ndone\r\n0\r\n\r\n", "0x4\r\ndone\r\n0\r\n\r\n", "4x\r\ndone\r\n0\r\n\r\n",
              "+4\r\ndone\r\n0\r\n\r\n", "4\r\ndone\r\n0\r\nX Y: 1\r\n\r\n", "4\r\ndone\r\n",
              "4\r\ndone\r\n0\r\n", "4\r\ndone\r\n0\r\nX: 1\r\n"})
            this->expectFailure(body, chunkedHead + body);
        this->assertNoProblems();
    }

    // Guards against a head with the status 100 or 103 that an agent passes on as that of the
    // answer.
    void interimAnswerPassesForTheAnswer()
    {
        for (const char *interim :
             {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
              "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"})
            this->expectAnswer(interim, interim + ("HTTP/1.1 201 Made" + plainTail), 201, "done");
        this->assertNoProblems();
    }

    // Guards against the part of an answer that arrived before a reset and passes for a complete
    // one.
    void resetAnswerPassesForComplete()
    {
        for (const std::string &bytes :
             {std::string("HTTP/1.1 200 OK\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\n\r\npart"),
              streamHead + "\r\ndata: x\n\n", std::string("HTTP/1.1 500 Oops\r\n\r\npart"),
              "HTTP/1.1 200 OK" + plainTail.substr(0, plainTail.size() - 1)}) {
            for (const std::size_t upload : {std::size_t(1), LongUploadBytes}) {
                for (const bool isReadFirst : {false, true}) {
                    const Result result =
                            this->play(bytes, upload, isReadFirst, SteppedWorker::End::Reset);
                    this->expect(result.isFailed,
                                 bytes + " upload " + std::to_string(upload)
                                         + (isReadFirst ? " read first" : ""),
                                 result);
                }
            }
        }
        this->assertNoProblems();
    }

    // Guards against a stream whose backend server stopped inside an event and that an agent passes
    // on as a complete one.
    void streamThatEndsInsideAnEventPassesForComplete()
    {
        const std::string events = "data: x\n\ndata: y\n\n";
        for (const std::string part : {"d", "data: z", "data: z\n", "id: 3\n", "data: z\r\n"}) {
            this->expectFailure(part, streamHead + "\r\n" + events + part);
            const std::string body = events + part;
            this->expectFailure(part + " with a length",
                                streamHead + "Content-Length: " + std::to_string(body.size())
                                        + "\r\n\r\n" + body);
        }
        for (const std::string &whole :
             {events, std::string(), events + "\n", std::string("data: x\r\n\r\ndata: y\r\n\r\n"),
              std::string(": comment\n\n")})
            this->expectAnswer(whole, streamHead + "\r\n" + whole, 200, whole);
        this->assertNoProblems();
    }

    // Guards against a check that takes a whole answer for a broken one.
    void unusualAnswerIsLost()
    {
        for (const int status : {200, 299, 404, 429, 503, 599})
            this->expectAnswer(std::to_string(status),
                               "HTTP/1.1 " + std::to_string(status) + " Text" + plainTail, status,
                               "done");
        for (const char *start : {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK"})
            this->expectAnswer(start, start + plainTail, 200, "done");
        for (const char *line :
             {"!#$%&'*+-.^_`|~: 1", "X:", "X: a\tb", "X: \xc3\xa4", "X: a\r\n b"})
            this->expectAnswer(line, "HTTP/1.1 200 OK\r\n" + std::string(line) + plainTail, 200,
                               "done");
        for (const char *body :
             {"4\r\ndone\r\n0\r\n\r\n", "0004\r\ndone\r\n000\r\n\r\n",
              "4;a=\"b c\"\r\ndone\r\n0;e\r\n\r\n", "1\r\nd\r\n3\r\none\r\n0\r\nX: 1\r\n\r\n"})
            this->expectAnswer(body, chunkedHead + body, 200, "done");
        this->expectAnswer("204", "HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\n", 204, {});
        this->expectAnswer("304", "HTTP/1.1 304 Same\r\nContent-Length: 4\r\n\r\n", 304, {});
        this->expectAnswer("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 200, {}, "HEAD");
        for (const char *body : {"", "done"})
            this->expectAnswer("ends with the connection",
                               std::string("HTTP/1.1 200 OK\r\n\r\n") + body, 200, body);
        this->assertNoProblems();
    }

    // Guards against a whole answer that is lost because it came before the request was written.
    void earlyAnswerToALongUploadIsLost()
    {
        using End = SteppedWorker::End;
        for (const bool isReadFirst : {false, true}) {
            const Result reset = this->play("HTTP/1.1 413 Long" + plainTail, LongUploadBytes,
                                            isReadFirst, End::Reset);
            this->expect(reset.isWhole && reset.body == "done", "with a length, reset", reset);
            for (const End end : {End::Close, End::CloseThenReset}) {
                const Result result = this->play("HTTP/1.1 413 Long\r\n\r\ndone", LongUploadBytes,
                                                 isReadFirst, end);
                this->expect(result.isWhole && result.body == "done",
                             std::string("ends with the connection")
                                     + (end == End::Close ? "" : ", then reset")
                                     + (isReadFirst ? ", read first" : ""),
                             result);
            }
        }
        this->assertNoProblems();
    }

private:
    static WorkMessage::Request request(const std::string &method)
    {
        WorkMessage::Request request;
        request.requestId = "r1";
        request.method = method;
        request.path = "/v1/records";
        return request;
    }

    BackendCaller::EventHandler collect(Result &result)
    {
        return [&result](const AgentEvent::Any &event) {
            if (const auto *head = std::get_if<AgentEvent::BackendHead>(&event))
                result.statuses.push_back(head->head.status);
            else if (const auto *data = std::get_if<AgentEvent::BackendData>(&event))
                result.body += data->data;
            result.isWhole =
                    result.isWhole || std::holds_alternative<AgentEvent::BackendEnd>(event);
            result.isFailed =
                    result.isFailed || std::holds_alternative<AgentEvent::BackendFailed>(event);
        };
    }

    Result call(const std::string &bytes, const std::string &method)
    {
        Result result;
        RawWorker server(this->loop, bytes, RawWorker::End::Close);
        BackendCaller caller(this->loop, server.address, this->collect(result));
        caller.call(request(method));
        this->loop.runUntil([&] { return result.isOver(); }, TestTimeout);
        return result;
    }

    /// Uploads a request to a server that answers before it has read it, and then ends the
    /// connection.
    Result play(const std::string &bytes, std::size_t upload, bool isReadFirst,
                SteppedWorker::End end)
    {
        Result result;
        SteppedWorker server;
        BackendCaller caller(this->loop, server.address, this->collect(result));
        WorkMessage::Request post = request("POST");
        post.body = std::string(upload, 'u');
        caller.call(post);
        this->loop.runUntil([&] { return server.accept(); }, TestTimeout);
        this->loop.runUntil([&] { return server.hasRequest(); }, TestTimeout);
        this->loop.runUntil([] { return false; }, SettleTime);
        server.send(bytes);
        if (isReadFirst)
            this->loop.runUntil([] { return false; }, SettleTime);
        server.end(end);
        this->loop.runUntil([&] { return result.isOver(); }, TestTimeout);
        return result;
    }

    void expectFailure(const std::string &name, const std::string &bytes)
    {
        const Result result = this->call(bytes, "POST");
        this->expect(result.isFailed && !result.isWhole, name, result);
    }

    void expectAnswer(const std::string &name, const std::string &bytes, int status,
                      const std::string &body, const std::string &method = "POST")
    {
        const Result result = this->call(bytes, method);
        this->expect(result.isWhole && result.statuses == std::vector<int>{status}
                             && result.body == body,
                     name, result);
    }

    void expect(bool isRight, const std::string &name, const Result &result)
    {
        if (isRight)
            return;
        std::string printable = name;
        std::replace(printable.begin(), printable.end(), '\0', '?');
        this->problems += "\n" + printable + ": " + result.text();
    }

    void assertNoProblems() { CPPUNIT_ASSERT_EQUAL(std::string(), this->problems); }

    EventLoop loop;
    std::string problems;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendAnswerTest);

} // namespace Nutmegrill
