#include "Net/EndlessServer.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using namespace std::chrono_literals;

constexpr const char *Address = "127.0.0.1:21160";
/// What a call may take: a quarter of the memory of a node, 256 MB.
constexpr std::size_t MaxTakenBytes = 64U << 20U;

} // namespace

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(completeResponseArrives);
    CPPUNIT_TEST(streamedResponseArrivesInChunks);
    CPPUNIT_TEST(abortedResponseIsReportedAsBroken);
    CPPUNIT_TEST(refusedConnectionIsReportedAsNotConnected);
    CPPUNIT_TEST(callerDisconnectIsReported);
    CPPUNIT_TEST(pausedCallAppliesBackpressure);
    CPPUNIT_TEST(oversizedBodyIsRejected);
    CPPUNIT_TEST(rejectionOfAnOversizedBodyIsLost);
    CPPUNIT_TEST(answerWithoutEndFillsTheMemory);
    CPPUNIT_TEST(idleCallIsReportedAsBroken);
    CPPUNIT_TEST(pausedCallIsIdle);
    CPPUNIT_TEST(pathOrValueAddsAHeader);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        HttpServer::Limits limits;
        limits.bodyBytes = 1U << 20U;
        this->server = std::make_unique<HttpServer>(
                *this->loop, Address, limits,
                [this](const HttpServer::Request &request) { this->requests.push_back(request); });
        CPPUNIT_ASSERT(this->server->isListening());
        this->client = std::make_unique<HttpClient>(*this->loop);
    }

    void tearDown() override
    {
        this->client.reset();
        this->server.reset();
        this->loop->runUntil([] { return false; }, 20ms);
        this->loop.reset();
        this->requests.clear();
    }

    // Guards against headers, bodies or paths that are lost between client and server.
    void completeResponseArrives()
    {
        HttpClient::Request request;
        request.method = "POST";
        request.path = "/a%20b?c=d";
        request.headers = {{"X-Request-Id", "r1"}};
        request.body = "question";
        int status = 0;
        std::string body;
        this->client->fetch(Address, request, [&](int code, std::string text) {
            status = code;
            body = std::move(text);
        });
        this->waitFor([&] { return !this->requests.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("/a b"), this->requests[0].path);
        CPPUNIT_ASSERT_EQUAL(std::string("c=d"), this->requests[0].query);
        CPPUNIT_ASSERT_EQUAL(std::string("question"), this->requests[0].body);
        CPPUNIT_ASSERT(this->requests[0].header("x-request-id") == "r1");
        this->server->reply(this->requests[0].id, 201, {}, "answer");
        this->waitFor([&] { return status != 0; });
        CPPUNIT_ASSERT_EQUAL(201, status);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), body);
    }

    // Guards against a streamed response that is buffered until its end.
    void streamedResponseArrivesInChunks()
    {
        std::string body;
        bool ended = false;
        this->beginStream(body, ended);
        CPPUNIT_ASSERT(!ended);
        this->server->sendChunk(this->requests[0].id, "two");
        this->server->endReply(this->requests[0].id);
        this->waitFor([&] { return ended; });
        CPPUNIT_ASSERT_EQUAL(std::string("one two"), body);
    }

    // Guards against a truncated stream that is taken for a complete response.
    void abortedResponseIsReportedAsBroken()
    {
        std::string body;
        bool ended = false;
        this->beginStream(body, ended);
        this->server->abort(this->requests[0].id);
        this->waitFor([&] { return !this->failures.empty(); });
        CPPUNIT_ASSERT(!ended);
        CPPUNIT_ASSERT(this->failures[0] == HttpClient::Failure::Broken);
    }

    // Guards against a call that is taken for sent although no byte was written.
    void refusedConnectionIsReportedAsNotConnected()
    {
        std::string body;
        bool ended = false;
        this->client->call("127.0.0.1:9", {}, this->handlers(body, ended));
        this->client->call("malformed", {}, this->handlers(body, ended));
        this->waitFor([&] { return this->failures.size() == 2; });
        CPPUNIT_ASSERT(this->failures[0] == HttpClient::Failure::NotConnected);
        CPPUNIT_ASSERT(this->failures[1] == HttpClient::Failure::NotConnected);
    }

    // Guards against a request that continues after its caller has disconnected.
    void callerDisconnectIsReported()
    {
        std::vector<HttpServer::RequestId> disconnected;
        this->server->onCallerDisconnected(
                [&](HttpServer::RequestId id) { disconnected.push_back(id); });
        std::string body;
        bool ended = false;
        const auto call = this->beginStream(body, ended);
        this->client->cancel(call);
        this->waitFor([&] { return !disconnected.empty(); });
        CPPUNIT_ASSERT_EQUAL(this->requests[0].id, disconnected[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->openRequestCount());
    }

    // Guards against unbounded buffering of a response for a slow reader.
    void pausedCallAppliesBackpressure()
    {
        std::string body;
        bool ended = false;
        const auto call = this->beginStream(body, ended);
        const auto id = this->requests[0].id;
        this->client->pause(call, true);
        this->loop->runUntil([] { return false; }, 20ms);
        const std::size_t total = 32U << 20U;
        this->server->sendChunk(id, std::string(total, 'x'));
        this->loop->runUntil([] { return false; }, 200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), body.size());
        CPPUNIT_ASSERT(this->server->pendingBytes(id) > total / 4);
        this->client->pause(call, false);
        this->server->endReply(id);
        this->waitFor([&] { return ended; });
        CPPUNIT_ASSERT_EQUAL(total + 4, body.size());
    }

    // Guards against a request body that exhausts memory.
    void oversizedBodyIsRejected()
    {
        HttpClient::Request request;
        request.method = "POST";
        request.body = std::string(2U << 20U, 'x');
        int status = -1;
        this->client->fetch(Address, request,
                            [&](int code, const std::string &) { status = code; });
        this->waitFor([&] { return status != -1; });
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT(status == 413 || status == 0);
    }

    // A caller that is still sending when the connection closes gets a reset, which overtakes the
    // answer.
    void rejectionOfAnOversizedBodyIsLost()
    {
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(21160);
        CPPUNIT_ASSERT_EQUAL(
                0, ::connect(caller, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n"
                           + std::string(5'000'000, 'a');
        while (!text.empty()) {
            const auto sent = ::send(caller, text.data(), std::min<std::size_t>(text.size(), 65536),
                                     MSG_DONTWAIT | MSG_NOSIGNAL);
            CPPUNIT_ASSERT_MESSAGE("connection closed with " + std::to_string(text.size())
                                           + " bytes to send",
                                   sent >= 0 || errno == EAGAIN);
            text.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
            this->loop->runUntil([] { return false; }, 1ms);
        }
        std::string answer;
        this->waitFor([&] {
            std::string block(1024, '\0');
            const auto length = ::recv(caller, block.data(), block.size(), MSG_DONTWAIT);
            answer.append(block, 0, static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
            return !answer.empty();
        });
        ::close(caller);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), answer.substr(0, 12));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    // Guards against a client that keeps all bytes of a faulty server which never ends a head, a
    // body, a chunk or the trailers.
    void answerWithoutEndFillsTheMemory()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> answers = {
                {"HTTP/1.1 200 OK\r\nX: ", "a"},
                {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
                {"no", " answer "},
                {"HTTP/1.1 200 OK\r\n\r\n", "no answer "},
                {chunked + "7fffffff\r\n", "no answer "},
                {chunked + "0\r\n", "X: a\r\n"}};
        for (const auto &[begin, text] : answers) {
            const EndlessServer endless(*this->loop, begin, text);
            int status = -1;
            this->client->fetch(endless.address, HttpClient::Request(),
                                [&](int code, const std::string &) { status = code; });
            this->loop->runUntil(
                    [&] { return status >= 0 || endless.sentBytes > 2 * MaxTakenBytes; }, 5000ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(begin, 0, status);
            this->loop->runUntil([&] { return endless.openConnections() == 0; }, 1000ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(begin, std::size_t(0), endless.openConnections());
            CPPUNIT_ASSERT_MESSAGE(begin, endless.sentBytes < MaxTakenBytes);
        }
    }

    // Guards against a call that waits without end for a server that has stopped to answer.
    void idleCallIsReportedAsBroken()
    {
        std::string body;
        bool ended = false;
        HttpClient::Request request;
        request.idleTimeout = 1s;
        this->client->call(Address, request, this->handlers(body, ended));
        this->waitFor([&] { return !this->requests.empty(); });
        this->server->startReply(this->requests[0].id, 200, {});
        // Progress extends the time.
        for (int part = 0; part < 3; ++part) {
            this->loop->runUntil([] { return false; }, 600ms);
            CPPUNIT_ASSERT(this->failures.empty());
            this->server->sendChunk(this->requests[0].id, "x");
        }
        this->waitFor([&] { return !this->failures.empty(); });
        CPPUNIT_ASSERT(!ended);
        CPPUNIT_ASSERT(this->failures[0] == HttpClient::Failure::Broken);
        CPPUNIT_ASSERT_EQUAL(std::string("xxx"), body);
    }

    // Guards against a call that fails because its own reader has paused it.
    void pausedCallIsIdle()
    {
        std::string body;
        bool ended = false;
        HttpClient::Request request;
        request.idleTimeout = 1s;
        const auto call = this->client->call(Address, request, this->handlers(body, ended));
        this->waitFor([&] { return !this->requests.empty(); });
        this->server->startReply(this->requests[0].id, 200, {});
        this->client->pause(call, true);
        this->loop->runUntil([] { return false; }, 1500ms);
        this->client->pause(call, false);
        this->server->sendChunk(this->requests[0].id, "x");
        this->server->endReply(this->requests[0].id);
        this->waitFor([&] { return ended; });
        CPPUNIT_ASSERT(this->failures.empty());
    }

    // Guards against a caller that adds a header to the request of an agent by an encoded line end.
    void pathOrValueAddsAHeader()
    {
        HttpClient::Request request;
        request.path = "/a b HTTP/1.1\r\nX-Added: 1\r\n";
        request.headers = {{"X-Value", "1\r\nX-Added: 2"}};
        int status = -1;
        this->client->fetch(Address, request,
                            [&](int code, const std::string &) { status = code; });
        this->waitFor([&] { return !this->requests.empty() || status != -1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());
        CPPUNIT_ASSERT_EQUAL(request.path, this->requests[0].path);
        CPPUNIT_ASSERT(this->requests[0].header("x-added").empty());
        this->server->reply(this->requests[0].id, 200, {}, {});
        this->waitFor([&] { return status != -1; });
    }

private:
    /// Starts a call; the server sends "one ", the first chunk of a streamed response.
    HttpClient::CallId beginStream(std::string &body, bool &ended)
    {
        const auto call = this->client->call(Address, {}, this->handlers(body, ended));
        this->waitFor([&] { return !this->requests.empty(); });
        this->server->startReply(this->requests[0].id, 200, {});
        this->server->sendChunk(this->requests[0].id, "one ");
        this->waitFor([&] { return body == "one "; });
        return call;
    }

    HttpClient::Handlers handlers(std::string &body, bool &ended)
    {
        HttpClient::Handlers handlers;
        handlers.onData = [&body](std::string_view data) { body.append(data); };
        handlers.onEnd = [&ended] { ended = true; };
        handlers.onFailure = [this](HttpClient::Failure failure) {
            this->failures.push_back(failure);
        };
        return handlers;
    }

    void waitFor(const std::function<bool()> &done)
    {
        CPPUNIT_ASSERT(this->loop->runUntil(done, 5s));
    }

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
    std::vector<HttpServer::Request> requests;
    std::vector<HttpClient::Failure> failures;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace Nutmegrill
