#include "RelayShell/RelayEntry.h"
#include "Net/EndlessServer.h"
#include "RawWorker.h"
#include "RelayEntryFixture.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <set>
#include <vector>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Twice the largest answer that an entry buffers.
constexpr std::size_t MaxEndlessBytes = 8U << 20U;

/// Emulated worker of the platform. With breaksOff, its streams stop within the third event.
struct Worker
{
    Worker(EventLoop &loop, std::string id, bool breaksOff)
        : address(freeAddress()), id(std::move(id)),
          listener(loop, this->address, 16, [this, breaksOff](HttpListener::Request &&request) {
              this->serve(request, breaksOff);
          })
    {}

    void serve(const HttpListener::Request &request, bool breaksOff)
    {
        auto *connection = this->listener.find(request.id);
        ++this->requests;
        this->lastTenant = *request.head.find("Tenant");
        this->sawKey = request.head.find("Credential") != nullptr;
        const HttpHead::Headers headers = {{"Attempt-Id", *request.head.find("Attempt-Id")},
                                           {"Response-Seal", "seal-" + this->id}};
        if (request.path().substr(0, 3) == "/r/") {
            connection->reply(200, "OK", headers, "done:" + request.body);
            return;
        }
        HttpHead::Headers stream = headers;
        stream.emplace_back("Content-Type", "text/event-stream");
        connection->startStream(200, "OK", stream);
        const std::string *last = request.head.find("Last-Event-Id");
        const int first = last == nullptr ? 1 : std::stoi(*last) + 1;
        for (int number = first; number <= (breaksOff ? 2 : 4); ++number)
            connection->sendChunk("id: " + std::to_string(number) + "\ndata: x\n\n");
        if (!breaksOff) {
            connection->endStream();
            return;
        }
        // An incomplete event; the stream stays open until abortBrokenStreams().
        connection->sendChunk("id: 3\nda");
        this->brokenStreams.push_back(request.id);
    }

    void abortBrokenStreams()
    {
        for (const auto request : this->brokenStreams) {
            if (auto *connection = this->listener.find(request))
                connection->abort();
        }
        this->brokenStreams.clear();
    }

    std::string record(const std::string &service) const
    {
        return R"({"service":")" + service + R"(","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::string address;
    std::string id;
    HttpListener listener;
    int requests = 0;
    std::string lastTenant;
    bool sawKey = false;
    std::vector<HttpListener::RequestId> brokenStreams;
};

/// Worker whose answers have no end: each repeats a text until the connection is closed.
struct EndlessWorker
{
    EndlessWorker(EventLoop &loop, std::string text, const std::string &contentType)
        : address(freeAddress()), text(std::move(text)),
          listener(loop, this->address, 16,
                   [this, contentType](HttpListener::Request &&request) {
                       auto *connection = this->listener.find(request.id);
                       connection->startStream(200, "OK",
                                               {{"Attempt-Id", *request.head.find("Attempt-Id")},
                                                {"Response-Seal", "seal-endless"},
                                                {"Content-Type", contentType}});
                       this->open.insert(request.id);
                   }),
          timer(loop.every(milliseconds(1), [this] { this->sendMore(); }))
    {
        this->listener.onCallerDisconnected(
                [this](HttpListener::RequestId id) { this->open.erase(id); });
    }

    void sendMore()
    {
        for (const auto id : this->open) {
            std::string block;
            while (block.size() < 32768)
                block += this->text;
            this->listener.find(id)->sendChunk(block);
            this->sentBytes += block.size();
        }
    }

    std::string record(const std::string &service) const
    {
        return R"({"service":")" + service + R"(","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::string address;
    std::string text;
    std::size_t sentBytes = 0;
    std::set<HttpListener::RequestId> open;
    HttpListener listener;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace

class RelayEntryTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(RelayEntryTest);
    CPPUNIT_TEST(entryIsNotReadyWithoutConfiguration);
    CPPUNIT_TEST(nonStreamAnswerIsRelayedUnchanged);
    CPPUNIT_TEST(brokenStreamIsResumedWithinOneAnswer);
    CPPUNIT_TEST(answersWithoutEndAreGivenUp);
    CPPUNIT_TEST(headsWithoutEndAreGivenUp);
    CPPUNIT_TEST(answerThatEndsWithItsConnectionIsLost);
    CPPUNIT_TEST(resetAnswerWithoutLengthPassesForComplete);
    CPPUNIT_TEST(streamThatEndsInsideAnEventPassesForComplete);
    CPPUNIT_TEST(crashesOfRealServersAreNotCounted);
    CPPUNIT_TEST(revokedKeyIsRefused);
    CPPUNIT_TEST(requestsDuringPlannedStopAreServed);
    CPPUNIT_TEST(changedGraceTimeAppliesToNextStop);
    CPPUNIT_TEST(documentedMetricsAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void entryIsNotReadyWithoutConfiguration()
    {
        CPPUNIT_ASSERT_EQUAL(503, this->get(this->options.readinessAddress, "/readiness").status);
        CPPUNIT_ASSERT_EQUAL(503, this->send("/r/1", "k").status);
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(200, this->get(this->options.readinessAddress, "/readiness").status);
        const Answer lookup = this->get(this->options.directoryAddress, "/lookup?name=h.example");
        CPPUNIT_ASSERT(lookup.body.find(this->options.callerAddress) != std::string::npos);
    }

    void nonStreamAnswerIsRelayedUnchanged()
    {
        Worker worker(*this->loop, "i-1", false);
        this->store->put("op/config", configuration(1, "k"));
        this->store->put("servers/i-1", worker.record("p"));
        const Answer answer = this->send("/r/1?a=b", "k", "pail");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done:pail"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("seal-i-1"), *answer.head.find("Response-Seal"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), worker.lastTenant);
        CPPUNIT_ASSERT(!worker.sawKey);
    }

    // Guards against partial, missing or repeated events and a second response head when a broken
    // stream continues on another backend server.
    void brokenStreamIsResumedWithinOneAnswer()
    {
        Worker broken(*this->loop, "i-1", true);
        this->store->put("op/config", configuration(1, "k"));
        this->store->put("servers/i-1", broken.record("m"));
        Answer answer;
        this->start("/s/1", "k", {}, answer);
        this->loop->runUntil([&] { return answer.body.find("id: 2") != std::string::npos; },
                             TestTimeout);
        Worker healthy(*this->loop, "i-2", false);
        this->store->put("servers/i-2", healthy.record("m"));
        broken.abortBrokenStreams();
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        CPPUNIT_ASSERT(answer.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
                                         "id: 4\ndata: x\n\n"),
                             answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("seal-i-1"), *answer.head.find("Response-Seal"));
        CPPUNIT_ASSERT_EQUAL(1, healthy.requests);
    }

    // Guards against an answer without end that is buffered or passed on until the deadline.
    void answersWithoutEndAreGivenUp()
    {
        this->store->put("op/config", configuration(1, "k"));
        for (const std::string text : {"no answer ", "no answer\n\n"}) {
            EndlessWorker endless(*this->loop, text, "text/event-stream");
            this->store->put("servers/i-1", endless.record("m"));
            const Answer stream = this->send("/s/1", "k");
            CPPUNIT_ASSERT(stream.isOver && (stream.status == 502 || !stream.isWhole));
            CPPUNIT_ASSERT(this->loop->runUntil([&] { return endless.open.empty(); }, TestTimeout));
            CPPUNIT_ASSERT(endless.sentBytes < MaxEndlessBytes);
        }
        EndlessWorker plain(*this->loop, "no answer ", "text/plain");
        this->store->put("servers/i-2", plain.record("p"));
        CPPUNIT_ASSERT_EQUAL(502, this->send("/r/1", "k").status);
        CPPUNIT_ASSERT(plain.open.empty() && plain.sentBytes < MaxEndlessBytes);
    }

    // The same for a head, before and after the status line.
    void headsWithoutEndAreGivenUp()
    {
        this->store->put("op/config", configuration(1, "k"));
        int start = 0;
        for (const auto &[begin, text] :
             {std::pair("no", " answer "), std::pair("HTTP/1.1 200 OK\r\nX: ", "a"),
              std::pair("HTTP/1.1 200 OK\r\n", "X: a\r\n")}) {
            const EndlessServer endless(*this->loop, begin, text);
            this->store->put("servers/i-1",
                             R"({"service":"p","address":")" + endless.address
                                     + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,)"
                                       R"("born":)"
                                     + std::to_string(++start) + "}");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(begin, 502, this->send("/r/1", "k").status);
            CPPUNIT_ASSERT_MESSAGE(
                    begin, this->loop->runUntil([&] { return endless.openConnections() == 0; },
                                                TestTimeout));
            CPPUNIT_ASSERT_MESSAGE(begin, endless.sentBytes < MaxEndlessBytes);
        }
    }

    // An answer, also a stream, without a length and without chunks.
    void answerThatEndsWithItsConnectionIsLost()
    {
        this->store->put("op/config", configuration(1, "k"));
        RawWorker plain(*this->loop, answerHeadText + "\r\nwhole", RawWorker::End::Close);
        this->store->put("servers/i-1", plain.record("p"));
        const Answer answer = this->send("/r/1", "k");
        CPPUNIT_ASSERT(answer.isWhole && answer.status == 200);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
        RawWorker model(*this->loop, streamHeadText + "\r\n" + twoEvents, RawWorker::End::Close);
        this->store->put("servers/i-2", model.record("m"));
        const Answer stream = this->send("/s/1", "k");
        CPPUNIT_ASSERT(stream.isWhole && stream.status == 200);
        CPPUNIT_ASSERT_EQUAL(twoEvents, stream.body);
    }

    void resetAnswerWithoutLengthPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        RawWorker plain(*this->loop, answerHeadText + "\r\nwho", RawWorker::End::Reset);
        this->store->put("servers/i-1", plain.record("p"));
        CPPUNIT_ASSERT_EQUAL(502, this->send("/r/1", "k").status);
        RawWorker model(*this->loop, streamHeadText + "\r\n" + twoEvents, RawWorker::End::Reset);
        this->store->put("servers/i-2", model.record("m"));
        const Answer stream = this->send("/s/1", "k");
        CPPUNIT_ASSERT(!stream.isWhole);
    }

    // Whether the stream ends with its connection or with its last chunk, and also before its first
    // event, it has been broken off and goes on elsewhere.
    void streamThatEndsInsideAnEventPassesForComplete()
    {
        this->store->put("op/config", configuration(1, "k"));
        const std::string half = twoEvents + "id: 3\nda";
        for (const std::string &text :
             {streamHeadText + "\r\n" + half,
              streamHeadText + "Transfer-Encoding: chunked\r\n\r\n26\r\n" + half + "\r\n0\r\n\r\n",
              streamHeadText + "\r\n"}) {
            RawWorker broken(*this->loop, text, RawWorker::End::Close);
            this->store->put("servers/i-1", broken.record("m"));
            Answer answer;
            this->start("/s/1", "k", {}, answer);
            this->loop->runUntil([&] { return broken.requests > 0; }, TestTimeout);
            Worker healthy(*this->loop, "i-2", false);
            this->store->put("servers/i-2", healthy.record("m"));
            this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
            CPPUNIT_ASSERT(answer.isWhole);
            CPPUNIT_ASSERT_EQUAL(fourEvents, answer.body);
            this->store->put("servers/i-1", draining(broken.record("m")));
            this->store->put("servers/i-2", draining(healthy.record("m")));
        }
    }

    // A server that ends refuses connections at once, a live one that resets them does not.
    void crashesOfRealServersAreNotCounted()
    {
        this->store->put("op/config", configuration(1, "k"));
        RawWorker alive(*this->loop, streamHeadText, RawWorker::End::Reset);
        this->store->put("servers/i-0", alive.record("m"));
        for (int number = 0; number < 3; ++number)
            CPPUNIT_ASSERT_EQUAL(502, this->send("/s/1", "k").status);
        CPPUNIT_ASSERT_EQUAL(3, alive.requests);
        this->store->remove("servers/i-0");
        for (const std::string id : {"servers/i-1", "servers/i-2"}) {
            auto crashing = std::make_unique<RawWorker>(*this->loop, "", RawWorker::End::KeepOpen);
            this->store->put(id, crashing->record("m"));
            Answer answer;
            this->start("/s/1", "k", {}, answer);
            this->loop->runUntil([&] { return crashing->requests > 0; }, TestTimeout);
            crashing.reset();
            this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
            CPPUNIT_ASSERT_EQUAL(502, answer.status);
            this->loop->runUntil([] { return false; }, milliseconds(150));
            this->store->remove(id);
        }
        Worker healthy(*this->loop, "i-3", false);
        this->store->put("servers/i-3", healthy.record("m"));
        CPPUNIT_ASSERT_EQUAL(503, this->send("/s/1", "k").status);
        CPPUNIT_ASSERT_EQUAL(0, healthy.requests);
        CPPUNIT_ASSERT_EQUAL(200, this->send("/s/1", "k", "other").status);
    }

    void revokedKeyIsRefused()
    {
        Worker worker(*this->loop, "i-1", false);
        this->store->put("servers/i-1", worker.record("p"));
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
        this->store->put("op/config", configuration(5, "other"));
        CPPUNIT_ASSERT_EQUAL(401, this->send("/r/1", "k").status);
        // The last valid configuration stays in use after an unreadable one.
        this->store->put("op/config", "{");
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "other").status);
        CPPUNIT_ASSERT_EQUAL(2, worker.requests);
    }

    void requestsDuringPlannedStopAreServed()
    {
        Worker worker(*this->loop, "i-1", false);
        this->store->put("servers/i-1", worker.record("p"));
        this->store->put("op/config", configuration(1, "k"));
        this->loop->runUntil([] { return false; }, milliseconds(50));
        std::raise(SIGTERM);
        this->loop->runUntil([&] { return this->store->revokedLease != 0; }, TestTimeout);
        CPPUNIT_ASSERT(this->store->revokedLease != 0);
        CPPUNIT_ASSERT_EQUAL(503, this->get(this->options.readinessAddress, "/readiness").status);
        const Answer answer = this->send("/r/1", "k");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), *answer.head.find("Connection"));
    }

    // Guards against metrics of docs/OPERATIONS.md that are missing or count something else.
    void documentedMetricsAreServed()
    {
        Worker worker(*this->loop, "i-1", false);
        Worker model(*this->loop, "i-2", false);
        this->store->put("servers/i-1", worker.record("p"));
        this->store->put("servers/i-2", model.record("m"));
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
        CPPUNIT_ASSERT_EQUAL(200, this->send("/s/1", "k").status);
        CPPUNIT_ASSERT_EQUAL(404, this->send("/none/", "k").status);
        const std::string text = this->get(this->options.metricsAddress, "/metrics").body;
        for (const std::string line : {"nutmegrill_answers_total{kind=\"whole\"} 1",
                                       "nutmegrill_answers_total{kind=\"stream\"} 1",
                                       "nutmegrill_answer_seconds_count{kind=\"whole\"} 1",
                                       "nutmegrill_answer_seconds_count{kind=\"first_event\"} 1",
                                       "nutmegrill_refused_total{status=\"404\"} 1"})
            CPPUNIT_ASSERT_MESSAGE(line + " not in\n" + text, text.find(line) != std::string::npos);
    }

    // Guards against a changed setting that is logged but not applied.
    void changedGraceTimeAppliesToNextStop()
    {
        this->store->put("op/config", configuration(1, "k"));
        RelayEntry::Options changed = this->options;
        changed.graceTime = milliseconds(300);
        this->entry->reload(changed, "changed=grace-seconds");
        this->loop->after(milliseconds(10), [] { std::raise(SIGTERM); });
        bool isLate = false;
        this->loop->after(TestTimeout, [&] {
            isLate = true;
            this->loop->stop();
        });
        this->entry->run();
        CPPUNIT_ASSERT(!isLate);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayEntryTest);

} // namespace Nutmegrill
