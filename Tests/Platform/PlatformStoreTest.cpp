#include "platform/PlatformStore.h"
#include "FreeAddress.h"
#include "Net/EventLoop.h"
#include "RawWorker.h"
#include "StoreServer.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using Status = StateStore::Status;

constexpr milliseconds TestTimeout{4000};
constexpr milliseconds WatchTimeout{20000};

} // namespace

/// Tests the store client against an emulated store on loopback.
class PlatformStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformStoreTest);
    CPPUNIT_TEST(allPagesAreReadWithRevisionOfTheFirst);
    CPPUNIT_TEST(watchReportsWritesAndDeletions);
    CPPUNIT_TEST(compactedHistoryIsReported);
    CPPUNIT_TEST(conflictsAndMissingLeasesAreReported);
    CPPUNIT_TEST(failuresAreReported);
    CPPUNIT_TEST(silentStoreTimesOut);
    CPPUNIT_TEST(watchFailsAtOnceWhenTheAddressChanges);
    CPPUNIT_TEST(invalidAnswerRenewsALease);
    CPPUNIT_TEST(headOfABrokenAnswerCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->address = freeAddress();
        this->server = std::make_unique<StoreServer>(*this->loop, this->address);
        this->store = std::make_unique<PlatformStore>(*this->loop, this->address);
    }

    void tearDown() override
    {
        this->store.reset();
        this->server.reset();
        this->loop.reset();
    }

    // Guards against losing keys between pages, and against a watch that starts at the revision of
    // the last page and misses the changes made while the pages were read.
    void allPagesAreReadWithRevisionOfTheFirst()
    {
        this->server->pageSize = 2;
        for (const char *key : {"op/config", "op/evacuate/a b", "servers/i-1", "servers/i-2", "x"})
            this->server->put(key, std::string("\x00\xff value", 8));
        const auto all = this->awaitResult([&](auto callback) { this->store->readAll(callback); });
        CPPUNIT_ASSERT(all.status == Status::Ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), all.changes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), all.revision);
        CPPUNIT_ASSERT(all.changes.front().value == std::string("\x00\xff value", 8));
        CPPUNIT_ASSERT_EQUAL(std::string("GET /kv-range?prefix=&after=op/evacuate/a%20b"),
                             this->server->targets.at(1));
        const auto some =
                this->awaitResult([&](auto callback) { this->store->readBackends(callback); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), some.changes.size());
    }

    void watchReportsWritesAndDeletions()
    {
        this->server->put("servers/i-1", "a");
        std::optional<StateStore::Result> received;
        this->store->watch(11, WatchTimeout, [&](const auto &result) { received = result; });
        this->loop->after(milliseconds(20), [&] { this->server->remove("servers/i-1"); });
        this->loop->runUntil([&] { return received.has_value(); }, TestTimeout);
        CPPUNIT_ASSERT(received && received->status == Status::Ok && received->revision == 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), received->changes.size());
        CPPUNIT_ASSERT(!received->changes.front().value);
    }

    void compactedHistoryIsReported()
    {
        this->server->put("k", "a");
        this->server->compact();
        const auto result = this->awaitResult(
                [&](auto callback) { this->store->watch(9, WatchTimeout, callback); });
        CPPUNIT_ASSERT(result.status == Status::HistoryCompacted);
    }

    // Guards against overwriting a newer value, and against treating an expired lease as valid.
    void conflictsAndMissingLeasesAreReported()
    {
        const auto granted = this->awaitResult(
                [&](auto callback) { this->store->grantLease(milliseconds(9000), callback); });
        CPPUNIT_ASSERT_EQUAL(this->server->validLease, granted.lease);
        const auto write = [&](std::uint64_t expected, std::uint64_t lease) {
            return this->awaitResult([&](auto callback) {
                this->store->write("own", "v", expected, lease, callback);
            });
        };
        CPPUNIT_ASSERT(write(0, granted.lease).status == Status::Ok);
        CPPUNIT_ASSERT(write(0, granted.lease).status == Status::Conflict);
        CPPUNIT_ASSERT(write(11, granted.lease + 1).status == Status::LeaseNotFound);
        CPPUNIT_ASSERT(this->server->valueOf("own") == std::string("v"));
        this->server->validLease = 0;
        const auto kept = this->awaitResult(
                [&](auto callback) { this->store->renewLease(granted.lease, callback); });
        CPPUNIT_ASSERT(kept.status == Status::LeaseNotFound);
    }

    void failuresAreReported()
    {
        this->server->put("k", "a");
        for (const int status : {429, 503}) {
            this->server->failureStatus = status;
            const auto refused =
                    this->awaitResult([&](auto callback) { this->store->readAll(callback); });
            CPPUNIT_ASSERT(refused.status == Status::Failed);
            CPPUNIT_ASSERT_EQUAL("status " + std::to_string(status), refused.reason);
        }
        this->server->failureStatus = 0;
        this->server->isMalformed = true;
        const auto malformed =
                this->awaitResult([&](auto callback) { this->store->readAll(callback); });
        CPPUNIT_ASSERT_EQUAL(std::string("malformed answer"), malformed.reason);
    }

    void silentStoreTimesOut()
    {
        this->server->isSilent = true;
        const Instant begin = this->loop->now();
        const auto result =
                this->awaitResult([&](auto callback) { this->store->readAll(callback); });
        CPPUNIT_ASSERT(result.status == Status::Failed);
        CPPUNIT_ASSERT(this->loop->now() - begin < milliseconds(2500));
    }

    // Guards against an entry that keeps waiting at the old address until its watch times out.
    void watchFailsAtOnceWhenTheAddressChanges()
    {
        const std::string other = freeAddress();
        StoreServer moved(*this->loop, other);
        moved.put("k", "new");
        std::optional<StateStore::Result> received;
        this->store->watch(10, WatchTimeout, [&](const auto &result) { received = result; });
        this->loop->runUntil([&] { return !this->server->targets.empty(); }, TestTimeout);
        this->store->setAddress(other);
        CPPUNIT_ASSERT(received && received->status == Status::Failed);
        const auto all = this->awaitResult([&](auto callback) { this->store->readAll(callback); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all.changes.size());
    }

    // Guards against a lease that counts as renewed although the store did not say so.
    void invalidAnswerRenewsALease()
    {
        for (const std::string &bytes :
             {std::string("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/1.1 200 OK\r\n\rX: 1\r\n\r\n{}"),
              std::string(
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}XX0\r\n\r\n"),
              std::string("HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}")}) {
            RawWorker raw(*this->loop, bytes, RawWorker::End::Close);
            PlatformStore client(*this->loop, raw.address);
            const auto result =
                    this->awaitResult([&](auto callback) { client.renewLease(7, callback); });
            CPPUNIT_ASSERT_MESSAGE(bytes, result.status == Status::Failed);
            CPPUNIT_ASSERT_EQUAL(1, raw.requests);
        }
    }

    // Guards against answers of a sound store that are dropped for ever because the head of an
    // answer that broke off named a later copy of it.
    void headOfABrokenAnswerCounts()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: ";
        int answers = 0;
        RawWorker raw(
                *this->loop,
                [&](int) {
                    return ++answers == 1 ? head + "9\r\nContent-Length: 90\r\n\r\n{\"items\":["
                                          : head
                                                    + "1\r\nContent-Length: 30\r\n\r\n"
                                                      R"({"items":[],"storeRevision":7})";
                },
                RawWorker::End::Close);
        PlatformStore client(*this->loop, raw.address);
        const auto read = [&] {
            return this->awaitResult([&](auto callback) { client.readBackends(callback); });
        };
        const auto broken = read();
        CPPUNIT_ASSERT(broken.status == Status::Failed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), broken.generation);
        CPPUNIT_ASSERT(read().status == Status::Ok);
    }

private:
    template <typename Call>
    StateStore::Result awaitResult(const Call &call)
    {
        std::optional<StateStore::Result> callResult;
        call([&callResult](const StateStore::Result &result) { callResult = result; });
        this->loop->runUntil([&] { return callResult.has_value(); }, TestTimeout);
        CPPUNIT_ASSERT_MESSAGE("the call did not complete in time", callResult.has_value());
        return *callResult;
    }

    std::unique_ptr<EventLoop> loop;
    std::string address;
    std::unique_ptr<StoreServer> server;
    std::unique_ptr<PlatformStore> store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

} // namespace Nutmegrill
