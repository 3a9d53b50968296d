#include "Http/HttpListener.h"
#include "RawCaller.h"
#include "RawWorker.h"
#include "RelayEntryFixture.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// More than twice what the buffers of two connections hold.
constexpr std::size_t MaxBufferedBytes = 16U << 20U;

/// Worker that begins its only stream when told to, and then sends as fast as it is read.
struct LateWorker
{
    explicit LateWorker(EventLoop &loop)
        : address(freeAddress()), listener(loop, this->address, 16,
                                           [this](HttpListener::Request &&request) {
                                               this->request = request.id;
                                               this->attempt = *request.head.find("Attempt-Id");
                                           }),
          timer(loop.every(milliseconds(1), [this] { this->sendMore(); }))
    {}

    void begin()
    {
        this->listener.find(this->request)
                ->startStream(200, "OK",
                              {{"Attempt-Id", this->attempt},
                               {"Response-Seal", "seal-late"},
                               {"Content-Type", "text/event-stream"}});
        this->isOpen = true;
    }

    void sendMore()
    {
        auto *connection = this->isOpen ? this->listener.find(this->request) : nullptr;
        if (connection == nullptr)
            return;
        const std::string text(60000, 'x');
        for (int part = 0; part < 16 && connection->pendingBytes() < 16 * text.size(); ++part) {
            connection->sendChunk("id: " + std::to_string(++this->events) + "\ndata: " + text
                                  + "\n\n");
            this->sentBytes += text.size();
        }
    }

    std::string record() const
    {
        return R"({"service":"m","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::string address;
    HttpListener listener;
    std::unique_ptr<EventLoop::Timer> timer;
    HttpListener::RequestId request = 0;
    std::string attempt;
    bool isOpen = false;
    int events = 0;
    std::size_t sentBytes = 0;
};

} // namespace

/// Second attempts of an entry on sockets.
class SecondAttemptEntryTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(SecondAttemptEntryTest);
    CPPUNIT_TEST(secondAttemptAnswersForAStalledServer);
    CPPUNIT_TEST(slowCallerPausesTheAttemptThatGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Also guards against a setting that is logged but not applied, and a stalled server that works
    // on after its attempt was cancelled.
    void secondAttemptAnswersForAStalledServer()
    {
        this->learnUsualDelay();
        RawWorker stalled(*this->loop, "", RawWorker::End::KeepOpen);
        RawWorker quick(*this->loop, streamHeadText + "\r\n" + fourEvents, RawWorker::End::Close);
        this->store->put("servers/i-2", stalled.record("m"));
        Answer answer;
        this->start("/s/1", "k", {}, answer);
        this->loop->runUntil([&] { return stalled.requests > 0; }, TestTimeout);
        this->store->put("servers/i-3", quick.record("m"));
        this->loop->runUntil([&] { return answer.isOver && stalled.openConnections() == 0; },
                             milliseconds(600));
        CPPUNIT_ASSERT(answer.isWhole);
        CPPUNIT_ASSERT_EQUAL(fourEvents, answer.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), stalled.openConnections());
        const std::string text = this->get(this->options.metricsAddress, "/metrics").body;
        const std::string line =
                "nutmegrill_second_attempts_total{outcome=\"won\",service=\"m\"} 1";
        CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }

    // Guards against a stream that fills the entry's memory: the first attempt goes on, and its
    // slow caller pauses the second one, which was cancelled.
    void slowCallerPausesTheAttemptThatGoesOn()
    {
        this->learnUsualDelay();
        LateWorker late(*this->loop);
        RawWorker stalled(*this->loop, "", RawWorker::End::KeepOpen);
        this->store->put("servers/i-2", late.record());
        const RawCaller caller(this->options.callerAddress, 4096);
        caller.send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: "
                    "5000\r\nCredential: k\r\nContent-Length: 0\r\n\r\n");
        this->loop->runUntil([&] { return late.request != 0; }, TestTimeout);
        this->store->put("servers/i-3", stalled.record("m"));
        this->loop->runUntil([&] { return stalled.requests > 0; }, milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(1, stalled.requests);
        late.begin();
        this->loop->runUntil([&] { return late.sentBytes > MaxBufferedBytes; }, milliseconds(1500));
        CPPUNIT_ASSERT(late.sentBytes > 0);
        CPPUNIT_ASSERT(late.sentBytes <= MaxBufferedBytes);
    }

private:
    void learnUsualDelay()
    {
        RelayEntry::Options changed = this->options;
        changed.node.hedgeRatio = 1;
        this->entry->reload(changed, "changed=hedge-ratio");
        this->store->put("op/config", configuration(1, "k"));
        RawWorker usual(*this->loop, streamHeadText + "\r\n" + fourEvents, RawWorker::End::Close);
        this->store->put("servers/i-1", usual.record("m"));
        for (int number = 0; number < 60; ++number)
            CPPUNIT_ASSERT_EQUAL(200, this->send("/s/1", "k").status);
        this->store->put("servers/i-1", draining(usual.record("m")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptEntryTest);

} // namespace Nutmegrill
