#include "Programs/BackendCaller.h"
#include "Net/EndlessServer.h"
#include "Net/EventLoop.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

/// What an agent may take from one backend server: a quarter of the memory of a node, 256 MB.
constexpr std::size_t MaxTakenBytes = 64U << 20U;

} // namespace

class BackendCallerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendCallerTest);
    CPPUNIT_TEST(eventWithoutEndFillsTheMemory);
    CPPUNIT_TEST(callThatIsCancelledByItsEventGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an agent that keeps all bytes of an event which a faulty engine never ends.
    void eventWithoutEndFillsTheMemory()
    {
        EventLoop loop;
        const EndlessServer server(
                loop,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "no event ");
        std::optional<AgentEvent::BackendFailed> failed;
        std::size_t parts = 0;
        BackendCaller caller(loop, server.address, [&](const AgentEvent::Any &event) {
            if (const auto *found = std::get_if<AgentEvent::BackendFailed>(&event))
                failed = *found;
            parts += std::holds_alternative<AgentEvent::BackendData>(event);
        });
        WorkMessage::Request request;
        request.requestId = "r1";
        request.method = "POST";
        request.path = "/v1/completions";
        caller.call(request);
        loop.runUntil([&] { return failed.has_value() || server.sentBytes > 2 * MaxTakenBytes; },
                      std::chrono::milliseconds(5000));
        CPPUNIT_ASSERT(failed && failed->kind == AgentEvent::BackendFailed::Kind::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), parts);
        loop.runUntil([&] { return server.openConnections() == 0; },
                      std::chrono::milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.openConnections());
        CPPUNIT_ASSERT(server.sentBytes < MaxTakenBytes);
    }

    // Guards against a handler that goes on with the id of a call which its event has cancelled,
    // and which is destroyed then.
    void callThatIsCancelledByItsEventGoesOn()
    {
        EventLoop loop;
        const EndlessServer server(
                loop, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n\n");
        // Longer than what a string holds within itself.
        const std::string id = "request-with-a-long-id-0123456789";
        std::size_t parts = 0;
        bool isOver = false;
        BackendCaller *calling = nullptr;
        BackendCaller caller(loop, server.address, [&](const AgentEvent::Any &event) {
            isOver = isOver || std::holds_alternative<AgentEvent::BackendEnd>(event)
                     || std::holds_alternative<AgentEvent::BackendFailed>(event);
            const auto *part = std::get_if<AgentEvent::BackendData>(&event);
            if (part == nullptr)
                return;
            ++parts;
            CPPUNIT_ASSERT_EQUAL(id, part->requestId);
            calling->cancel(id);
        });
        calling = &caller;
        WorkMessage::Request request;
        request.requestId = id;
        request.method = "POST";
        request.path = "/v1/completions";
        caller.call(request);
        loop.runUntil([&] { return parts > 0 && server.openConnections() == 0; },
                      std::chrono::milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), parts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.openConnections());
        CPPUNIT_ASSERT(!isOver);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendCallerTest);

} // namespace Nutmegrill
