#include "FreeAddress.h"
#include "Http/HttpListener.h"
#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <chrono>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

using std::chrono::milliseconds;

/// Connections of callers whose bytes come slowly or late.
class ListenerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListenerTest);
    CPPUNIT_TEST(newConnectionIsNotClosedAsIdle);
    CPPUNIT_TEST(usedConnectionIsClosedAsIdle);
    CPPUNIT_TEST(connectionsAreRefusedAfterTheEndOfAccepting);
    CPPUNIT_TEST(unreadRequestIsNotClosedAsIdle);
    CPPUNIT_TEST(waitingConnectionsAreServedAfterTheEndOfAccepting);
    CPPUNIT_TEST(slowReaderGetsTheWholeLastResponse);
    CPPUNIT_TEST(readerThatTakesNothingIsDisconnected);
    CPPUNIT_TEST(slowButSteadyBodyIsRead);
    CPPUNIT_TEST(dribblingBodyIsRejected);
    CPPUNIT_TEST(silentCallersAreProbed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->listener = std::make_unique<HttpListener>(
                this->loop, this->address, 16, [this](HttpListener::Request &&request) {
                    this->body = request.body;
                    this->listener->find(request.id)->reply(200, {}, {}, this->response);
                });
        CPPUNIT_ASSERT(this->listener->isListening());
        this->tickTimer = this->loop.every(milliseconds(10), [this] {
            this->listener->tick(this->loop.now());
            if (this->closesIdle)
                this->listener->closeIdle();
        });
    }

    void tearDown() override
    {
        close(this->client);
        this->listener.reset();
    }

    // Guards against a planned stop that closes connections whose first request is on its way.
    void newConnectionIsNotClosedAsIdle()
    {
        this->connectClient();
        this->closesIdle = true;
        this->run(milliseconds(200));
        this->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
        // Without a request it is closed a second later.
        close(this->client);
        this->connectClient();
        this->run(milliseconds(1300));
        CPPUNIT_ASSERT(this->isClosed());
    }

    void usedConnectionIsClosedAsIdle()
    {
        this->connectClient();
        this->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
        this->closesIdle = true;
        this->run(milliseconds(100));
        CPPUNIT_ASSERT(this->isClosed());
    }

    void connectionsAreRefusedAfterTheEndOfAccepting()
    {
        this->listener->stopAccepting();
        this->client = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in peer = this->peer();
        CPPUNIT_ASSERT(
                connect(this->client, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer))
                != 0);
    }

    // Guards against a stop that closes a connection whose request has arrived, but was not read
    // yet because the process was late.
    void unreadRequestIsNotClosedAsIdle()
    {
        this->connectClient();
        this->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
        this->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->listener->closeIdle();
        this->run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
    }

    // Guards against a stop that resets connections which the kernel has established, but which
    // were not accepted yet.
    void waitingConnectionsAreServedAfterTheEndOfAccepting()
    {
        this->openClient();
        this->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->listener->stopAccepting();
        this->run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
    }

    // Guards against a response that is cut one second after it was handed over, while its caller
    // still reads it.
    void slowReaderGetsTheWholeLastResponse()
    {
        this->response.assign(LongResponseBytes, 'r');
        this->openClient(ReceiveBuffer);
        this->send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        std::size_t read = 0;
        while (!this->isClosed()) {
            this->run(milliseconds(10));
            read += this->readSome(ReceiveBuffer);
        }
        CPPUNIT_ASSERT(read > LongResponseBytes);
    }

    // Guards against responses that are held for ever for a caller that does not read.
    void readerThatTakesNothingIsDisconnected()
    {
        this->response.assign(LongResponseBytes, 'r');
        this->openClient(ReceiveBuffer);
        this->send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        this->run(milliseconds(100));
        CPPUNIT_ASSERT(this->listener->hasUnsentBytes());
        CPPUNIT_ASSERT(this->loop.runUntil(
                [this] { return this->listener->connectionCount() == 0; }, milliseconds(10000)));
    }

    // Guards against a caller on a slow link whose request is rejected although it comes steadily.
    void slowButSteadyBodyIsRead()
    {
        this->setIdleTime();
        this->connectClient();
        this->send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 24576\r\n\r\n");
        // Six times the idle time in all.
        for (int part = 0; part < 12; ++part) {
            this->send(std::string(2048, 'b'));
            this->run(milliseconds(150));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(24576), this->body.size());
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), this->received().substr(0, 12));
    }

    void dribblingBodyIsRejected()
    {
        this->setIdleTime();
        this->connectClient();
        this->send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 24576\r\n\r\n");
        for (int part = 0; part < 8; ++part) {
            this->send("b");
            this->run(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), this->received().substr(0, 12));
    }

    // Guards against a caller that falls silent and is never found to have left.
    void silentCallersAreProbed()
    {
        this->connectClient();
        const int accepted = this->acceptedSocket();
        CPPUNIT_ASSERT_EQUAL(1, option(accepted, SOL_SOCKET, SO_KEEPALIVE));
        const int silence = option(accepted, IPPROTO_TCP, TCP_KEEPIDLE)
                            + option(accepted, IPPROTO_TCP, TCP_KEEPINTVL)
                                      * option(accepted, IPPROTO_TCP, TCP_KEEPCNT);
        // The shortest time after which the platform expects an instance to be back to normal.
        CPPUNIT_ASSERT(silence <= 3);
        const int unacknowledgedMs = option(accepted, IPPROTO_TCP, TCP_USER_TIMEOUT);
        CPPUNIT_ASSERT(unacknowledgedMs > 0 && unacknowledgedMs <= 3000);
    }

private:
    static int option(int socket, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        getsockopt(socket, level, name, &value, &size);
        return value;
    }

    /// The listener's end of the connection of the client.
    int acceptedSocket() const
    {
        sockaddr_in own{};
        socklen_t size = sizeof(own);
        getsockname(this->client, reinterpret_cast<sockaddr *>(&own), &size);
        for (int candidate = 0; candidate < 1024; ++candidate) {
            sockaddr_in far{};
            size = sizeof(far);
            if (getpeername(candidate, reinterpret_cast<sockaddr *>(&far), &size) == 0
                && far.sin_port == own.sin_port)
                return candidate;
        }
        return -1;
    }

    sockaddr_in peer() const
    {
        sockaddr_in parsed{};
        CPPUNIT_ASSERT(parseSocketAddress(this->address, parsed));
        return parsed;
    }

    void setIdleTime()
    {
        ServerLimits limits;
        limits.idleTime = milliseconds(300);
        this->listener->setLimits(limits);
    }

    void connectClient()
    {
        this->openClient();
        this->run(milliseconds(50));
    }

    /// Connects in the kernel; the listener has not accepted the connection yet.
    void openClient(int receiveBuffer = 0)
    {
        this->client = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer > 0)
            setsockopt(this->client, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        const sockaddr_in address = this->peer();
        CPPUNIT_ASSERT_EQUAL(0, connect(this->client, reinterpret_cast<const sockaddr *>(&address),
                                        sizeof(address)));
    }

    std::size_t readSome(std::size_t most) const
    {
        std::string bytes(most, '\0');
        const ssize_t length = recv(this->client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return length > 0 ? static_cast<std::size_t>(length) : 0;
    }

    void send(const std::string &bytes) const
    {
        ::send(this->client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    std::string received() const
    {
        std::string bytes(4096, '\0');
        const ssize_t length = recv(this->client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        bytes.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return bytes;
    }

    bool isClosed() const
    {
        char byte = 0;
        return recv(this->client, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    void run(milliseconds span)
    {
        this->loop.runUntil([] { return false; }, span);
    }

    static constexpr int ReceiveBuffer = 32768;
    /// More than the kernel holds for a slow reader.
    static constexpr std::size_t LongResponseBytes = 8U << 20U;

    EventLoop loop;
    std::string address = freeAddress();
    std::string response = "ok";
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<EventLoop::Timer> tickTimer;
    std::string body;
    int client = -1;
    bool closesIdle = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerTest);

} // namespace Nutmegrill
