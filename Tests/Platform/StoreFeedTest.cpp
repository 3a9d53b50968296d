#include "RelayShell/StoreFeed.h"
#include "FakeStateStore.h"
#include "FreeAddress.h"
#include "Net/EventLoop.h"
#include "StoreServer.h"
#include "platform/PlatformStore.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// An entry counts as undisturbed, and has to know what is acknowledged, this long after the store
/// is back.
constexpr milliseconds StableTime{3000};
constexpr milliseconds TestTimeout{2000};

} // namespace

/// Tests the watch of a store that is silent for a while, against an emulated store on loopback.
class StoreFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedTest);
    CPPUNIT_TEST(watchSentIntoASilenceIsLost);
    CPPUNIT_TEST(repeatedWatchIsLostToo);
    CPPUNIT_TEST(answerOfAWatchIsLost);
    CPPUNIT_TEST(silentStoreIsCalledRarely);
    CPPUNIT_TEST(storeThatCutsAllWatchesIsCalledInALoop);
    CPPUNIT_TEST(entriesRepeatTheirCallsTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        const std::string address = freeAddress();
        this->server = std::make_unique<StoreServer>(*this->loop, address);
        this->store = std::make_unique<PlatformStore>(*this->loop, address);
        this->server->put("op/config", "first");
        StoreFeed::Observer observer;
        observer.onChanges = [this](const StoreMirror::Changes &changes) {
            for (const StoreChange &change : changes)
                this->value = change.value.value_or("");
        };
        observer.onAnswered = [] {};
        observer.onLost = [](const std::string &) {};
        observer.onRegained = [](milliseconds) {};
        observer.onRestored = [](StorePosition) {};
        this->feed = std::make_unique<StoreFeed>(*this->loop, *this->store, observer, 1);
        this->loop->runUntil([&] { return this->watches() == 1; }, TestTimeout);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), this->value);
    }

    void tearDown() override
    {
        this->feed.reset();
        this->store.reset();
        this->server.reset();
        this->loop.reset();
    }

    // Guards against an old configuration that stays in force because the store was silent, for a
    // moment in which no other call was made, when the watch was renewed.
    void watchSentIntoASilenceIsLost()
    {
        this->server->put("op/config", "second");
        this->server->isSilent = true;
        CPPUNIT_ASSERT(this->learns("second", TestTimeout));
        this->wait(milliseconds(100));
        this->endSilence();
        CPPUNIT_ASSERT(this->learns("third", StableTime));
    }

    // The same when the silence lasts until the lost watch has failed and was sent again.
    void repeatedWatchIsLostToo()
    {
        this->server->isSilent = true;
        const std::size_t before = this->watches();
        this->loop->runUntil([&] { return this->watches() > before; }, milliseconds(25000));
        this->wait(milliseconds(20));
        this->endSilence();
        CPPUNIT_ASSERT(this->learns("third", StableTime));
    }

    // Guards against an old configuration that stays in force because the answer that held the new
    // one was lost.
    void answerOfAWatchIsLost()
    {
        this->server->isSilent = true;
        this->server->put("op/config", "second");
        this->endSilence();
        CPPUNIT_ASSERT(this->learns("third", StableTime));
    }

    // Guards against a rush of calls on a store that does not answer.
    void silentStoreIsCalledRarely()
    {
        this->server->isSilent = true;
        const std::size_t before = this->server->targets.size();
        this->wait(milliseconds(6000));
        CPPUNIT_ASSERT(this->server->targets.size() - before <= 4);
    }

    // Guards against a rush of calls on a store that answers at once or cuts the watch.
    void storeThatCutsAllWatchesIsCalledInALoop()
    {
        const std::size_t before = this->server->targets.size();
        const auto cutter =
                this->loop->every(milliseconds(10), [this] { this->server->cutWatches(); });
        this->wait(milliseconds(3000));
        // Two calls after each backoff of 0.1, 0.2, 0.4, 0.8 and 1 s, of which jitter takes half.
        CPPUNIT_ASSERT(this->server->targets.size() - before <= 16);
    }

    // Guards against a rush at the store when the calls of all entries have failed at once.
    void entriesRepeatTheirCallsTogether()
    {
        constexpr std::uint64_t Entries = 40;
        constexpr milliseconds MinSpread{300};
        FakeStateStore down;
        down.isUnavailable = true;
        const StoreFeed::Observer observer{[](const StoreMirror::Changes &) {}, [] {},
                                           [](const std::string &) {}, [](milliseconds) {},
                                           [](StorePosition) {}};
        std::vector<std::unique_ptr<StoreFeed>> feeds;
        for (std::uint64_t entry = 1; entry <= Entries; ++entry)
            feeds.push_back(std::make_unique<StoreFeed>(*this->loop, down, observer, entry));
        // At the longest backoff of a second, the calls of a second spread over most of it.
        this->wait(milliseconds(3000));
        const std::size_t before = down.reads;
        this->wait(MinSpread);
        const std::size_t made = down.reads - before;
        CPPUNIT_ASSERT(made > 0 && made < Entries);
    }

private:
    void endSilence()
    {
        this->server->isSilent = false;
        this->server->put("op/config", "third");
    }

    std::size_t watches() const
    {
        const auto &targets = this->server->targets;
        return static_cast<std::size_t>(
                std::count_if(targets.begin(), targets.end(), [](const std::string &target) {
                    return target.find("watch") != std::string::npos;
                }));
    }

    bool learns(const std::string &expected, milliseconds timeout)
    {
        this->loop->runUntil([&] { return this->value == expected; }, timeout);
        return this->value == expected;
    }

    void wait(milliseconds time)
    {
        this->loop->runUntil([] { return false; }, time);
    }

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<StoreServer> server;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<StoreFeed> feed;
    std::string value;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedTest);

} // namespace Nutmegrill
