#include "platform/PlatformFormat.h"
#include "Config/CheckReport.h"
#include "Config/ConfigurationComparison.h"
#include "Config/ConfigurationLint.h"
#include "FreeAddress.h"
#include "Net/EventLoop.h"
#include "StoreServer.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

// One field a line, so that the tests can tell lines apart.
constexpr const char *ValidText = R"({"version":7,
"routes":[
{"name":"r1",
"hostname":"h.example",
"prefix":"/a/",
"timeoutMs":800,
"targetLatencyMs":400,
"trafficSplit":[{"service":"s","weight":90}],
"attempts":2}],
"services":[{"name":"s"}],
"limits":{
"maxHeaderBytes":9000,
"idleTimeoutMs":7000},
"tenants":[{"name":"x",
"apiKeys":["k1"]}]})";

/// A file that is deleted at the end of the test.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : path("/tmp/nutmegrill-format-test-" + std::to_string(getpid()) + ".json")
    {
        std::ofstream(this->path) << text;
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string path;
};

// Lines of the problems, as `line: object: message`.
std::vector<std::string> problems(const std::string &text)
{
    const TemporaryFile file(text);
    const auto loaded = PlatformFormat().load({file.path});
    CheckReport report;
    report.addErrors(loaded.errors);
    if (loaded.configuration)
        report.addFindings(ConfigurationLint::check(*loaded.configuration), *loaded.locator);
    report.sort();
    std::vector<std::string> lines = report.problemLines();
    for (std::string &line : lines)
        line = line.substr(file.path.size() + 1);
    return lines;
}

struct Edit
{
    std::string from;
    std::string to;
    /// Begin of the one line that must be reported.
    std::string expected;
};

const std::vector<Edit> &edits()
{
    static const std::vector<Edit> rows{
            {R"("targetLatencyMs":400)", R"("targetLatencyMs":900)",
             "7: warning: Route r1: the latency target 900 ms is above the timeout 800 ms"},
            {R"("weight":90)", R"("weight":0)", "8: warning: Route r1: all weights are 0"},
            {R"("service":"s")", R"("service":"t")", "8: Route r1: there is no service `t`"},
            {R"("attempts":2)", R"("attempts":0)", "9: warning: Route r1: a limit of 0 or less"},
            {R"("/a/")", R"("/a")", "5: warning: Route r1: prefix `/a`"},
            {R"("h.example")", R"("")", "4: warning: Route r1: the host has no name"},
            {R"("maxHeaderBytes":9000)", R"("maxHeaderBytes":0)",
             "12: warning: CallerLimits: a size limit of 0"},
            {R"(["k1"])", "[]", "15: warning: ClientAccount x: the account has no key"},
            {R"(["k1"]})", R"(["k1"]},
{"name":"y",
"apiKeys":["k1"]})",
             "17: ClientAccount y: the key never selects this account"},
            {R"({"name":"x",
"apiKeys":["k1"]})",
             "", "3: warning: Route r1: the list of client accounts is empty"},
            {R"("timeoutMs":800)", R"("timeoutMs":-1)", "3: Route r1: `timeoutMs` is negative"},
            {R"("weight":90)", R"("weight":-90)", "3: Route r1: `weight` is negative"},
            {R"("timeoutMs":800)", R"("timeoutMs":"x")", "3: Route r1: [json.exception"},
            {R"("timeoutMs":800)", R"("timeoutMs":)", "6: [json.exception.parse_error"},
            {R"("version":7)", R"("version":"7")", "1: version: `version` is not a whole number"}};
    return rows;
}

} // namespace

class PlatformFormatTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformFormatTest);
    CPPUNIT_TEST(eachProblemHasItsLine);
    CPPUNIT_TEST(unreadableFilesAreReported);
    CPPUNIT_TEST(storedVersionIsRead);
    CPPUNIT_TEST(largeFileIsCheckedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a problem of the platform's file that is missed or shown at another line.
    void eachProblemHasItsLine()
    {
        CPPUNIT_ASSERT(problems(ValidText).empty());
        // The default of the latency target, 1,000 ms, was not written by anybody.
        std::string withoutTarget = ValidText;
        withoutTarget.erase(withoutTarget.find("\"targetLatencyMs"), 22);
        CPPUNIT_ASSERT(problems(withoutTarget).empty());
        // Entries do not read this field.
        std::string unread = ValidText;
        unread.insert(unread.find("\"name\""), "\"longitude\":-9.1,");
        CPPUNIT_ASSERT(problems(unread).empty());
        for (const auto &[from, to, expected] : edits()) {
            std::string text = ValidText;
            const auto at = text.find(from);
            CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
            const auto lines = problems(text.replace(at, from.size(), to));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expected, std::size_t(1), lines.size());
            CPPUNIT_ASSERT_EQUAL(expected, lines[0].substr(0, expected.size()));
        }
    }

    // Guards against a check that passes because it has read nothing.
    void unreadableFilesAreReported()
    {
        const PlatformFormat format;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), format.load({"/nonexistent.json"}).errors.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), format.load({"a.json", "b.json"}).errors.size());
        CPPUNIT_ASSERT(!problems("").empty());
        CPPUNIT_ASSERT(!problems("[]").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), problems("{}").size());
    }

    // Guards against a comparison with nothing when the store has a version in force.
    void storedVersionIsRead()
    {
        EventLoop loop;
        const std::string address = freeAddress();
        const PlatformFormat format;
        StoreServer server(loop, address);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), (*format.readStored(loop, address))->version);
        server.put("op/config", ValidText);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), (*format.readStored(loop, address))->version);
        server.put("op/config", "{");
        CPPUNIT_ASSERT(!format.readStored(loop, address));
    }

    // Guards against steps whose time grows with the square of the client accounts: a set with
    // 100,000 has to be checked and compared within 5 s.
    void largeFileIsCheckedInTime()
    {
        std::string text = ValidText;
        std::string accounts;
        for (int index = 0; index < 100'000; ++index)
            accounts += ",{\"name\":\"account-" + std::to_string(index) + "\",\"apiKeys\":[\"key-"
                        + std::to_string(index) + "\"]}\n";
        text.insert(text.rfind(']'), accounts);
        // Processor time, which does not depend on the load of the machine.
        const std::clock_t begin = std::clock();
        CPPUNIT_ASSERT(problems(text).empty());
        const TemporaryFile file(text);
        const auto loaded = PlatformFormat().load({file.path});
        const auto changes = ConfigurationComparison::compare({}, *loaded.configuration);
        CPPUNIT_ASSERT(changes.size() > 100'000);
        CPPUNIT_ASSERT(std::clock() - begin < 5 * CLOCKS_PER_SEC);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFormatTest);

} // namespace Nutmegrill
