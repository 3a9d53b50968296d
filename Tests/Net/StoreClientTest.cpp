#include "Net/StoreClient.h"
#include "Net/EndlessServer.h"
#include "Net/EventLoop.h"

#include <chrono>
#include <cstddef>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// What a watch may take: a quarter of the memory of a node, 256 MB.
constexpr std::size_t MaxTakenBytes = 64U << 20U;

} // namespace

class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(lineWithoutEndBreaksTheWatchTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a watch that keeps a line which never ends, and against one that uses what its
    // own end has destroyed.
    void lineWithoutEndBreaksTheWatchTwice()
    {
        EventLoop loop;
        const EndlessServer server(loop, "HTTP/1.1 200 OK\r\n\r\n{\"result\":", " ");
        StoreClient store(loop, server.address, milliseconds(1000));
        int ends = 0;
        int changes = 0;
        store.watch(
                "key", 5, [&](const StoreResult &) { ++changes; }, [&] { ++ends; });
        loop.runUntil([&] { return ends > 0 || server.sentBytes > 2 * MaxTakenBytes; },
                      milliseconds(5000));
        loop.runUntil([&] { return server.openConnections() == 0; }, milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(1, ends);
        CPPUNIT_ASSERT_EQUAL(0, changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.openConnections());
        CPPUNIT_ASSERT(server.sentBytes < MaxTakenBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace Nutmegrill
