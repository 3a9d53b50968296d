#include "RawCaller.h"
#include "RelayEntryFixture.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/TestCaller.h>
#include <cppunit/TestSuite.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using Leave = RawCaller::Leave;

/// Time within which a backend server has to be free again after a caller has left.
constexpr milliseconds FreeWithin{500};
/// The entry gets 24 ms of each 100 ms, as with a limit of 0.24 cores.
constexpr milliseconds QuotaPeriod{100};
constexpr milliseconds QuotaPause{76};
/// Longer than FreeWithin: what was ready before the pause must not be sent after it.
constexpr milliseconds LongPause{600};
constexpr milliseconds SettleTime{250};
constexpr int SmallReceiveBuffer = 4096;

/// State of a request when its caller leaves.
enum class State {
    Unread,
    PipelinedUnread,
    Waiting,
    Connecting,
    Sent,
    Streaming,
    ReadingPaused,
    BeforeSecondAttempt,
    SecondAttempt,
    Resumed,
    PlannedStop
};

/// Connection of the entry to the backend server.
enum class Connection { New, Reused };

struct Row
{
    const char *name;
    Leave leave;
    State state;
    Connection connection;
};

constexpr Row Rows[] = {
        {"unread, FIN, new connection", Leave::Fin, State::Unread, Connection::New},
        {"unread, FIN, reused connection", Leave::Fin, State::Unread, Connection::Reused},
        {"unread, reset, new connection", Leave::Reset, State::Unread, Connection::New},
        {"unread, reset, reused connection", Leave::Reset, State::Unread, Connection::Reused},
        {"pipelined, FIN, new connection", Leave::Fin, State::PipelinedUnread, Connection::New},
        {"pipelined, FIN, reused connection", Leave::Fin, State::PipelinedUnread,
         Connection::Reused},
        {"waiting, FIN, new connection", Leave::Fin, State::Waiting, Connection::New},
        {"waiting, FIN, reused connection", Leave::Fin, State::Waiting, Connection::Reused},
        {"waiting, reset, reused connection", Leave::Reset, State::Waiting, Connection::Reused},
        {"connecting, FIN", Leave::Fin, State::Connecting, Connection::New},
        {"connecting, reset", Leave::Reset, State::Connecting, Connection::New},
        {"sent, FIN, new connection", Leave::Fin, State::Sent, Connection::New},
        {"sent, FIN, reused connection", Leave::Fin, State::Sent, Connection::Reused},
        {"sent, reset, new connection", Leave::Reset, State::Sent, Connection::New},
        {"sent, reset, reused connection", Leave::Reset, State::Sent, Connection::Reused},
        {"streaming, FIN, new connection", Leave::Fin, State::Streaming, Connection::New},
        {"streaming, FIN, reused connection", Leave::Fin, State::Streaming, Connection::Reused},
        {"streaming, reset, new connection", Leave::Reset, State::Streaming, Connection::New},
        {"streaming, reset, reused connection", Leave::Reset, State::Streaming, Connection::Reused},
        {"reading paused, FIN", Leave::Fin, State::ReadingPaused, Connection::New},
        {"reading paused, reset", Leave::Reset, State::ReadingPaused, Connection::New},
        {"before second attempt, FIN, new connection", Leave::Fin, State::BeforeSecondAttempt,
         Connection::New},
        {"before second attempt, FIN, reused connection", Leave::Fin, State::BeforeSecondAttempt,
         Connection::Reused},
        {"before second attempt, reset, reused connection", Leave::Reset,
         State::BeforeSecondAttempt, Connection::Reused},
        {"second attempt, FIN, new connection", Leave::Fin, State::SecondAttempt, Connection::New},
        {"second attempt, FIN, reused connection", Leave::Fin, State::SecondAttempt,
         Connection::Reused},
        {"second attempt, reset, new connection", Leave::Reset, State::SecondAttempt,
         Connection::New},
        {"resumed, FIN, new connection", Leave::Fin, State::Resumed, Connection::New},
        {"resumed, reset, reused connection", Leave::Reset, State::Resumed, Connection::Reused},
        {"planned stop, FIN", Leave::Fin, State::PlannedStop, Connection::New},
        {"planned stop, reset", Leave::Reset, State::PlannedStop, Connection::New},
};

/// Worker of the platform that answers warm-up requests and keeps all others open.
struct HoldingWorker
{
    explicit HoldingWorker(EventLoop &loop)
        : address(freeAddress()), loop(loop),
          listener(loop, this->address, 16,
                   [this](HttpListener::Request &&request) { this->serve(request); })
    {
        this->listener.onCallerDisconnected([this](HttpListener::RequestId id) {
            std::erase(this->open, id);
            this->freeAt = this->loop.now();
        });
    }

    void serve(const HttpListener::Request &request)
    {
        auto *connection = this->listener.find(request.id);
        const HttpHead::Headers headers = {{"Attempt-Id", *request.head.find("Attempt-Id")},
                                           {"Response-Seal", "seal"}};
        if (request.path().find("/warm") != std::string_view::npos) {
            connection->reply(200, "OK", headers, "done");
            return;
        }
        ++this->requests;
        this->lastEventId = request.head.find("Last-Event-Id") == nullptr
                                    ? ""
                                    : *request.head.find("Last-Event-Id");
        this->open.push_back(request.id);
        if (this->eventBytes == 0)
            return;
        HttpHead::Headers stream = headers;
        stream.emplace_back("Content-Type", "text/event-stream");
        connection->startStream(200, "OK", stream);
        const int first = this->lastEventId.empty() ? 1 : std::stoi(this->lastEventId) + 1;
        for (int number = first; number < first + this->eventCount; ++number)
            connection->sendChunk("id: " + std::to_string(number)
                                  + "\ndata: " + std::string(this->eventBytes, 'x') + "\n\n");
    }

    void breakOff()
    {
        const auto ending = this->open;
        for (const auto id : ending) {
            if (auto *connection = this->listener.find(id))
                connection->abort();
        }
        this->open.clear();
    }

    std::string record(int slots = 4) const
    {
        return R"({"service":"m","address":")" + this->address + R"(","zone":"n","slots":)"
               + std::to_string(slots) + R"(,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::string address;
    EventLoop &loop;
    HttpListener listener;
    /// 0: no answer is begun.
    std::size_t eventBytes = 0;
    int eventCount = 2;
    int requests = 0;
    std::string lastEventId;
    std::vector<HttpListener::RequestId> open;
    Instant freeAt;
};

/// Listens and never accepts, so that connections stay in the state of being established.
struct FullListener
{
    FullListener() : address(freeAddress()), socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local{};
        parseSocketAddress(this->address, local);
        CPPUNIT_ASSERT_EQUAL(
                0, bind(this->socket, reinterpret_cast<sockaddr *>(&local), sizeof(local)));
        CPPUNIT_ASSERT_EQUAL(0, listen(this->socket, 0));
        this->filler = std::make_unique<RawCaller>(this->address);
    }
    ~FullListener() { close(this->socket); }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    std::string record() const
    {
        return R"({"service":"m","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    /// Bytes on all connections that were established; waits for them.
    std::string receivedWithin(milliseconds time) const
    {
        std::string text;
        const timeval limit{0, static_cast<suseconds_t>(time.count() * 1000)};
        setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        for (int accepted = accept(this->socket, nullptr, nullptr); accepted >= 0;
             accepted = accept(this->socket, nullptr, nullptr)) {
            setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
            char block[256];
            if (const auto size = recv(accepted, block, sizeof(block), 0); size > 0)
                text.append(block, static_cast<std::size_t>(size));
            close(accepted);
        }
        return text;
    }

    std::string address;
    int socket;
    std::unique_ptr<RawCaller> filler;
};

} // namespace

/// Backend servers that go on working for callers that have left, or get their requests afterwards:
/// each way of leaving in each state of a request, on new and reused connections to the backend
/// server. A caller that falls silent is found by the keep-alive of its connection, which loopback
/// cannot suppress; its settings are checked by ListenerTest::silentCallersAreProbed.
class CallerLeavesTest : public RelayEntryFixture
{
public:
    static CppUnit::Test *suite()
    {
        auto *suite = new CppUnit::TestSuite("CallerLeavesTest");
        for (const Row &row : Rows) {
            auto *fixture = new CallerLeavesTest;
            suite->addTest(new CppUnit::TestCaller<CallerLeavesTest>(
                    std::string("CallerLeavesTest::workGoesOn: ") + row.name,
                    [fixture, &row] { fixture->play(row); }, fixture));
        }
        return suite;
    }

    void tearDown() override
    {
        this->quota.reset();
        this->caller.reset();
        this->other.reset();
        this->second.reset();
        this->worker.reset();
        RelayEntryFixture::tearDown();
    }

private:
    void play(const Row &row)
    {
        this->worker = std::make_unique<HoldingWorker>(*this->loop);
        this->second = std::make_unique<HoldingWorker>(*this->loop);
        this->store->put("op/config", configuration(1, "k"));
        if (row.connection == Connection::Reused) {
            this->warmUp(*this->worker);
            this->warmUp(*this->second);
        }
        if (row.state == State::Connecting) {
            this->leaveWhileConnecting(row);
            return;
        }
        // The second worker is known only once the first one has the request.
        this->store->put("servers/i-1", this->worker->record(row.state == State::Waiting ? 1 : 4));
        this->quota =
                this->loop->every(QuotaPeriod, [] { std::this_thread::sleep_for(QuotaPause); });
        (this->*actionOf(row.state))(row);
    }

    using Action = void (CallerLeavesTest::*)(const Row &);

    static Action actionOf(State state)
    {
        switch (state) {
        case State::Unread:
            return &CallerLeavesTest::leaveUnread;
        case State::PipelinedUnread:
            return &CallerLeavesTest::leavePipelined;
        case State::Waiting:
            return &CallerLeavesTest::leaveWhileWaiting;
        case State::Connecting:
            return &CallerLeavesTest::leaveWhileConnecting;
        case State::Sent:
        case State::Streaming:
        case State::ReadingPaused:
            return &CallerLeavesTest::leaveWhileRunning;
        case State::BeforeSecondAttempt:
            return &CallerLeavesTest::leaveBeforeSecondAttempt;
        case State::SecondAttempt:
        case State::Resumed:
            return &CallerLeavesTest::leaveAtSecondAttempt;
        case State::PlannedStop:
            return &CallerLeavesTest::leaveInPlannedStop;
        }
        return nullptr;
    }

    static std::string requestText(const std::string &target = "/s/1")
    {
        return "POST " + target
               + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\n"
                 "Credential: k\r\nContent-Length: 0\r\n\r\n";
    }

    /// Leaves an idle connection to the worker in the entry's pool.
    void warmUp(const HoldingWorker &warmed)
    {
        const std::string key = &warmed == this->worker.get() ? "servers/i-1" : "servers/i-2";
        this->store->put(key, warmed.record());
        const Answer answer = this->send("/s/warm", "k");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        this->store->put(key, draining(warmed.record()));
    }

    void run(milliseconds time)
    {
        this->loop->runUntil([] { return false; }, time);
    }

    void startCaller(int receiveBuffer = 0)
    {
        this->caller = std::make_unique<RawCaller>(this->options.callerAddress, receiveBuffer);
        CPPUNIT_ASSERT(this->caller->isConnected());
        this->caller->send(requestText());
    }

    void waitForRequest(const HoldingWorker &at)
    {
        CPPUNIT_ASSERT(this->loop->runUntil([&] { return at.requests > 0; }, TestTimeout));
    }

    /// The caller leaves, and the worker has to be free soon afterwards.
    void leaveAndExpectFree(Leave leave, const HoldingWorker &at)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), at.open.size());
        const Instant leftAt = this->loop->now();
        this->caller->leave(leave);
        this->loop->runUntil([&] { return at.open.empty(); }, TestTimeout);
        CPPUNIT_ASSERT(at.open.empty());
        CPPUNIT_ASSERT(at.freeAt - leftAt < FreeWithin);
    }

    void leaveUnread(const Row &row)
    {
        this->startCaller();
        this->caller->leave(row.leave);
        std::this_thread::sleep_for(LongPause);
        this->run(SettleTime);
        CPPUNIT_ASSERT_EQUAL(0, this->worker->requests);
    }

    void leavePipelined(const Row &row)
    {
        this->startCaller();
        this->caller->send(requestText());
        this->caller->leave(row.leave);
        std::this_thread::sleep_for(LongPause);
        this->run(SettleTime);
        CPPUNIT_ASSERT_EQUAL(0, this->worker->requests);
    }

    void leaveWhileWaiting(const Row &row)
    {
        this->other = std::make_unique<RawCaller>(this->options.callerAddress);
        this->other->send(requestText());
        this->waitForRequest(*this->worker);
        this->startCaller();
        this->run(SettleTime);
        CPPUNIT_ASSERT_EQUAL(1, this->worker->requests);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->caller->received());
        // Both the place and the caller have gone when the entry looks again.
        this->caller->leave(row.leave);
        this->other->leave(row.leave);
        std::this_thread::sleep_for(LongPause);
        this->loop->runUntil([this] { return this->worker->open.empty(); }, FreeWithin);
        CPPUNIT_ASSERT(this->worker->open.empty());
        this->run(SettleTime);
        CPPUNIT_ASSERT_EQUAL(1, this->worker->requests);
    }

    void leaveWhileConnecting(const Row &row)
    {
        const FullListener full;
        this->store->put("servers/i-3", full.record());
        this->startCaller();
        this->run(milliseconds(100));
        this->caller->leave(row.leave);
        this->run(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::string(), full.receivedWithin(milliseconds(999)));
    }

    void leaveWhileRunning(const Row &row)
    {
        const bool isPaused = row.state == State::ReadingPaused;
        this->worker->eventBytes = row.state == State::Sent ? 0 : isPaused ? 100000 : 10;
        this->worker->eventCount = isPaused ? 100 : 2;
        this->startCaller(isPaused ? SmallReceiveBuffer : 0);
        this->waitForRequest(*this->worker);
        this->run(SettleTime);
        if (isPaused)
            CPPUNIT_ASSERT(this->worker->listener.find(this->worker->open.front())->pendingBytes()
                           > 0);
        this->leaveAndExpectFree(row.leave, *this->worker);
    }

    void leaveBeforeSecondAttempt(const Row &row)
    {
        this->startCaller();
        this->waitForRequest(*this->worker);
        this->store->put("servers/i-2", this->second->record());
        // The first attempt ends and the caller leaves while the entry does something else.
        this->worker->breakOff();
        this->caller->leave(row.leave);
        std::this_thread::sleep_for(LongPause);
        this->run(SettleTime);
        CPPUNIT_ASSERT_EQUAL(0, this->second->requests);
    }

    void leaveAtSecondAttempt(const Row &row)
    {
        const bool isResumed = row.state == State::Resumed;
        this->worker->eventBytes = this->second->eventBytes = isResumed ? 10 : 0;
        this->startCaller();
        this->waitForRequest(*this->worker);
        this->run(SettleTime);
        this->store->put("servers/i-2", this->second->record());
        this->worker->breakOff();
        this->waitForRequest(*this->second);
        CPPUNIT_ASSERT_EQUAL(std::string(isResumed ? "2" : ""), this->second->lastEventId);
        this->leaveAndExpectFree(row.leave, *this->second);
    }

    void leaveInPlannedStop(const Row &row)
    {
        this->startCaller();
        this->waitForRequest(*this->worker);
        this->loop->after(milliseconds(0), [] { std::raise(SIGTERM); });
        this->run(SettleTime);
        this->leaveAndExpectFree(row.leave, *this->worker);
    }

    std::unique_ptr<HoldingWorker> worker;
    std::unique_ptr<HoldingWorker> second;
    std::unique_ptr<RawCaller> caller;
    std::unique_ptr<RawCaller> other;
    std::unique_ptr<EventLoop::Timer> quota;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLeavesTest);

} // namespace Nutmegrill
