#include "RelayEntryFixture.h"
#include "RelayShell/DatagramSocket.h"
#include "RelayShell/GroupQueryCodec.h"
#include "RelayShell/PeerCodec.h"

#include <string>

namespace Nutmegrill {

namespace {

constexpr const char *ModelConfiguration =
        R"({"version":5,"routes":[{"name":"r1","hostname":"h.example","prefix":"/s/",
        "kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"service":"m"}],
        "services":[{"name":"m","engine":{"expertSets":4,"experts":72,"placements":8}},
        {"name":"p"}]})";

} // namespace

/// An entry asks the agents of model servers for their groups.
class ModelGroupQueryTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(ModelGroupQueryTest);
    CPPUNIT_TEST(messagesAreReadOnlyWhenWhole);
    CPPUNIT_TEST(entryAsksTheAgentsOfModelServers);
    CPPUNIT_TEST(slowRanksArePartOfTheAnswer);
    CPPUNIT_TEST(entryTellsTheOthersOfSlowRanks);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesAreReadOnlyWhenWhole()
    {
        const std::string query = encodeGroupQuery("10.0.0.1:7340");
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7340"), *decodeGroupQuery(query));
        const std::string answer = encodeGroupMembership({"10.0.0.9:80", "g-7"});
        CPPUNIT_ASSERT_EQUAL(std::string("g-7"), decodeGroupMembership(answer)->group);
        CPPUNIT_ASSERT(!decodeGroupQuery(answer) && !decodeGroupMembership(query));
        for (std::size_t length = 0; length < query.size(); ++length)
            CPPUNIT_ASSERT(!decodeGroupQuery(std::string_view(query).substr(0, length)));
        for (std::size_t length = 0; length < answer.size(); ++length)
            CPPUNIT_ASSERT(!decodeGroupMembership(std::string_view(answer).substr(0, length)));
        for (const std::string &name : {std::string(), std::string(201, 'g')})
            CPPUNIT_ASSERT(!decodeGroupMembership(encodeGroupMembership({"10.0.0.9:80", name})));
    }

    void entryAsksTheAgentsOfModelServers()
    {
        const std::string &peer = this->options.peerAddress;
        int queries = 0;
        std::string replyAddress;
        DatagramSocket agent(
                *this->loop, "127.0.0.2" + peer.substr(peer.find(':')),
                [&](std::string_view bytes) {
                    if (const auto address = decodeGroupQuery(bytes)) {
                        ++queries;
                        replyAddress = *address;
                        agent.send(*address, encodeGroupMembership({"127.0.0.2:9", "g"}));
                    }
                });
        CPPUNIT_ASSERT(agent.isOpen());
        this->store->put("op/config", ModelConfiguration);
        this->store->put("servers/i-1", serverRecord("m", "127.0.0.2:9"));
        this->store->put("servers/i-2", serverRecord("p", "127.0.0.2:10"));
        this->loop->runUntil([&] { return queries > 0; }, TestTimeout);
        CPPUNIT_ASSERT_EQUAL(peer, replyAddress);
        // The answer has arrived, so the agent is not asked again.
        this->loop->runUntil([&] { return queries > 1; }, std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(1, queries);
    }

    // Guards against answers that entries without the field cannot read.
    void slowRanksArePartOfTheAnswer()
    {
        const std::vector<SlowRank> slow = {{"10.0.0.8:80", 4.5, std::chrono::milliseconds(120)}};
        const std::string answer = encodeGroupMembership({"10.0.0.9:80", "g-7", slow});
        CPPUNIT_ASSERT_EQUAL(std::string("g-7"), decodeGroupMembership(answer)->group);
        CPPUNIT_ASSERT(decodeGroupMembership(answer)->slowRanks == slow);
        const std::string without = encodeGroupMembership({"10.0.0.9:80", "g-7", {}});
        CPPUNIT_ASSERT(decodeGroupMembership(without)->slowRanks.empty());
        const std::vector<SlowRank> many(200, slow.front());
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(64),
                decodeGroupMembership(encodeGroupMembership({"a", "g", many}))->slowRanks.size());
    }

    // Guards against a notice that stays at the entry that a hub has told, or goes round for ever.
    void entryTellsTheOthersOfSlowRanks()
    {
        const std::string &own = this->options.peerAddress;
        const std::string peer = "127.0.0.3" + own.substr(own.find(':'));
        std::size_t told = 0;
        std::size_t reports = 0;
        DatagramSocket other(*this->loop, peer, [&](std::string_view bytes) {
            if (const auto report = decodeReport(bytes)) {
                ++reports;
                told += report->slowRanks.size();
            }
        });
        EntryReport report;
        report.name = "other";
        report.peerAddress = peer;
        report.sequence = 1;
        report.slowRanks = {{"127.0.0.2:9", 5, std::chrono::milliseconds(0)}};
        this->store->put("op/config", ModelConfiguration);
        this->store->put("servers/i-1", serverRecord("m", "127.0.0.2:9"));
        other.send(own, encodeReport(report));
        this->loop->runUntil([&] { return reports > 2; }, TestTimeout);
        CPPUNIT_ASSERT(reports > 2 && told == 0);
        other.send(own, encodeGroupMembership({"127.0.0.2:9", "g", report.slowRanks}));
        this->loop->runUntil([&] { return told > 0; }, TestTimeout);
        CPPUNIT_ASSERT(told > 0);
        this->loop->runUntil([] { return false; }, std::chrono::milliseconds(2200));
        const std::size_t toldInTime = told;
        this->loop->runUntil([] { return false; }, std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(toldInTime, told);
    }

private:
    static std::string serverRecord(const std::string &service, const std::string &address)
    {
        return R"({"service":")" + service + R"(","address":")" + address
               + R"(","zone":"n","slots":12,"state":"ready"})";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelGroupQueryTest);

} // namespace Nutmegrill
