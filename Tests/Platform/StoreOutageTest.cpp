#include "RelayEntryFixture.h"
#include "StoreServer.h"
#include "platform/PlatformStore.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// The store silently drops calls for this long; rows expire after three heartbeats of 1.2 s.
constexpr milliseconds OutageTime{4000};
/// Expired rows are registered again within this time after the store is back.
constexpr milliseconds ReregistrationTime{2000};
/// Time for a change in the store to reach the entries.
constexpr milliseconds SpreadTime{300};
constexpr int Requests = 20;

/// Backend server of the service p that counts its requests.
struct CountingWorker
{
    explicit CountingWorker(EventLoop &loop)
        : address(freeAddress()),
          listener(loop, this->address, 64, [this](const HttpListener::Request &request) {
              ++this->requests;
              this->listener.find(request.id)
                      ->reply(200, "OK",
                              {{"Attempt-Id", *request.head.find("Attempt-Id")},
                               {"Response-Seal", "seal"}},
                              "done");
          })
    {}

    std::string record() const
    {
        return R"({"service":"p","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::string address;
    HttpListener listener;
    int requests = 0;
};

/// An entry with its own connections to the store.
struct StoreEntry
{
    StoreEntry(EventLoop &loop, RelayEntry::Options options, const std::string &storeAddress,
               const PlatformProtocol &protocol, const PlatformDecoder &decoder)
        : options(std::move(options)), store(loop, storeAddress),
          entry(loop, this->options, protocol, decoder, this->store)
    {}

    RelayEntry::Options options;
    PlatformStore store;
    RelayEntry entry;
};

} // namespace

/// Tests which removed backend servers entries still use after trouble with the store, against an
/// emulated store on loopback.
class StoreOutageTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(StoreOutageTest);
    CPPUNIT_TEST(removedServerGetsRequestsAfterACutWatch);
    CPPUNIT_TEST(removedServerGetsRequestsAfterACompaction);
    CPPUNIT_TEST(removedServerGetsRequestsAfterAnotherEntryWasCutOff);
    CPPUNIT_TEST(unreadableRowIsUsedAfterAnOutage);
    CPPUNIT_TEST(liveServerIsDroppedAfterAnOutage);
    CPPUNIT_TEST(entryThatDoesNotWatchDropsLiveServers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->storeAddress = freeAddress();
        this->server = std::make_unique<StoreServer>(*this->loop, this->storeAddress);
        this->server->put("op/config", configuration(1, "key"));
        for (int number = 1; number <= 2; ++number) {
            this->workers.push_back(std::make_unique<CountingWorker>(*this->loop));
            this->server->put("servers/w" + std::to_string(number), this->workers.back()->record());
        }
    }

    void tearDown() override
    {
        this->clients.clear();
        this->entries.clear();
        this->workers.clear();
        this->server.reset();
        this->loop.reset();
    }

    // Guards against requests to a removed backend server because a watch was cut shortly before.
    void removedServerGetsRequestsAfterACutWatch()
    {
        this->addEntry("e1");
        this->wait(milliseconds(1000));
        this->server->cutWatches();
        this->wait(milliseconds(400));
        this->server->remove("servers/w1");
        this->wait(SpreadTime);
        this->sendToAll(1);
        CPPUNIT_ASSERT_EQUAL(0, this->workers[0]->requests);
    }

    // The same when the store drops its history, hears nothing of a watch for a second and cuts it,
    // so that the removal shows only in a read of all keys.
    void removedServerGetsRequestsAfterACompaction()
    {
        this->addEntry("e1");
        this->wait(milliseconds(200));
        this->server->holdsBackEvents = true;
        this->wait(milliseconds(900));
        this->server->remove("servers/w1");
        this->wait(milliseconds(100));
        this->server->holdsBackEvents = false;
        this->server->compact();
        this->server->cutWatches();
        this->wait(SpreadTime);
        this->sendToAll(1);
        CPPUNIT_ASSERT_EQUAL(0, this->workers[0]->requests);
    }

    // Guards against requests to a removed backend server because an entry that was cut off from
    // the store tells the others that the store is back.
    void removedServerGetsRequestsAfterAnotherEntryWasCutOff()
    {
        StoreEntry &cut = this->addEntry("e1");
        this->addEntry("e2");
        this->wait(milliseconds(1000));
        cut.store.setAddress(freeAddress());
        this->wait(OutageTime);
        cut.store.setAddress(this->storeAddress);
        // The longest backoff of its calls is over.
        this->wait(milliseconds(1700));
        this->server->remove("servers/w1");
        this->wait(SpreadTime);
        this->sendToAll(2);
        CPPUNIT_ASSERT_EQUAL(0, this->workers[0]->requests);
    }

    // Guards against requests to a backend server whose row was replaced by an unreadable one: the
    // row has not expired.
    void unreadableRowIsUsedAfterAnOutage()
    {
        this->addEntry("e1");
        this->endOutage();
        this->wait(milliseconds(200));
        this->server->put("servers/w1", "{");
        this->wait(SpreadTime);
        this->sendToAll(1);
        CPPUNIT_ASSERT_EQUAL(0, this->workers[0]->requests);
    }

    // Guards against an outage after which live backend servers get no requests until they have
    // registered again, and against rows that stay in use for longer.
    void liveServerIsDroppedAfterAnOutage()
    {
        this->addEntry("e1");
        this->expireAll();
        for (int round = 0; round < 3; ++round) {
            this->wait(milliseconds(500));
            this->sendToAll(1);
        }
        this->server->put("servers/w2", this->workers[1]->record());
        this->wait(2 * ReregistrationTime - milliseconds(1500));
        const int before = this->workers[0]->requests;
        CPPUNIT_ASSERT(before > 0);
        this->sendToAll(1);
        CPPUNIT_ASSERT_EQUAL(before, this->workers[0]->requests);
    }

    // The same for an entry that learns changes only from others.
    void entryThatDoesNotWatchDropsLiveServers()
    {
        for (const char *name : {"e1", "e2", "e3"})
            this->addEntry(name);
        this->wait(milliseconds(1500));
        this->expireAll();
        this->wait(milliseconds(500));
        this->sendToAll(3);
        this->wait(milliseconds(800));
        this->sendToAll(3);
        this->wait(ReregistrationTime + SpreadTime);
        this->request(this->entries[0]->options.callerAddress);
        CPPUNIT_ASSERT_EQUAL(503, this->lastStatus);
    }

private:
    StoreEntry &addEntry(const std::string &name)
    {
        RelayEntry::Options options;
        options.name = name;
        options.failureDomain = "n";
        options.incarnation = 5;
        options.callerAddress = freeAddress();
        options.readinessAddress = freeAddress();
        options.directoryAddress = freeAddress();
        options.peerAddress = freeAddress();
        options.metricsAddress = freeAddress();
        options.node.retryLimit = {0.2, 50};
        this->entries.push_back(std::make_unique<StoreEntry>(
                *this->loop, options, this->storeAddress, this->protocol, this->decoder));
        StoreEntry &added = *this->entries.back();
        CPPUNIT_ASSERT_EQUAL(std::string(), added.entry.startError());
        const std::string &address = added.options.callerAddress;
        this->loop->runUntil(
                [&] {
                    this->request(address);
                    return this->lastStatus == 200;
                },
                TestTimeout);
        CPPUNIT_ASSERT_EQUAL(200, this->lastStatus);
        for (const auto &worker : this->workers)
            worker->requests = 0;
        return added;
    }

    /// The store drops all calls for a while.
    void endOutage()
    {
        this->server->isSilent = true;
        this->wait(OutageTime);
        this->server->isSilent = false;
        // The calls that were dropped have failed.
        this->wait(milliseconds(1200));
    }

    /// The same, and the rows of all backend servers expire meanwhile.
    void expireAll()
    {
        this->server->isSilent = true;
        this->wait(OutageTime);
        this->server->remove("servers/w1");
        this->server->remove("servers/w2");
        this->server->isSilent = false;
    }

    void request(const std::string &address)
    {
        Answer answer;
        RelayEntryFixture::request(address,
                                   "POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
                                   "Deadline-Ms: 800\r\nCredential: key\r\n"
                                   "Content-Length: 4\r\n\r\nbook",
                                   answer);
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        this->lastStatus = answer.status;
    }

    /// Each of the entries serves requests.
    void sendToAll(std::size_t count)
    {
        for (std::size_t entry = 0; entry < count; ++entry) {
            for (int number = 0; number < Requests; ++number) {
                this->request(this->entries[entry]->options.callerAddress);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(this->entries[entry]->options.name, 200,
                                             this->lastStatus);
            }
        }
    }

    void wait(milliseconds time)
    {
        this->loop->runUntil([] { return false; }, time);
    }

    std::string storeAddress;
    std::unique_ptr<StoreServer> server;
    std::vector<std::unique_ptr<CountingWorker>> workers;
    std::vector<std::unique_ptr<StoreEntry>> entries;
    int lastStatus = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageTest);

} // namespace Nutmegrill
