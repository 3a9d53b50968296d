#include "Net/PeerSession.h"
#include "Net/EventLoop.h"
#include "Net/PeerObserver.h"
#include "Net/PeerServer.h"

#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using namespace std::chrono_literals;

constexpr const char *Address = "127.0.0.1:21150";

class RecordingObserver : public PeerObserver
{
public:
    void peerConnected(PeerSession &) override { this->connected = true; }
    void peerStreamOpened(PeerSession &session, std::int32_t stream, std::string_view) override
    {
        this->session = &session;
        this->stream = stream;
    }
    void peerMessage(PeerSession &, std::int32_t, std::string message) override
    {
        this->messages.push_back(std::move(message));
    }
    void peerStreamClosed(PeerSession &, std::int32_t, StreamEnd end) override
    {
        this->ends.push_back(end);
    }
    void peerDisconnected(PeerSession &) override { this->disconnected = true; }

    bool connected = false;
    bool disconnected = false;
    PeerSession *session = nullptr;
    std::int32_t stream = 0;
    std::vector<std::string> messages;
    std::vector<StreamEnd> ends;
};

} // namespace

class PeerSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerSessionTest);
    CPPUNIT_TEST(messagesArriveInBothDirections);
    CPPUNIT_TEST(refusedStreamIsReportedAsNotProcessed);
    CPPUNIT_TEST(pausedStreamDoesNotBlockOtherStreams);
    CPPUNIT_TEST(unresponsivePeerIsDisconnected);
    CPPUNIT_TEST(connectFailureIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->serverSide = std::make_unique<RecordingObserver>();
        this->clientSide = std::make_unique<RecordingObserver>();
        this->server = std::make_unique<PeerServer>(*this->loop, Address, *this->serverSide);
        CPPUNIT_ASSERT(this->server->isListening());
        this->client = PeerSession::connect(*this->loop, Address, *this->clientSide);
    }

    void tearDown() override
    {
        this->client.reset();
        this->server.reset();
        this->loop.reset();
    }

    // Guards against messages that are truncated, merged or lost at frame boundaries.
    void messagesArriveInBothDirections()
    {
        const std::int32_t stream = this->client->openStream("/work");
        const std::string large(200000, 'x');
        this->client->send(stream, "first");
        this->client->send(stream, large);
        this->client->finish(stream);
        CPPUNIT_ASSERT(this->waitFor([&] { return this->serverSide->messages.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), this->serverSide->messages[0]);
        CPPUNIT_ASSERT(large == this->serverSide->messages[1]);
        this->serverSide->session->send(this->serverSide->stream, "answer");
        this->serverSide->session->finish(this->serverSide->stream);
        CPPUNIT_ASSERT(this->waitFor([&] { return !this->clientSide->ends.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), this->clientSide->messages.at(0));
        CPPUNIT_ASSERT(this->clientSide->ends[0] == PeerObserver::StreamEnd::Finished);
    }

    // Guards against a refusal that the sender cannot distinguish from a broken stream.
    void refusedStreamIsReportedAsNotProcessed()
    {
        const std::int32_t stream = this->client->openStream("/work");
        this->client->send(stream, "request");
        CPPUNIT_ASSERT(this->waitFor([&] { return !this->serverSide->messages.empty(); }));
        this->serverSide->session->reset(this->serverSide->stream, true);
        CPPUNIT_ASSERT(this->waitFor([&] { return !this->clientSide->ends.empty(); }));
        CPPUNIT_ASSERT(this->clientSide->ends[0] == PeerObserver::StreamEnd::NotProcessed);
    }

    // Guards against a slow reader that exhausts memory or blocks the other streams of its session.
    void pausedStreamDoesNotBlockOtherStreams()
    {
        const std::int32_t slow = this->client->openStream("/slow");
        CPPUNIT_ASSERT(this->waitFor([&] { return this->serverSide->stream == slow; }));
        this->client->pause(slow, true);
        const std::string part(64U << 10U, 'x');
        for (int count = 0; count < 16; ++count)
            this->serverSide->session->send(slow, part);
        const std::int32_t fast = this->client->openStream("/fast");
        CPPUNIT_ASSERT(this->waitFor([&] { return this->serverSide->stream == fast; }));
        this->serverSide->session->send(fast, "prompt");
        CPPUNIT_ASSERT(this->waitFor([&] { return !this->clientSide->messages.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->clientSide->messages.size());
        const std::size_t total = 16 * (part.size() + 4);
        CPPUNIT_ASSERT(this->serverSide->session->pendingBytes(slow)
                       >= total - PeerSession::StreamWindowBytes);
        this->client->pause(slow, false);
        CPPUNIT_ASSERT(this->waitFor([&] { return this->clientSide->messages.size() == 17; }));
    }

    // Guards against waiting forever on a connection whose state an intermediate device has lost.
    void unresponsivePeerIsDisconnected()
    {
        this->client->openStream("/control");
        CPPUNIT_ASSERT(this->waitFor([&] { return this->serverSide->stream != 0; }));
        this->client->checkLiveness(this->loop->now() + 4s, 3s);
        CPPUNIT_ASSERT(this->waitFor([&] { return this->clientSide->disconnected; }));
        CPPUNIT_ASSERT(this->clientSide->ends.at(0) == PeerObserver::StreamEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(0, this->client->openStream("/control"));
    }

    // Guards against a connection failure that is never reported.
    void connectFailureIsReported()
    {
        RecordingObserver refused;
        const auto session = PeerSession::connect(*this->loop, "127.0.0.1:9", refused);
        CPPUNIT_ASSERT(this->waitFor([&] { return refused.disconnected; }));
        RecordingObserver malformed;
        const auto broken = PeerSession::connect(*this->loop, "nowhere", malformed);
        CPPUNIT_ASSERT(this->waitFor([&] { return malformed.disconnected; }));
    }

private:
    bool waitFor(const std::function<bool()> &done) { return this->loop->runUntil(done, 5s); }

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<RecordingObserver> serverSide;
    std::unique_ptr<RecordingObserver> clientSide;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<PeerSession> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSessionTest);

} // namespace Nutmegrill
