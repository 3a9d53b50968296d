#include "Net/Base64.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "StandIns/StandIn.h"

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using namespace std::chrono_literals;
using Json = StandIn::Json;

constexpr const char *Address = "127.0.0.1:21301";

Json putRequest(const std::string &key, const std::string &value)
{
    return {{"key", encodeBase64(key)}, {"value", encodeBase64(value)}};
}

// Builds a transaction that puts the key if it is absent and reads it otherwise, as a claim does.
Json claim(const std::string &key, const std::string &value)
{
    return {{"compare",
             {{{"key", encodeBase64(key)},
               {"target", "CREATE"},
               {"result", "EQUAL"},
               {"create_revision", "0"}}}},
            {"success", {{{"request_put", putRequest(key, value)}}}},
            {"failure", {{{"request_range", {{"key", encodeBase64(key)}}}}}}};
}

} // namespace

/// Checks that the stand-in store behaves like etcd where the other tests rely on it.
class StoreStandInTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreStandInTest);
    CPPUNIT_TEST(rangeHasRevisionsAndLimit);
    CPPUNIT_TEST(compareAndSwapOnModRevisionAndValue);
    CPPUNIT_TEST(nestedTransactionsSeeTheStateBefore);
    CPPUNIT_TEST(invalidTransactionsChangeNothing);
    CPPUNIT_TEST(largeValuesAreRejected);
    CPPUNIT_TEST(leaseEndsUnlessKeptAlive);
    CPPUNIT_TEST(watchDeliversPastAndNewChanges);
    CPPUNIT_TEST(compactedWatchIsCancelled);
    CPPUNIT_TEST(lostAnswerTakesEffect);
    CPPUNIT_TEST(outageClosesOrIsSilent);
    CPPUNIT_TEST(staleReadsOnlyWhenSerializable);
    CPPUNIT_TEST(callsAboveTheRateWait);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->client = std::make_unique<HttpClient>(*this->loop);
        this->store = createStandIn(*this->loop);
        CPPUNIT_ASSERT(this->store->start({"--listen", Address, "--history", "5"}));
    }

    void tearDown() override
    {
        this->client.reset();
        this->store.reset();
        this->loop.reset();
    }

    // Guards against wrong revisions, and against a limited range answer without the `more` flag.
    void rangeHasRevisionsAndLimit()
    {
        this->put("a/1", "x");
        this->put("a/2", "y");
        this->put("a/1", "z");
        this->put("b", "other");
        const Json range{
                {"key", encodeBase64("a/")}, {"range_end", encodeBase64("a0")}, {"limit", "1"}};
        const Json answer = this->call("kv/range", range);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), answer.at("count").get<std::string>());
        CPPUNIT_ASSERT(answer.at("more").get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer.at("kvs").size());
        const Json item = answer["kvs"][0];
        CPPUNIT_ASSERT_EQUAL(encodeBase64("z"), item.at("value").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), item.at("create_revision").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("4"), item.at("mod_revision").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), item.at("version").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("5"), answer["header"]["revision"].get<std::string>());
        this->call("kv/deleterange", {{"key", encodeBase64("a/1")}});
        CPPUNIT_ASSERT_EQUAL(std::string(), this->read("a/1"));
    }

    // Guards against a compare-and-swap that succeeds although another writer changed the key.
    void compareAndSwapOnModRevisionAndValue()
    {
        this->put("head", "one");
        Json swap = claim("head", "two");
        swap["compare"][0] = {
                {"key", encodeBase64("head")}, {"target", "MOD"}, {"mod_revision", "2"}};
        CPPUNIT_ASSERT(this->call("kv/txn", swap).value("succeeded", false));
        CPPUNIT_ASSERT(!this->call("kv/txn", swap).value("succeeded", false));
        swap["compare"][0] = {{"key", encodeBase64("head")},
                              {"target", "VALUE"},
                              {"result", "NOT_EQUAL"},
                              {"value", encodeBase64("two")}};
        CPPUNIT_ASSERT(!this->call("kv/txn", swap).value("succeeded", false));
        swap["compare"][0] = {{"key", encodeBase64("head")},
                              {"target", "VERSION"},
                              {"result", "GREATER"},
                              {"version", "1"}};
        CPPUNIT_ASSERT(this->call("kv/txn", swap).value("succeeded", false));
    }

    // Guards against a batch of claims in which the outcome of one claim affects another.
    void nestedTransactionsSeeTheStateBefore()
    {
        this->put("claim/2", "theirs");
        const Json batch{{"success",
                          {{{"request_txn", claim("claim/1", "mine")}},
                           {{"request_txn", claim("claim/2", "mine")}},
                           {{"request_txn", claim("claim/3", "mine")}}}}};
        const Json answer = this->call("kv/txn", batch);
        CPPUNIT_ASSERT(answer.at("succeeded").get<bool>());
        const Json &parts = answer.at("responses");
        CPPUNIT_ASSERT(parts.at(0).at("response_txn").value("succeeded", false));
        CPPUNIT_ASSERT(!parts.at(1).at("response_txn").value("succeeded", false));
        CPPUNIT_ASSERT(parts.at(2).at("response_txn").value("succeeded", false));
        const Json &found = parts[1]["response_txn"]["responses"][0]["response_range"]["kvs"].at(0);
        CPPUNIT_ASSERT_EQUAL(encodeBase64("theirs"), found.at("value").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), answer["header"]["revision"].get<std::string>());
    }

    // Guards against accepting, or executing in part, a transaction that etcd would reject.
    void invalidTransactionsChangeNothing()
    {
        Json twice{{"success",
                    {{{"request_put", putRequest("a", "1")}}, {{"request_txn", claim("a", "2")}}}}};
        CPPUNIT_ASSERT_EQUAL(400, this->status("kv/txn", twice));
        Json unknown = claim("a", "1");
        unknown["success"].push_back({{"request_move", Json::object()}});
        CPPUNIT_ASSERT_EQUAL(400, this->status("kv/txn", unknown));
        Json large;
        for (int key = 0; key < 128; ++key)
            large["success"].push_back({{"request_txn", claim(std::to_string(key), "1")}});
        CPPUNIT_ASSERT_EQUAL(400, this->status("kv/txn", large));
        large["success"].erase(0);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->read("a"));
        CPPUNIT_ASSERT_EQUAL(200, this->status("kv/txn", large));
    }

    // Guards against accepting values above the size limit of the platform's store (1 MiB).
    void largeValuesAreRejected()
    {
        const std::string largest(1U << 20U, 'x');
        CPPUNIT_ASSERT_EQUAL(200, this->status("kv/put", putRequest("a", largest)));
        CPPUNIT_ASSERT_EQUAL(400, this->status("kv/put", putRequest("a", largest + "x")));
    }

    // Guards against leases that never expire and keep-alives without effect.
    void leaseEndsUnlessKeptAlive()
    {
        for (const char *id : {"7", "8"}) {
            this->call("lease/grant", {{"ID", id}, {"TTL", "1"}});
            Json request = putRequest(std::string("owner/") + id, "me");
            request["lease"] = id;
            this->call("kv/put", request);
        }
        const Instant end = this->loop->now() + 1500ms;
        while (this->loop->now() < end) {
            const Json answer = this->call("lease/keepalive", {{"ID", "8"}});
            CPPUNIT_ASSERT_EQUAL(std::string("1"), answer["result"]["TTL"].get<std::string>());
            this->loop->runUntil([] { return false; }, 100ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), this->read("owner/7"));
        CPPUNIT_ASSERT_EQUAL(std::string("me"), this->read("owner/8"));
        const Json expired = this->call("lease/timetolive", {{"ID", "7"}});
        CPPUNIT_ASSERT_EQUAL(std::string("-1"), expired.at("TTL").get<std::string>());
        CPPUNIT_ASSERT(!this->call("lease/keepalive", {{"ID", "7"}})["result"].contains("TTL"));
        this->call("lease/revoke", {{"ID", "8"}});
        CPPUNIT_ASSERT_EQUAL(std::string(), this->read("owner/8"));
        CPPUNIT_ASSERT_EQUAL(404, this->status("lease/revoke", {{"ID", "8"}}));
    }

    // Guards against a watch that misses changes made before or after it was opened.
    void watchDeliversPastAndNewChanges()
    {
        this->put("config/head", "1");
        this->put("other", "1");
        this->watch({{"key", encodeBase64("config/head")}, {"start_revision", "2"}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->lines().size() == 2; }));
        CPPUNIT_ASSERT(this->lines()[0]["result"]["created"].get<bool>());
        this->put("config/head", "2");
        this->call("kv/deleterange", {{"key", encodeBase64("config/head")}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->lines().size() == 4; }));
        const Json second = this->lines()[2]["result"]["events"].at(0);
        CPPUNIT_ASSERT_EQUAL(encodeBase64("2"), second["kv"]["value"].get<std::string>());
        const Json third = this->lines()[3]["result"]["events"].at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), third.at("type").get<std::string>());
        this->setFaults({{"dropWatches", 1}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->watchEnded; }));
        CPPUNIT_ASSERT(this->lines().back()["result"]["canceled"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(0, this->counters().at("openWatches").get<int>());
    }

    // Guards against a watch that silently skips changes that have been compacted.
    void compactedWatchIsCancelled()
    {
        for (int count = 0; count < 7; ++count)
            this->put("config/head", std::to_string(count));
        this->watch({{"key", encodeBase64("config/head")}, {"start_revision", "3"}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->watchEnded; }));
        const Json last = this->lines().back()["result"];
        CPPUNIT_ASSERT(last.at("canceled").get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), last.at("compact_revision").get<std::string>());
    }

    // Guards against a lost-answer fault that drops the write too.
    void lostAnswerTakesEffect()
    {
        this->setFaults({{"loseAnswers", 1}});
        CPPUNIT_ASSERT_EQUAL(0, this->status("kv/put", putRequest("a", "1")));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), this->read("a"));
        CPPUNIT_ASSERT_EQUAL(200, this->status("kv/put", putRequest("a", "2")));
    }

    // Guards against simulated outages in which calls are still executed or answered.
    void outageClosesOrIsSilent()
    {
        this->watch({{"key", encodeBase64("a")}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->lines().size() == 1; }));
        this->setFaults({{"down", "close"}});
        CPPUNIT_ASSERT(this->waitFor([this] { return this->watchEnded; }));
        CPPUNIT_ASSERT_EQUAL(0, this->status("kv/put", putRequest("a", "1")));
        this->setFaults({{"down", "silent"}});
        int status = -1;
        this->client->fetch(Address, this->request("kv/put", putRequest("a", "1")),
                            [&status](int answer, const std::string &) { status = answer; });
        this->loop->runUntil([] { return false; }, 100ms);
        CPPUNIT_ASSERT_EQUAL(-1, status);
        this->setFaults({{"down", ""}});
        CPPUNIT_ASSERT(this->waitFor([&status] { return status == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string(), this->read("a"));
    }

    // Guards against linearizable reads that return the stale snapshot.
    void staleReadsOnlyWhenSerializable()
    {
        this->put("a", "1");
        this->setFaults({{"staleReads", true}});
        this->put("a", "2");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), this->read("a", true));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), this->read("a"));
    }

    // Guards against a rate limit without effect, which would make measurements too optimistic.
    void callsAboveTheRateWait()
    {
        this->setFaults({{"writesPerSecond", 20}});
        const Instant start = this->loop->now();
        int answered = 0;
        for (int count = 0; count < 11; ++count)
            this->client->fetch(Address, this->request("kv/put", putRequest("a", "1")),
                                [&answered](int, const std::string &) { ++answered; });
        CPPUNIT_ASSERT(this->waitFor([&answered] { return answered == 11; }));
        CPPUNIT_ASSERT(this->loop->now() - start >= 490ms);
    }

private:
    bool waitFor(const std::function<bool()> &done) { return this->loop->runUntil(done, 5s); }

    static HttpClient::Request request(const std::string &path, const Json &body)
    {
        HttpClient::Request request;
        request.method = "POST";
        request.path = path[0] == '/' ? path : "/v3/" + path;
        request.body = body.dump();
        return request;
    }

    std::pair<int, Json> fetch(const HttpClient::Request &request)
    {
        int status = -1;
        Json answer;
        this->client->fetch(Address, request, [&](int code, const std::string &body) {
            status = code;
            answer = Json::parse(body, nullptr, false);
        });
        CPPUNIT_ASSERT(this->waitFor([&status] { return status >= 0; }));
        return {status, answer};
    }

    int status(const std::string &path, const Json &body)
    {
        return this->fetch(this->request(path, body)).first;
    }

    Json call(const std::string &path, const Json &body)
    {
        const auto [status, answer] = this->fetch(this->request(path, body));
        CPPUNIT_ASSERT_EQUAL(200, status);
        return answer;
    }

    void setFaults(const Json &body) { this->call("/faults", body); }

    Json counters()
    {
        HttpClient::Request request;
        request.path = "/counters";
        return this->fetch(request).second;
    }

    void put(const std::string &key, const std::string &value)
    {
        this->call("kv/put", putRequest(key, value));
    }

    std::string read(const std::string &key, bool serializable = false)
    {
        const Json answer = this->call(
                "kv/range", {{"key", encodeBase64(key)}, {"serializable", serializable}});
        if (!answer.contains("kvs"))
            return {};
        return decodeBase64(answer["kvs"].at(0).at("value").get<std::string>()).value();
    }

    void watch(const Json &create)
    {
        HttpClient::Handlers handlers;
        handlers.onData = [this](std::string_view data) { this->watched.append(data); };
        handlers.onEnd = [this] { this->watchEnded = true; };
        handlers.onFailure = [this](HttpClient::Failure) { this->watchEnded = true; };
        this->client->call(Address, this->request("watch", {{"create_request", create}}), handlers);
    }

    std::vector<Json> lines() const
    {
        std::vector<Json> parsed;
        std::istringstream input(this->watched);
        for (std::string line; std::getline(input, line);)
            parsed.push_back(Json::parse(line));
        return parsed;
    }

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<StandIn> store;
    std::string watched;
    bool watchEnded = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreStandInTest);

} // namespace Nutmegrill
