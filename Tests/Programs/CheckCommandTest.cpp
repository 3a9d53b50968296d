#include "Programs/CheckCommand.h"
#include "Config/ConfigurationCodec.h"
#include "Config/DeclarationChecker.h"
#include "Config/Declarations.h"
#include "Net/EventLoop.h"
#include "Programs/OperatorError.h"
#include "Programs/Settings.h"

#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <boost/leaf.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

const std::string validSet = "kind: Place\nname: region\nfailureDomains: [east]\n---\n"
                             "kind: Service\nname: ledger\ntype: plain\nfailureDomains: [east]\n"
                             "---\n"
                             "kind: ClientAccount\nname: office\nservices: [ledger]\nkeyHash: "
                             + std::string(64, 'a')
                             + "\n---\n"
                               "kind: Route\nname: records\nhost: a.example\n"
                               "pathPrefix: /records/\nrequests: idempotent\n"
                               "services: [ledger]\n";

/// Replaces the buffer of a standard stream and collects what is written.
class CapturedStream
{
public:
    explicit CapturedStream(std::ostream &stream)
        : stream(stream), original(stream.rdbuf(this->text.rdbuf()))
    {}
    ~CapturedStream() { this->stream.rdbuf(this->original); }
    CapturedStream(const CapturedStream &) = delete;
    CapturedStream &operator=(const CapturedStream &) = delete;

    std::string str() const { return this->text.str(); }

private:
    std::ostringstream text;
    std::ostream &stream;
    std::streambuf *original;
};

struct Outcome
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

} // namespace

class CheckCommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckCommandTest);
    CPPUNIT_TEST(exitCodesTellOutcomesApart);
    CPPUNIT_TEST(warningsHaveFileAndLine);
    CPPUNIT_TEST(takenAwayObjectsAreMarked);
    CPPUNIT_TEST(jsonHoldsEverything);
    CPPUNIT_TEST(publishedDocumentIsCompared);
    CPPUNIT_TEST(entryRatiosAreChecked);
    CPPUNIT_TEST(largeSetIsCheckedInTime);
    CPPUNIT_TEST(documentedOutputIsCurrent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->directory = std::filesystem::temp_directory_path()
                          / ("nutmegrill-check-test-" + std::to_string(getpid()));
        std::filesystem::create_directories(this->directory);
    }

    void tearDown() override { std::filesystem::remove_all(this->directory); }

    // Guards against a pipeline that publishes a set with errors, or with warnings it forbids.
    void exitCodesTellOutcomesApart()
    {
        const std::string valid = this->write("valid.yaml", validSet);
        const std::string warned = this->write("warned.yaml", withoutAccount());
        const std::string broken = this->write("broken.yaml", validSet + "unknown: 1\n");
        CPPUNIT_ASSERT_EQUAL(0, run({valid}).exitCode);
        CPPUNIT_ASSERT_EQUAL(0, run({valid, "--strict", "yes"}).exitCode);
        CPPUNIT_ASSERT_EQUAL(0, run({warned}).exitCode);
        CPPUNIT_ASSERT_EQUAL(3, run({warned, "--strict", "yes"}).exitCode);
        CPPUNIT_ASSERT_EQUAL(1, run({broken, "--strict", "yes"}).exitCode);
        CPPUNIT_ASSERT_EQUAL(2, run({}).exitCode);
        CPPUNIT_ASSERT_EQUAL(2, run({valid, "--format", "toml"}).exitCode);
        CPPUNIT_ASSERT_EQUAL(2, run({valid, "--output", "xml"}).exitCode);
        CPPUNIT_ASSERT_EQUAL(2, run({valid, "--against", "/nonexistent"}).exitCode);
        // Nothing listens on port 1.
        CPPUNIT_ASSERT_EQUAL(4,
                             run({valid, "--against", "store", "--store", "127.0.0.1:1"}).exitCode);
    }

    // Guards against findings that do not lead the operator to the place.
    void warningsHaveFileAndLine()
    {
        const std::string path = this->write("set.yaml", withoutAccount());
        const Outcome outcome = run({path});
        const std::string expected = path
                                     + ":10: warning: Route records: the list of client "
                                       "accounts is empty although this route is not public";
        CPPUNIT_ASSERT_EQUAL(expected, outcome.err.substr(0, expected.size()));
    }

    // Guards against a change that locks out callers without a mark.
    void takenAwayObjectsAreMarked()
    {
        const std::string next = this->write("next.yaml", withoutAccount() + "maxRuns: 3\n");
        const std::string inForce = this->write("in-force.yaml", validSet);
        const Outcome outcome = run({next, "--against", inForce});
        CPPUNIT_ASSERT_EQUAL(std::string("removed ClientAccount office\n"
                                         "changed Route records\n"
                                         "  maxRuns 1 -> 3\n"
                                         "1 of 2 changed objects are removed or narrowed\n"
                                         "ok: 1 places, 1 services, 0 model groups, 0 client "
                                         "accounts, 1 routes\n"),
                             outcome.out);
        CPPUNIT_ASSERT_EQUAL(std::string("no changes to the version in force\n"),
                             run({inForce, "--against", inForce}).out.substr(0, 35));
    }

    // Guards against a document that pipelines cannot read, also when there are errors.
    void jsonHoldsEverything()
    {
        const std::string next = this->write("next.yaml", withoutAccount());
        const std::string inForce = this->write("in-force.yaml", validSet);
        const auto checked =
                nlohmann::json::parse(run({next, "--against", inForce, "--output", "json"}).out);
        CPPUNIT_ASSERT(checked.at("valid") == true);
        CPPUNIT_ASSERT(checked.at("warnings").at(0).at("code") == "no-client-accounts");
        CPPUNIT_ASSERT(checked.at("warnings").at(0).at("line") == 10);
        CPPUNIT_ASSERT(checked.at("changes").at(0).at("action") == "removed");
        CPPUNIT_ASSERT(checked.at("changes").at(0).at("takesAway") == true);
        const std::string broken = this->write("broken.yaml", "kind: Rou\xff\n");
        const auto failed = nlohmann::json::parse(run({broken, "--output", "json"}).out);
        CPPUNIT_ASSERT(failed.at("valid") == false);
        CPPUNIT_ASSERT(!failed.at("errors").empty());
    }

    // Guards against a document of the store that is taken for a set of declarations.
    void publishedDocumentIsCompared()
    {
        Declarations declarations;
        declarations.addText("set.yaml", validSet);
        Configuration published = *DeclarationChecker::check(declarations).configuration;
        published.version = 4;
        const std::string document = this->write("published.json", encodeConfiguration(published));
        const std::string set = this->write("set.yaml", validSet);
        const std::string expected = "no changes to the version in force\n";
        CPPUNIT_ASSERT_EQUAL(expected,
                             run({set, "--against", document}).out.substr(0, expected.size()));
    }

    // Guards against steps whose time grows with the square of the client accounts: a set with
    // 100,000 has to be checked within 5 s.
    void largeSetIsCheckedInTime()
    {
        std::ostringstream text;
        text << validSet;
        for (int index = 0; index < 100'000; ++index)
            text << "---\nkind: ClientAccount\nname: account-" << index
                 << "\nservices: [ledger]\nkeyHash: " << std::setfill('0') << std::setw(64) << index
                 << "\n";
        const std::string set = this->write("large.yaml", text.str());
        // Processor time, which does not depend on the load of the machine.
        const std::clock_t begin = std::clock();
        CPPUNIT_ASSERT_EQUAL(0, run({set, "--strict", "yes"}).exitCode);
        CPPUNIT_ASSERT(std::clock() - begin < 5 * CLOCKS_PER_SEC);
    }

    // Guards against a page that shows output which the program no longer writes.
    void documentedOutputIsCurrent()
    {
        const char *root = std::getenv("NUTMEGRILL_SOURCE_DIRECTORY");
        CPPUNIT_ASSERT(root != nullptr);
        std::ifstream stream(std::filesystem::path(root) / "docs" / "check.md");
        const std::string page((std::istreambuf_iterator<char>(stream)), {});
        const auto previous = std::filesystem::current_path();
        std::filesystem::current_path(root);
        const Outcome outcome =
                run({"examples/check/next.yaml", "--against", "examples/check/in-force.yaml"});
        std::filesystem::current_path(previous);
        CPPUNIT_ASSERT_MESSAGE(outcome.err, page.find(outcome.err) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(outcome.out, page.find(outcome.out) != std::string::npos);
    }

    // Guards against ratios of the entries that are ignored or not found in the settings file.
    void entryRatiosAreChecked()
    {
        const std::string set = this->write("set.yaml", validSet);
        const std::string settings = this->write(
                "entry.settings", "name = e1\nretry-ratio = 0.1\n# comment\nhedge-ratio = 0.2\n");
        const Outcome outcome = run({set, "--entry-settings", settings, "--strict", "yes"});
        CPPUNIT_ASSERT_EQUAL(3, outcome.exitCode);
        const std::string expected = settings + ":4: warning: EntrySettings: the hedge ratio";
        CPPUNIT_ASSERT_EQUAL(expected, outcome.err.substr(0, expected.size()));
        const std::string malformed = this->write("entry.settings", "hedge-ratio = much\n");
        CPPUNIT_ASSERT_EQUAL(2, run({set, "--entry-settings", malformed}).exitCode);
    }

private:
    static std::string withoutAccount()
    {
        std::string text = validSet;
        const auto begin = text.find("kind: ClientAccount");
        return text.erase(begin, text.find("kind: Route") - begin);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string path = (this->directory / name).string();
        std::ofstream(path) << text;
        return path;
    }

    static Outcome run(const std::vector<std::string> &words)
    {
        std::vector<const char *> arguments{"nutmegrill", "check"};
        for (const std::string &word : words)
            arguments.push_back(word.c_str());
        Settings settings("nutmegrill", "");
        settings.allowPositionalArguments();
        settings.allow("store", Settings::Format::Address, "127.0.0.1:2379", "");
        CheckCommand::declareSettings(settings);
        Outcome outcome;
        EventLoop loop;
        const CapturedStream out(std::cout);
        const CapturedStream err(std::cerr);
        CPPUNIT_ASSERT(settings.read(static_cast<int>(arguments.size()), arguments.data()));
        outcome.exitCode = boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<int> {
                    if (auto result = CheckCommand(loop, settings).run(); !result)
                        return result.error();
                    return Settings::ExitOk;
                },
                [](const OperatorError &error) { return error.exitCode(); }, [] { return -1; });
        outcome.out = out.str();
        outcome.err = err.str();
        return outcome;
    }

    std::filesystem::path directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckCommandTest);

} // namespace Nutmegrill
