#include "Http/HttpHead.h"
#include "platform/PlatformDecoder.h"
#include "platform/PlatformEngine.h"
#include "platform/PlatformProtocol.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr const char *ConfigurationText =
        R"({"version":7,"routes":[{"name":"r1","hostname":"h.example","prefix":"/a/","kind":"streaming",
        "timeoutMs":8000,"targetLatencyMs":400,"priority":1,"trafficSplit":[{"service":"s","weight":90},
        {"service":"t","weight":10}],"attempts":2,"public":false,"canResume":true,"targetItlMs":120},
        {"name":"r2","hostname":"h.example","prefix":"/b/","kind":"something new","timeoutMs":800,
        "service":"t"}],
        "services":[{"name":"s","maxConnections":278,"coldStartS":3.0,"coldPerS":26.0,"engine":{
        "expertSets":4,"experts":72,"placements":8,"spares":3,"expertMb":780.0,"linkMbps":180000.0}},
        {"name":"t","maxConnections":96,"coldStartS":0.0,"coldPerS":0.0}],
        "limits":{"maxHeaderBytes":9000,"maxBodyBytes":100,"headerTimeoutMs":2000,"idleTimeoutMs":7000},
        "tenants":[{"name":"x","apiKeys":["k1","k2"],"priority":1}]})";

constexpr const char *BackendText =
        R"({"service":"s","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":12,
        "state":"draining","coldLeftMs":1500,"seq":4,"born":1783282043789})";

StateDecoder::DecodedChange decode(const std::string &key, const std::string &value)
{
    return PlatformDecoder().decode({key, value, 1});
}

} // namespace

class AdapterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdapterTest);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(backendRecordIsDecoded);
    CPPUNIT_TEST(invalidValuesAreUnreadable);
    CPPUNIT_TEST(oddBackendRecordIsLeftOut);
    CPPUNIT_TEST(keysAreDecodedByPrefix);
    CPPUNIT_TEST(requestHeadersAreReadAndReplaced);
    CPPUNIT_TEST(answerHeadsAreClassified);
    CPPUNIT_TEST(engineReportIsDecoded);
    CPPUNIT_TEST(paceOfAnEngineIsOptional);
    CPPUNIT_TEST(malformedEngineAnswersAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationIsDecoded()
    {
        const auto decoded = decode("op/config", ConfigurationText);
        const auto &configuration = *std::get<ConfigurationPtr>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), configuration.version);
        const Route &stream = configuration.routes.at(0);
        CPPUNIT_ASSERT(stream.kind == Route::Kind::Stream && stream.isResumable);
        CPPUNIT_ASSERT(stream.pauseTarget == milliseconds(120) && stream.maxRuns == 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stream.targets.size());
        // Requests of an unknown kind are never retried.
        CPPUNIT_ASSERT(configuration.routes.at(1).kind == Route::Kind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(26.0, configuration.services.at(0).coldRequestsPerSecond);
        CPPUNIT_ASSERT_EQUAL(72U, configuration.services.at(0).experts.count);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9000), configuration.callerLimits.headerBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             configuration.clientAccounts.at(0).furtherKeyHashes.size());
    }

    void backendRecordIsDecoded()
    {
        const auto record = std::get<BackendRecord>(decode("servers/i-1", BackendText));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), record.id);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), record.failureDomain);
        CPPUNIT_ASSERT(record.isLeaving && record.coldLeft == milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1783282043789), record.incarnation);
    }

    // Guards against a crash, or requests to a wrong address, when another writer stores an invalid
    // record.
    void invalidValuesAreUnreadable()
    {
        for (const std::string value :
             {"", "{", "[]", "7", "\xff\xfe", R"({"service":"s"})",
              R"({"service":1,"address":"10.0.0.9:80","zone":"n","slots":1,"state":"ready"})",
              R"({"service":"s","address":"10.0.0.9:80","zone":"n","slots":1,"state":"odd"})",
              R"({"service":"s","address":"10.0.0.9:80","zone":"n","slots":0,"state":"ready"})",
              R"({"service":"s","address":"nowhere","zone":"n","slots":1,"state":"ready"})"}) {
            const auto decoded = decode("servers/i-1", value);
            const auto *unreadable = std::get_if<StateDecoder::Unreadable>(&decoded);
            CPPUNIT_ASSERT_MESSAGE(value, unreadable != nullptr && unreadable->backend == "i-1");
        }
        const auto decoded = decode("op/config", "{}");
        CPPUNIT_ASSERT(std::holds_alternative<StateDecoder::Unreadable>(decoded));
    }

    // Guards against a record of another writer that ends the process, or that names a server with
    // billions of slots or an address that cannot be.
    void oddBackendRecordIsLeftOut()
    {
        const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
        const std::pair<const char *, std::string> changes[] = {
                {"slots", "4294967297"},
                {"slots", "-3"},
                {"slots", "1.5"},
                {"slots", "true"},
                {"slots", "1e400"},
                {"slots", "99999999999999999999999"},
                {"slots", "\"NaN\""},
                {"slots", deep},
                {"coldLeftMs", "9223372036854775807"},
                {"coldLeftMs", "-1"},
                {"coldLeftMs", "1e300"},
                {"born", "-7"},
                {"born", "1e30"},
                {"born", "18446744073709551616"},
                {"address", R"("10.0.0.9:0")"},
                {"address", R"("10.0.0.9:70000")"},
                {"address", R"("10.0.0.9:-1")"},
                {"address", R"("10.0.0.9:")"},
                {"address", R"("10.0.0.900:80")"},
                {"address", deep},
                {"service", "\"" + std::string(1'000'000, 's') + "\""},
                {"service", R"("s\r\nX: y")"},
                {"zone", R"("")"},
                {"state", deep},
                {"extra", deep}};
        for (const auto &[name, value] : changes) {
            std::string text = R"({"service":"s","address":"10.0.0.9:80","zone":"n","slots":1,)"
                               R"("state":"ready","coldLeftMs":0,"born":5})";
            text.insert(text.size() - 1, ",\"" + std::string(name) + "\":" + value);
            const auto decoded = decode("servers/i-1", text);
            const auto *unreadable = std::get_if<StateDecoder::Unreadable>(&decoded);
            CPPUNIT_ASSERT_MESSAGE(name + std::string(" ") + value.substr(0, 40),
                                   unreadable != nullptr && unreadable->backend == "i-1");
            CPPUNIT_ASSERT(unreadable->reason.size() < 300);
        }
        // A name that would add a header to the requests for the server.
        CPPUNIT_ASSERT(std::holds_alternative<StateDecoder::Unreadable>(
                decode("servers/i-1\r\nTenant: x", BackendText)));
    }

    void keysAreDecodedByPrefix()
    {
        const PlatformDecoder decoder;
        const auto takenOut =
                std::get<StateDecoder::DomainTakeOut>(decode("op/evacuate/north", "{}"));
        CPPUNIT_ASSERT(takenOut.isOut && takenOut.failureDomain == "north");
        const auto broughtBack = decoder.decode({"op/evacuate/north", std::nullopt, 2});
        CPPUNIT_ASSERT(!std::get<StateDecoder::DomainTakeOut>(broughtBack).isOut);
        const auto removed = decoder.decode({"servers/i-1", std::nullopt, 2});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             std::get<StateDecoder::BackendRemoved>(removed).id);
        const auto entry = decode(decoder.entryKey("e"), "10.0.0.1:7000");
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"),
                             std::get<StateDecoder::EntryAnnounced>(entry).peerAddress);
        CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(decode("other/key", "{}")));
    }

    // Guards against forwarding a caller's API key, or an account or instance that the caller
    // forged.
    void requestHeadersAreReadAndReplaced()
    {
        const PlatformProtocol protocol;
        HttpHead head;
        head.method = "POST";
        head.target = "/a/b?c=d%20e";
        head.headers = {{"Host", "h.example"},
                        {"Attempt-Id", "9c41"},
                        {"credential", "secret"},
                        {"Tenant", "forged"},
                        {"Expect-Instance", "i-9"},
                        {"Deadline-Ms", "8000"},
                        {"Token-Usage", "1460,80"},
                        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"Connection", "keep-alive, X-Own"},
                        {"X-Own", "1"},
                        {"X-Other", "kept"},
                        {"Last-Event-Id", "12"}};
        const RelayRequest request = protocol.readRequest(head);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.key);
        CPPUNIT_ASSERT_EQUAL(1460U, request.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80U, request.outputTokens);
        CPPUNIT_ASSERT(request.lastEvent == std::uint64_t(12));
        // The last part belongs to the request alone.
        CPPUNIT_ASSERT(request.sharedParts == std::vector<std::string>({"5c1e07a2", "91bd3f06"}));
        RelayCommand::StartAttempt start;
        start.backend = "i-1";
        start.account = "x";
        start.timeLeft = milliseconds(700);
        start.lastEvent = 14;
        CPPUNIT_ASSERT_EQUAL(std::string("POST /a/b?c=d%20e HTTP/1.1\r\nHost: h.example\r\n"
                                         "Attempt-Id: 9c41\r\nToken-Usage: 1460,80\r\n"
                                         "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
                                         "e4402b7d:250\r\n"
                                         "X-Other: kept\r\nDeadline-Ms: 700\r\n"
                                         "Expect-Instance: i-1\r\nTenant: x\r\n"
                                         "Last-Event-Id: 14\r\nContent-Length: 2\r\n\r\nhi"),
                             protocol.writeRequest(head, "hi", start));
        // Guards against engines that are not told which requests are urgent, and against a caller
        // that tells them.
        start.priority = 2;
        const std::string urgent = protocol.writeRequest(head, "hi", start);
        CPPUNIT_ASSERT(urgent.find("\r\nRequest-Priority: 2\r\n") != std::string::npos);
        start.priority = 40;
        CPPUNIT_ASSERT(protocol.writeRequest(head, "hi", start).find("Request-Priority: 9\r\n")
                       != std::string::npos);
    }

    void answerHeadsAreClassified()
    {
        const PlatformProtocol protocol;
        HttpHead head;
        head.status = 200;
        head.headers = {{"Attempt-Id", "a"}, {"Instance-Load", "3,1,8"}};
        CPPUNIT_ASSERT(!protocol.readAnswer(head, "b").has_value());
        // A success without the signature was not sent by a worker.
        CPPUNIT_ASSERT(!protocol.readAnswer(head, "a")->isUsable);
        head.headers.emplace_back("Response-Seal", "s");
        CPPUNIT_ASSERT(!protocol.readAnswer(head, "a")->requestsPerSecond);
        for (const auto &[text, limit] :
             {std::pair("2.5", std::optional(2.5)), std::pair("0", std::optional(0.0)),
              std::pair("none", std::optional<double>()), std::pair("-1", std::optional<double>()),
              std::pair("inf", std::optional<double>())}) {
            HttpHead limited = head;
            limited.headers.emplace_back("Server-Limit", text);
            CPPUNIT_ASSERT(protocol.readAnswer(limited, "a")->requestsPerSecond == limit);
        }
        // A pause is a number of seconds in a 503.
        for (const auto &[text, pause] :
             {std::pair("1.5", 1500), std::pair("1e300", 1000000000), std::pair("-1", -1),
              std::pair("soon", -1), std::pair("", -1), std::pair("1 ", -1),
              std::pair("Fri, 04 Dec 2026 23:00:00 GMT", -1), std::pair("nan", -1)}) {
            HttpHead refused;
            refused.status = 503;
            refused.headers = {{"Retry-After", text}, {"Not-Executed", "1"}};
            const auto read = protocol.readAnswer(refused, "a");
            CPPUNIT_ASSERT_EQUAL(pause < 0, read->hasUnreadablePause);
            CPPUNIT_ASSERT_EQUAL(pause, read->pause ? static_cast<int>(read->pause->count()) : -1);
            refused.status = 500;
            CPPUNIT_ASSERT(!protocol.readAnswer(refused, "a")->pause);
        }
        // No pause, and nothing unreadable.
        for (const char *text : {"0", "0.0", "0.0004"}) {
            HttpHead refused;
            refused.status = 503;
            refused.headers = {{"Retry-After", text}, {"Not-Executed", "1"}};
            const auto read = protocol.readAnswer(refused, "a");
            CPPUNIT_ASSERT(!read->pause && !read->hasUnreadablePause);
        }
        // Any value but 1 says nothing.
        for (const auto &[text, isLeaving] :
             {std::pair("1", true), std::pair("0", false), std::pair("", false),
              std::pair("yes", false), std::pair("11", false)}) {
            HttpHead leaving = head;
            leaving.headers.emplace_back("Server-Leaving", text);
            CPPUNIT_ASSERT_EQUAL(isLeaving, protocol.readAnswer(leaving, "a")->isLeaving);
        }
        const auto answer = protocol.readAnswer(head, "a");
        CPPUNIT_ASSERT(answer->isUsable && answer->load->waiting == 1);
        head.headers.emplace_back("Content-Encoding", "gzip");
        CPPUNIT_ASSERT(!protocol.readAnswer(head, "a")->isUsable);
        HttpHead rejected;
        rejected.status = 503;
        CPPUNIT_ASSERT(!protocol.readAnswer(rejected, "a")->notRun);
        rejected.headers = {{"Not-Executed", "1"}};
        CPPUNIT_ASSERT(protocol.readAnswer(rejected, "a")->notRun);
        rejected.status = 421;
        CPPUNIT_ASSERT(protocol.readAnswer(rejected, "a")->isMisdirected);
        const auto ownHeaders = protocol.ownHeaders("a", milliseconds(1250));
        CPPUNIT_ASSERT_EQUAL(std::string("1.250"), ownHeaders.at(1).second);
    }

    void engineReportIsDecoded()
    {
        const auto state = PlatformEngine().readReport(
                R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":12,"step":71,
                "map":4,"prepared":5,"armed":{"version":5,"step":80},"held":80})");
        CPPUNIT_ASSERT(state->isOpen && state->ranks == 12 && state->rank == 3);
        CPPUNIT_ASSERT(state->armed == (MapSwitch{5, 80}) && state->heldStep == std::uint64_t(80));
        CPPUNIT_ASSERT(state->preparedVersion == std::uint64_t(5) && state->mapVersion == 4);
    }

    // Guards against a report that is lost because of a pace without a value, and against values
    // that break the plans.
    void paceOfAnEngineIsOptional()
    {
        const auto paceOf = [](const std::string &field) {
            return PlatformEngine()
                    .readReport(R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},
                                "size":12,"step":71,"map":4,"prepared":null,"armed":null,
                                "held":null)"
                                + field + "}")
                    ->pace;
        };
        CPPUNIT_ASSERT_EQUAL(1.0, paceOf(""));
        CPPUNIT_ASSERT_EQUAL(4.5, paceOf(R"(,"pace":4.5)"));
        CPPUNIT_ASSERT_EQUAL(5.0, paceOf(R"(,"pace":5)"));
        CPPUNIT_ASSERT_EQUAL(100.0, paceOf(R"(,"pace":1e9)"));
        for (const std::string value : {"null", "0.5", "0", "-3", "\"5\"", "[5]"})
            CPPUNIT_ASSERT_EQUAL(1.0, paceOf(R"(,"pace":)" + value));
    }

    void malformedEngineAnswersAreRejected()
    {
        const PlatformEngine engine;
        for (const std::string body : {"", "{}", "[1]", R"({"group":7,"counts":"x","map":1})"}) {
            CPPUNIT_ASSERT(!engine.readReport(body));
            CPPUNIT_ASSERT(!engine.readCounts(body));
            CPPUNIT_ASSERT(!engine.readExperts(body));
        }
        CPPUNIT_ASSERT(engine.readCommandResult(202) == EngineCommandResult::Accepted);
        CPPUNIT_ASSERT(engine.readCommandResult(409) == EngineCommandResult::Refused);
        CPPUNIT_ASSERT(engine.readCommandResult(0) == EngineCommandResult::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterTest);

} // namespace Nutmegrill
