#include "Programs/ConfigurationReader.h"
#include "FreeAddress.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Net/StoreClient.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// A configuration has to be in force within this time.
constexpr milliseconds ApplyTime{11000};
constexpr milliseconds CallTimeout{1000};

} // namespace

class ConfigurationReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationReaderTest);
    CPPUNIT_TEST(changeThatTheWatchMissesIsLearnedNever);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an old configuration that stays in force because the store has lost the watch:
    // it stays open, and no change comes.
    void changeThatTheWatchMissesIsLearnedNever()
    {
        EventLoop loop;
        const std::string address = freeAddress();
        int revision = 5;
        int watches = 0;
        HttpServer *answering = nullptr;
        HttpServer server(loop, address, {}, [&](const HttpServer::Request &request) {
            if (request.path == "/v3/watch") {
                ++watches;
                answering->startReply(request.id, 200, {});
                answering->sendChunk(request.id, "{\"result\":{\"created\":true}}\n");
                return;
            }
            const std::string number = std::to_string(revision);
            answering->reply(request.id, 200, {},
                             R"({"header":{"revision":")" + number
                                     + R"("},"kvs":[{"key":"aw==","value":"dg==","mod_revision":")"
                                     + number + R"("}]})");
        });
        answering = &server;
        StoreClient store(loop, address, CallTimeout);
        ConfigurationReader reader(loop, store);
        // The value is no configuration, so each head that is read is reported as null.
        int heads = 0;
        reader.watch([&](const ConfigurationPtr &) { ++heads; });
        loop.runUntil([&] { return heads == 1 && watches == 1; }, CallTimeout);
        CPPUNIT_ASSERT_EQUAL(1, heads);
        revision = 6;
        loop.runUntil([&] { return heads == 2; }, ApplyTime);
        CPPUNIT_ASSERT_EQUAL(2, heads);
        CPPUNIT_ASSERT_EQUAL(1, watches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReaderTest);

} // namespace Nutmegrill
