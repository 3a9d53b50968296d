#include "FreeAddress.h"
#include "Net/EventLoop.h"
#include "RelayShell/RelayEntry.h"
#include "RelayShell/StoreFeed.h"
#include "StoreServer.h"
#include "platform/PlatformDecoder.h"
#include "platform/PlatformProtocol.h"
#include "platform/PlatformStore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Time from the acknowledgement of a configuration until it is in force.
constexpr milliseconds ApplyTime{2000};
/// Expired rows are written again within this time after the store is back.
constexpr milliseconds RewriteTime{2000};
constexpr const char *EntryPrefix = "nutmegrill/entries/";

} // namespace

/// Tests processes whose store comes back from an older copy, against an emulated store on
/// loopback.
class RestoredStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoredStoreTest);
    CPPUNIT_TEST(changesUnderRevisionsGivenOutAgainAreMissed);
    CPPUNIT_TEST(entriesReadTheRestoredStoreInALoop);
    CPPUNIT_TEST(keysMissingInTheCopyAreGoneBeforeTheyAreWrittenAgain);
    CPPUNIT_TEST(entryKeepsALeaseThatBelongsToAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->address = freeAddress();
        this->server = std::make_unique<StoreServer>(*this->loop, this->address);
        this->store = std::make_unique<PlatformStore>(*this->loop, this->address);
        this->server->put("op/config", "first");
        this->copy = this->server->copy();
        for (int number = 0; number < 20; ++number)
            this->server->put("op/config", "before " + std::to_string(number));
    }

    void tearDown() override
    {
        this->entry.reset();
        this->feed.reset();
        this->store.reset();
        this->server.reset();
        this->loop.reset();
    }

    // Guards against a mirror that drops what comes under a revision below the one it holds.
    void changesUnderRevisionsGivenOutAgainAreMissed()
    {
        this->startFeed();
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/config") == "before 19"; }));
        this->server->restore(*this->copy);
        this->server->put("op/config", "before 19");
        this->loop->after(milliseconds(300), [&] { this->server->put("op/config", "after"); });
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/config") == "after"; }));
        this->server->put("op/config", "later");
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/config") == "later"; }));
        // The same with a store that has passed the old revision when it is asked again.
        this->server->restore(*this->copy);
        for (int number = 0; number < 40; ++number)
            this->server->put("servers/i-" + std::to_string(number % 3), std::to_string(number));
        this->server->put("op/config", "last");
        CPPUNIT_ASSERT(this->runUntil([&] {
            return this->value("op/config") == "last" && this->value("servers/i-0") == "39"
                   && this->value("servers/i-1") == "37";
        }));
    }

    void entriesReadTheRestoredStoreInALoop()
    {
        this->startFeed();
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/config") == "before 19"; }));
        this->server->restore(*this->copy);
        this->server->targets.clear();
        this->runUntil([] { return false; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->server->targets.size()) + " calls",
                               this->server->targets.size() <= 8);
    }

    // Guards against taking a zone back, or dropping a backend server, between the return of the
    // store and the moment at which its writer has written the key again.
    void keysMissingInTheCopyAreGoneBeforeTheyAreWrittenAgain()
    {
        this->server->put("op/evacuate/north", "1");
        this->server->put("op/evacuate/south", "1");
        this->startFeed();
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/evacuate/south") == "1"; }));
        this->server->restore(*this->copy);
        this->server->put("op/config", "after");
        CPPUNIT_ASSERT(this->runUntil([&] { return this->value("op/config") == "after"; }));
        CPPUNIT_ASSERT_EQUAL(0, this->deletions);
        this->loop->after(milliseconds(500), [&] { this->server->put("op/evacuate/north", "1"); });
        this->loop->runUntil([&] { return this->deletions > 0; }, 2 * RewriteTime);
        CPPUNIT_ASSERT_EQUAL(1, this->deletions);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), this->value("op/evacuate/north"));
        CPPUNIT_ASSERT_EQUAL(std::string(), this->value("op/evacuate/south"));
    }

    // Guards against the renewal of a lease whose number was given out again, and against ending
    // the other process's lease at the stop.
    void entryKeepsALeaseThatBelongsToAnother()
    {
        RelayEntry::Options options;
        options.name = "e";
        options.callerAddress = freeAddress();
        options.readinessAddress = freeAddress();
        options.directoryAddress = freeAddress();
        options.peerAddress = freeAddress();
        options.metricsAddress = freeAddress();
        options.incarnation = 5;
        this->entry = std::make_unique<RelayEntry>(*this->loop, options, this->protocol,
                                                   this->decoder, *this->store);
        const std::string key = EntryPrefix + std::string("e-5");
        CPPUNIT_ASSERT(
                this->runUntil([&] { return this->server->valueOf(key) == options.peerAddress; }));
        const std::uint64_t lease = this->server->leaseOf(key);
        this->server->restore(*this->copy);
        // Another process gets the same number.
        this->server->validLease = this->server->nextLease++;
        CPPUNIT_ASSERT_EQUAL(lease, this->server->validLease);
        CPPUNIT_ASSERT(
                this->runUntil([&] { return this->server->valueOf(key) == options.peerAddress; },
                               milliseconds(4000)));
        CPPUNIT_ASSERT(this->server->leaseOf(key) != lease);
    }

private:
    void startFeed()
    {
        StoreFeed::Observer observer;
        observer.onChanges = [this](const StoreMirror::Changes &changes) {
            for (const StoreChange &change : changes) {
                this->deletions += change.value ? 0 : 1;
                this->values[change.key] = change.value.value_or("");
            }
        };
        observer.onAnswered = [] {};
        observer.onLost = [](const std::string &) {};
        observer.onRegained = [](milliseconds) {};
        observer.onRestored = [](StorePosition) {};
        this->feed = std::make_unique<StoreFeed>(*this->loop, *this->store, observer, 1);
    }

    std::string value(const std::string &key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? std::string() : found->second;
    }

    bool runUntil(const std::function<bool()> &condition, milliseconds timeout = ApplyTime)
    {
        this->loop->runUntil(condition, timeout);
        return condition();
    }

    std::unique_ptr<EventLoop> loop;
    std::string address;
    std::unique_ptr<StoreServer> server;
    std::unique_ptr<PlatformStore> store;
    std::shared_ptr<const StoreServer::Copy> copy;
    PlatformProtocol protocol;
    PlatformDecoder decoder;
    std::unique_ptr<StoreFeed> feed;
    std::unique_ptr<RelayEntry> entry;
    /// What the changes that the feed reported add up to.
    std::map<std::string, std::string> values;
    int deletions = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

} // namespace Nutmegrill
