#include "Config/DeclarationChecker.h"
#include "Config/ByteSize.h"
#include "Config/ConfigurationCodec.h"
#include "Config/ConfigurationDiff.h"
#include "Core/Hash.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

const std::string hashA(64, 'a');

const std::string validSet = "kind: Place\nname: region\nfailureDomains: [east, west]\n---\n"
                             "kind: Service\nname: writer\ntype: model\nmodel: m1\n"
                             "failureDomains: [east]\nkvBytes: 8GiB\n---\n"
                             "kind: ModelGroup\nname: group\nservice: writer\n"
                             "failureDomain: east\nranks: 4\nexpertsPerLayer: 8\n"
                             "slotsPerRank: 2\nexpertBytes: 1 MiB\n---\n"
                             "kind: ClientAccount\nname: office\nkeyHash: "
                             + hashA + "\nservices: [writer]\n";

// Every field differs from its default, so that the tests detect a field that the codec or the
// diff omits.
Configuration fullConfiguration()
{
    Configuration full;
    full.version = 7;
    full.changeId = "change";
    full.author = "operator";
    full.places = {{"region", {{"east", true, 3}}}};
    ServiceDeclaration service;
    service.name = "writer";
    service.kind = ServiceDeclaration::Kind::Model;
    service.model = "m1";
    service.failureDomains = {"east"};
    service.warmRequests = 9;
    service.coldRequests = 8;
    service.coldSeconds = 7;
    service.kvBytes = 6;
    service.kvBytesPerToken = 5;
    service.checksSender = true;
    service.checksFencing = true;
    service.calls = {{"GET", "/a/", true}};
    service.maxConnections = 4;
    service.coldRequestsPerSecond = 3;
    service.experts = {2, 3, 4, 5, 6, 7};
    full.services = {service};
    full.modelGroups = {{"group", "writer", "east", 4, 2, 8, 2, 1024}};
    ClientAccount account;
    account.name = "office";
    account.keyHash = hashA;
    account.weight = 2;
    account.services = {"writer"};
    account.maxQueued = 3;
    account.bufferBytes = 4;
    account.furtherKeyHashes = {std::string(64, 'b')};
    account.priority = 1;
    full.clientAccounts = {account};
    Route path;
    path.name = "notes";
    path.host = "a.example";
    path.pathPrefix = "/notes/";
    path.kind = Route::Kind::Stream;
    path.targets = {{"writer", 3}, {"other", 1}};
    path.timeout = std::chrono::milliseconds(8000);
    path.latencyTarget = std::chrono::milliseconds(400);
    path.pauseTarget = std::chrono::milliseconds(120);
    path.maxRuns = 3;
    path.priority = 2;
    path.isPublic = true;
    path.isResumable = true;
    full.routes = {path};
    using std::chrono::milliseconds;
    full.callerLimits = {1, 2, milliseconds(3), milliseconds(4)};
    return full;
}

DeclarationChecker::Result check(const std::string &yaml)
{
    Declarations declarations;
    declarations.addText("set.yaml", yaml);
    return DeclarationChecker::check(declarations);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE("test text lacks " + from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

const std::string route = "services: [writer]\n---\nkind: Route\nname: notes\nhost: a.example\n"
                          "pathPrefix: /notes/\nrequests: stream\nservices: [writer]\n";

std::string errorTexts(const DeclarationChecker::Result &result)
{
    std::string all;
    for (const DeclarationError &error : result.errors)
        all += error.text() + "\n";
    return all;
}

// A modification of the valid set and a part of the one error that it must cause.
struct Fault
{
    std::string from;
    std::string to;
    std::string expected;
};

const std::vector<Fault> &faults()
{
    using List = std::vector<Fault>;
    static const List list{
            {"kind: Place", "kind: Plase",
             "set.yaml:1: Plase region: unknown kind `Plase`; fix: did you mean `Place`?"},
            {"kvBytes: 8GiB", "kvByte: 8GiB",
             ":10: Service writer: unknown field `kvByte`; fix: did you mean `kvBytes`?"},
            {"kvBytes: 8GiB", "kvBytes: 8GB",
             ":10: Service writer: field `kvBytes` is not a size in bytes: `8GB`"},
            {"kvBytes: 8GiB", "kvBytes: [1]", "`kvBytes` is not a single value"},
            {"kvBytes: 8GiB", "warmRequests: 2\ncoldRequests: 3",
             ":11: Service writer: the cold limit 3 is above the warm limit 2"},
            {"kvBytes: 8GiB", "coldRequests: 0", "`coldRequests` is out of range: 0"},
            {"kvBytes: 8GiB", "warmRequests: -1", "`warmRequests` is not a whole number: `-1`"},
            {"kvBytes: 8GiB", "checksSender: yes", "neither true nor false: `yes`"},
            {"kvBytes: 8GiB", "kvBytesPerToken: 1KiB", "no effect without `kvBytes`"},
            {"kvBytes: 8GiB", "model: m1", ":10: Service writer: field `model` is declared twice"},
            {"model: m1\n", "", "a model service has no `model`"},
            {"type: model", "type: modle", "unknown value `modle`; fix: write `model`"},
            {"[east, west]", "[east, east]",
             "failure domain `east` already belongs to Place region"},
            {"[east, west]", "[{name: east, state: off}]", "unknown value `off`"},
            {"[east, west]", "[{name: east, epoch: 4}]", "unknown field `epoch`"},
            {"[east, west]", "[east, West]", "malformed name `West`"},
            {"failureDomains: [east]", "failureDomains:\n  - east\n  - wset",
             ":11: Service writer: there is no failure domain `wset`; fix: did you mean `west`?"},
            {"failureDomain: east", "failureDomain: west",
             ":15: ModelGroup group: service `writer` does not run in failure domain `west`"},
            {"service: writer", "service: riter",
             "there is no service `riter`; fix: did you mean `writer`?"},
            {"slotsPerRank: 2", "slotsPerRank: 1",
             ":18: ModelGroup group: the 4 slots of a layer cannot hold 8 experts; fix: raise "
             "`slotsPerRank` to at least 2"},
            {"ranks: 4\n", "", "field `ranks` is missing"},
            {"name: group", "name: group\nlayers: 1.5", "`layers` is not a whole number"},
            {"keyHash: a", "keyHash: A", "malformed `keyHash`"},
            {"services: [writer]", "services: [reader]", "there is no service `reader`"},
            {"services: [writer]", "services: writer", "`services` is not a list"},
            {"services: [writer]", "services: []", "list `services` is empty"},
            {"name: office\n", "", "field `name` is missing"},
            {"services: [writer]", "services: [writer]\n---\n- 1",
             ":26: the document is not an object"},
            {"services: [writer]",
             "services: [writer]\n---\nkind: ClientAccount\nname: other\nservices: "
             "[writer]\nkeyHash: "
                     + hashA,
             ":29: ClientAccount other: the key hash already belongs to ClientAccount office at "
             "set.yaml:21"},
            {"services: [writer]",
             "services: [writer]\n---\nkind: Place\nname: region\nfailureDomains: [north]",
             "already declared at set.yaml:1"},
            {"services: [writer]",
             "services: [writer]\n---\nkind: Service\nname: second\ntype: model\nmodel: "
             "m1\nfailureDomains: [west]",
             ":29: Service second: model `m1` already belongs to Service writer"},
            {"services: [writer]",
             "services: [writer]\n---\nkind: Service\nname: plain\ntype: plain\nfailureDomains: "
             "[west]\ncalls:\n  - {method: POST}",
             ":31: Service plain: a non-idempotent call has no path"},
            {"services: [writer]",
             "services: [writer]\n---\nkind: Service\nname: plain\ntype: plain\nfailureDomains: "
             "[west]\ncalls: [{method: POST, pathPrefix: x}]",
             "fix: write `pathPrefix: /x`"},
            {"services: [writer]", replaced(route, "/notes/", "/notes"),
             "Route notes: `pathPrefix` does not begin and end with `/`"},
            {"services: [writer]", replaced(route, "requests: stream", "requests: streaming"),
             "unknown value `streaming`; fix: write `stream`"},
            {"services: [writer]", replaced(route, "host: a.example\n", ""),
             "field `host` is missing"},
            {"services: [writer]", replaced(route, "stream\nservices: [writer]", "stream"),
             "field `services` is missing"},
            {"services: [writer]",
             replaced(route, "stream\nservices: [writer]", "stream\nservices: [wirter]"),
             "there is no service `wirter`; fix: did you mean `writer`?"},
            {"services: [writer]",
             replaced(route, "stream\nservices: [writer]",
                      "stream\nservices: [writer, {name: writer}]"),
             "service `writer` is listed twice"},
            {"services: [writer]",
             replaced(route, "stream\nservices: [writer]",
                      "stream\nservices: [{name: writer, weight: 0}]"),
             "`weight` is out of range: 0"},
            {"services: [writer]",
             route
                     + "timeoutMilliseconds: 500\n"
                       "latencyTargetMilliseconds: 600",
             "the latency target is above the timeout; fix: lower it to at most 500"},
            {"services: [writer]",
             replaced(route, "requests: stream", "requests: idempotent") + "resumable: true",
             "only streams can be resumed"},
            {"services: [writer]",
             replaced(route, "requests: stream", "requests: nonIdempotent")
                     + "pauseTargetMilliseconds: 100",
             "only streams have pauses"},
            {"services: [writer]",
             route + "---\n"
                     + replaced(route.substr(route.find("kind:")), "name: notes", "name: other"),
             "prefix `/notes/` of host `a.example` already belongs to Route notes"},
            {"services: [writer]", "services: [writer]\npriority: 10",
             "`priority` is out of range: 10"},
            {"services: [writer]", "services: [writer]\nfurtherKeyHashes: [short]",
             "malformed key hash `short`"},
            {"services: [writer]", "services: [writer]\nfurtherKeyHashes: [" + hashA + "]",
             "the key hash already belongs to ClientAccount office"},
    };
    return list;
}

} // namespace

class DeclarationCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeclarationCheckerTest);
    CPPUNIT_TEST(validSetGivesConfiguration);
    CPPUNIT_TEST(eachFaultIsOneErrorWithLineAndFix);
    CPPUNIT_TEST(allErrorsAreReportedInOneRun);
    CPPUNIT_TEST(unreadableFileHidesNoOtherError);
    CPPUNIT_TEST(arrangementOfFilesDoesNotMatter);
    CPPUNIT_TEST(byteSizesAreExact);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST(routesAreReadWithTheirUnits);
    CPPUNIT_TEST(codecKeepsEveryField);
    CPPUNIT_TEST(endlessDocumentSequenceIsRejected);
    CPPUNIT_TEST(aliasesAreExpandedWithinLimits);
    CPPUNIT_TEST(diffNamesEachChangedRouteField);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is read into the wrong place or with the wrong unit.
    void validSetGivesConfiguration()
    {
        const auto result = check(validSet);
        CPPUNIT_ASSERT_EQUAL(std::string(), errorTexts(result));
        CPPUNIT_ASSERT(result.configuration.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.configuration->version);
        const auto *service = result.configuration->findModel("m1");
        CPPUNIT_ASSERT(service != nullptr && service->kvBytes == std::uint64_t{8} << 30U);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 20U,
                             result.configuration->modelGroups.at(0).expertBytes);
        CPPUNIT_ASSERT(result.configuration->findAccountByKeyHash(hashA) != nullptr);
        CPPUNIT_ASSERT(!result.configuration->findFailureDomain("west")->out);
    }

    // Guards against a fault that passes, is reported at another line, or causes follow-up errors
    // that mislead the operator.
    void eachFaultIsOneErrorWithLineAndFix()
    {
        for (const Fault &fault : faults()) {
            const auto result = check(replaced(validSet, fault.from, fault.to));
            const std::string texts = errorTexts(result);
            CPPUNIT_ASSERT_MESSAGE(fault.expected + "\nnot in:\n" + texts,
                                   texts.find(fault.expected) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE("more than one error:\n" + texts, result.errors.size() == 1);
            CPPUNIT_ASSERT(!result.configuration.has_value());
            CPPUNIT_ASSERT(!result.errors.front().fix.empty());
        }
    }

    // Guards against a check that stops at the first error.
    void allErrorsAreReportedInOneRun()
    {
        std::string all = "kind: Nonsense\n---\n" + validSet;
        all = replaced(all, "kvBytes: 8GiB", "kvBytes: many");
        all = replaced(all, "slotsPerRank: 2", "slotsPerRank: 1");
        all = replaced(all, "services: [writer]", "services: [nobody, nowhere]\nwait: 0");
        const auto result = check(all);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(errorTexts(result), std::size_t{6}, result.errors.size());
        CPPUNIT_ASSERT(std::is_sorted(result.errors.begin(), result.errors.end()));
        CPPUNIT_ASSERT(!check("").errors.empty());
    }

    // Guards against false dangling references when a file of the set is missing, and against a
    // file error that hides the errors of other files.
    void unreadableFileHidesNoOtherError()
    {
        Declarations declarations;
        declarations.addText("broken.yaml", "kind: Place\nname: [\n");
        declarations.addText("services.yaml", "kind: Service\nname: writer\ntype: plain\n"
                                              "failureDomains: [east]\nwarmRequests: x\n");
        declarations.addFile("missing-file.yaml");
        const auto result = DeclarationChecker::check(declarations);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(errorTexts(result), std::size_t{3}, result.errors.size());
        CPPUNIT_ASSERT(!result.configuration.has_value());
    }

    // Guards against a digest that depends on how the operator spreads objects over files.
    void arrangementOfFilesDoesNotMatter()
    {
        Declarations reordered;
        for (std::size_t end = validSet.size(); end != std::string::npos;) {
            const auto begin = validSet.rfind("---\n", end - 1);
            const std::size_t start = begin == std::string::npos ? 0 : begin + 4;
            reordered.addText("part.yaml", validSet.substr(start, end - start));
            end = begin;
        }
        CPPUNIT_ASSERT_EQUAL(
                encodeConfiguration(*check(validSet).configuration),
                encodeConfiguration(*DeclarationChecker::check(reordered).configuration));
    }

    // Guards against a size that wraps around or is read in decimal units.
    void byteSizesAreExact()
    {
        CPPUNIT_ASSERT(parseByteSize("16777215TiB") == std::uint64_t{16777215} << 40U);
        for (const char *text :
             {"16777216TiB", "", "GiB", "1.5GiB", "-1", "8gib", "8  GiB", "18446744073709551616"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseByteSize(text).has_value());
    }

    // Guards against examples that the checker rejects or that no longer match the design page.
    void examplesAreValid()
    {
        const char *root = std::getenv("NUTMEGRILL_EXAMPLES_DIRECTORY");
        CPPUNIT_ASSERT(root != nullptr);
        for (const std::string deployment : {"gleamway", "association"}) {
            Declarations declarations;
            for (const std::string file : {"places", "services", "accounts", "routes"})
                declarations.addFile(std::string(root) + "/" + deployment + "/" + file + ".yaml");
            const auto result = DeclarationChecker::check(declarations);
            CPPUNIT_ASSERT_EQUAL(std::string(), errorTexts(result));
            const Configuration &configuration = *result.configuration;
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, configuration.places.at(0).failureDomains.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, configuration.services.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, configuration.modelGroups.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, configuration.clientAccounts.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, configuration.routes.size());
            for (const ClientAccount &account : configuration.clientAccounts)
                CPPUNIT_ASSERT_EQUAL(sha256Hex("example-key-" + account.name), account.keyHash);
        }
    }

    // Guards against a route whose durations, weights or kind are read into the wrong field.
    void routesAreReadWithTheirUnits()
    {
        const auto result = check(
                replaced(validSet, "services: [writer]",
                         replaced(route, "stream\nservices: [writer]",
                                  "stream\nservices: [{name: writer, weight: 3}]")
                                 + "timeoutMilliseconds: 8000\nlatencyTargetMilliseconds: 400\n"
                                   "pauseTargetMilliseconds: 120\nmaxRuns: 3\nresumable: true\n"
                                   "priority: 2\npublic: true"));
        CPPUNIT_ASSERT_EQUAL(std::string(), errorTexts(result));
        Route expected = fullConfiguration().routes.front();
        expected.targets = {{"writer", 3}};
        CPPUNIT_ASSERT(expected == result.configuration->routes.at(0));
    }

    // Guards against a field that is lost on its way through the store, and against a document of
    // an older version, which lacks fields, being rejected.
    void codecKeepsEveryField()
    {
        const Configuration full = fullConfiguration();
        CPPUNIT_ASSERT(full == decodeConfiguration(encodeConfiguration(full)));
        CPPUNIT_ASSERT(decodeConfiguration(R"({"version":3,"places":[]})").has_value());
        CPPUNIT_ASSERT(!decodeConfiguration(R"({"routes":[{"timeout":"soon"}]})").has_value());
    }

    // Guards against a change of a route that an operator does not see before publishing it.
    void diffNamesEachChangedRouteField()
    {
        const Configuration before = fullConfiguration();
        Configuration after = before;
        after.routes.front().timeout = std::chrono::milliseconds(9000);
        after.routes.front().targets.pop_back();
        after.clientAccounts.front().priority.reset();
        const std::vector<std::string> expected{
                "~ ClientAccount office: priority 1 -> null",
                R"(~ Route notes: targets [{"service":"writer","weight":3},)"
                R"({"service":"other","weight":1}] -> [{"service":"writer","weight":3}])",
                "~ Route notes: timeout 8000 -> 9000"};
        CPPUNIT_ASSERT(expected == diffConfigurations(before, after));
        after.routes.clear();
        CPPUNIT_ASSERT_EQUAL(std::string("- Route notes"),
                             diffConfigurations(before, after).back());
    }

    // Found by fuzzing (declarations, seed 1, run 424): for this text the YAML library returned
    // empty documents until memory was exhausted.
    void endlessDocumentSequenceIsRejected()
    {
        const auto result = check("kind: Route\nhost: 2}pathPrefix: /a/\nservices: ][{name: s}]\n");
        CPPUNIT_ASSERT(!result.errors.empty() && !result.configuration);
    }

    // Guards against an alias that is read as nothing, and against a small text whose aliases
    // expand until memory is exhausted or whose nesting overflows the stack.
    void aliasesAreExpandedWithinLimits()
    {
        Declarations declarations;
        declarations.addText("set.yaml", "kind: Place\nname: &n a\nfailureDomains: [*n, b]\n");
        const auto &fields = declarations.objects().at(0).fields.children;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fields.at(2).children.at(0).text);
        CPPUNIT_ASSERT_EQUAL(3, fields.at(2).line);
        std::string wide = "kind: Place\na0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
        std::string deep = "kind: Place\na0: &a0 [x]\n";
        for (int level = 1; level < 100; ++level) {
            const std::string anchor = "a" + std::to_string(level);
            const std::string alias = "*a" + std::to_string(level - 1);
            std::string items = alias;
            for (int item = 1; item < 10; ++item)
                items += ", " + alias;
            wide += anchor + ": &" + anchor + " [" + items + "]\n";
            deep += anchor + ": &" + anchor + " [" + alias + "]\n";
        }
        for (const std::string &text : {wide, deep, std::string("kind: &k [*k]\n")})
            CPPUNIT_ASSERT(check(text).errors.at(0).code == DeclarationError::Code::MalformedYaml);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationCheckerTest);

} // namespace Nutmegrill
