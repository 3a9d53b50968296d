#include "Config/ConfigurationLint.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using Code = LintFinding::Code;
using std::chrono::milliseconds;

// A configuration without findings: two services of which one has a model group, a route to each.
Configuration validConfiguration()
{
    Configuration valid;
    valid.places = {{"region", {{"east", false, 0}, {"west", true, 1}}}};
    ServiceDeclaration writer;
    writer.name = "writer";
    writer.failureDomains = {"east"};
    writer.warmRequests = 10;
    ServiceDeclaration ledger = writer;
    ledger.name = "ledger";
    valid.services = {writer, ledger};
    valid.modelGroups = {{"group", "writer", "east", 4, 1, 8, 2, 1024}};
    ClientAccount account;
    account.name = "office";
    account.keyHash = std::string(64, 'a');
    account.services = {"writer"};
    account.maxQueued = 40;
    valid.clientAccounts = {account};
    Route notes;
    notes.name = "notes";
    notes.host = "a.example";
    notes.pathPrefix = "/notes/";
    notes.targets = {{"writer", 1}};
    notes.maxRuns = 4;
    Route records = notes;
    records.name = "records";
    records.pathPrefix = "/records/";
    records.targets = {{"ledger", 1}};
    valid.routes = {notes, records};
    return valid;
}

/// A modification of the valid configuration, and the one finding that it must cause.
struct Fault
{
    const char *description;
    std::function<void(Configuration &)> apply;
    Code code;
    std::string label;
    std::string field;
};

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> rows{
            {"same host and prefix", [](auto &set) { set.routes[1].pathPrefix = "/notes/"; },
             Code::ShadowedRoute, "Route records", "pathPrefix"},
            {"prefix without a slash", [](auto &set) { set.routes[0].pathPrefix = "/notes"; },
             Code::UnreachableRoute, "Route notes", "pathPrefix"},
            {"prefix with a query", [](auto &set) { set.routes[0].pathPrefix = "/notes/?a/"; },
             Code::UnreachableRoute, "Route notes", "pathPrefix"},
            {"host with a port", [](auto &set) { set.routes[0].host = "a.example:80"; },
             Code::UnreachableRoute, "Route notes", "host"},
            {"host without a name", [](auto &set) { set.routes[0].host.clear(); },
             Code::MissingHost, "Route notes", "host"},
            {"one weight is 0",
             [](auto &set) {
                 set.routes[0].targets.push_back({"ledger", 0});
             },
             Code::WeightZero, "Route notes", "services"},
            {"all weights are 0", [](auto &set) { set.routes[0].targets[0].weight = 0; },
             Code::NoTarget, "Route notes", "services"},
            {"no target", [](auto &set) { set.routes[1].targets.clear(); }, Code::NoTarget,
             "Route records", "services"},
            {"unknown service", [](auto &set) { set.routes[1].targets[0].service = "other"; },
             Code::UnknownService, "Route records", "services"},
            {"repeated name", [](auto &set) { set.routes[1].name = "notes"; }, Code::DuplicateName,
             "Route notes", "name"},
            {"no failure domain", [](auto &set) { set.services[1].failureDomains.clear(); },
             Code::NoBackendServers, "Route records", "services"},
            {"all failure domains out",
             [](auto &set) { set.services[1].failureDomains = {"west"}; }, Code::NoBackendServers,
             "Route records", "services"},
            {"latency target above the timeout",
             [](auto &set) { set.routes[0].latencyTarget = milliseconds(30001); },
             Code::LatencyAboveTimeout, "Route notes", "latencyTargetMilliseconds"},
            {"pause target above the timeout",
             [](auto &set) { set.routes[0].pauseTarget = milliseconds(30001); },
             Code::PauseAboveTimeout, "Route notes", "pauseTargetMilliseconds"},
            {"more runs than servers", [](auto &set) { set.routes[0].maxRuns = 5; },
             Code::RunsAboveServers, "Route notes", "maxRuns"},
            {"no runs", [](auto &set) { set.routes[0].maxRuns = 0; }, Code::LimitZero,
             "Route notes", "maxRuns"},
            {"latency target 0", [](auto &set) { set.routes[0].latencyTarget = milliseconds(0); },
             Code::LimitZero, "Route notes", "latencyTargetMilliseconds"},
            {"no slots", [](auto &set) { set.services[1].warmRequests = 0; }, Code::LimitZero,
             "Service ledger", "warmRequests"},
            {"no cold slots", [](auto &set) { set.services[1].coldRequests = 0; }, Code::LimitZero,
             "Service ledger", "coldRequests"},
            {"quota above capacity", [](auto &set) { set.clientAccounts[0].maxQueued = 41; },
             Code::QuotaAboveCapacity, "ClientAccount office", "maxQueued"},
            {"no queue", [](auto &set) { set.clientAccounts[0].maxQueued = 0; }, Code::LimitZero,
             "ClientAccount office", "maxQueued"},
            {"no key", [](auto &set) { set.clientAccounts[0].keyHash.clear(); }, Code::MissingKey,
             "ClientAccount office", "keyHash"},
            {"repeated key",
             [](auto &set) {
                 set.clientAccounts.push_back(set.clientAccounts[0]);
                 set.clientAccounts[1].name = "second";
             },
             Code::DuplicateKey, "ClientAccount second", "keyHash"},
            {"service without a route",
             [](auto &set) { set.clientAccounts[0].services = {"unrouted"}; },
             Code::UnadmittedAccount, "ClientAccount office", "services"},
            {"only public routes",
             [](auto &set) {
                 set.clientAccounts[0].services.clear();
                 set.routes[0].isPublic = set.routes[1].isPublic = true;
             },
             Code::UnadmittedAccount, "ClientAccount office", "services"},
            {"no client accounts",
             [](auto &set) {
                 set.clientAccounts.clear();
                 set.routes[0].isPublic = true;
             },
             Code::NoClientAccounts, "Route records", ""},
            {"no header bytes", [](auto &set) { set.callerLimits.headerBytes = 0; },
             Code::LimitZero, "CallerLimits", "headerBytes"},
            {"no idle time", [](auto &set) { set.callerLimits.idleTime = milliseconds(0); },
             Code::LimitZero, "CallerLimits", "idleTime"}};
    return rows;
}

} // namespace

class ConfigurationLintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationLintTest);
    CPPUNIT_TEST(validConfigurationHasNoFindings);
    CPPUNIT_TEST(eachFaultIsFound);
    CPPUNIT_TEST(unknownServersAreNotCounted);
    CPPUNIT_TEST(hedgeRatioIsComparedWithTheRetryRatio);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against warnings about a set that is in order, which make operators ignore all.
    void validConfigurationHasNoFindings()
    {
        const auto findings = ConfigurationLint::check(validConfiguration(), {0.2, 0.1});
        CPPUNIT_ASSERT_EQUAL(std::string(), findings.empty() ? "" : findings[0].message);
        CPPUNIT_ASSERT(ConfigurationLint::check({}).empty());
    }

    // Guards against a fault that is missed, reported twice or at the wrong object or field.
    void eachFaultIsFound()
    {
        for (const auto &[description, apply, code, label, field] : faults()) {
            Configuration faulty = validConfiguration();
            apply(faulty);
            const auto findings = ConfigurationLint::check(faulty);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::size_t(1), findings.size());
            CPPUNIT_ASSERT_MESSAGE(description, code == findings[0].code);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, label, findings[0].label());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, field, findings[0].field);
        }
    }

    // Guards against warnings that rest on an unknown number of servers: a service without a model
    // group may have any, and a format without places does not declare where services run.
    void unknownServersAreNotCounted()
    {
        Configuration unknown = validConfiguration();
        unknown.modelGroups.clear();
        unknown.places.clear();
        unknown.services[0].failureDomains.clear();
        unknown.routes[0].maxRuns = 9;
        unknown.clientAccounts[0].maxQueued = 100'000;
        CPPUNIT_ASSERT(ConfigurationLint::check(unknown).empty());
    }

    // Guards against a warning where second attempts are disabled or a ratio was not given.
    void hedgeRatioIsComparedWithTheRetryRatio()
    {
        const auto count = [](const EntryRatios &ratios) {
            return ConfigurationLint::check(validConfiguration(), ratios).size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count({0.1, 0.2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count({0.0, 0.1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count({0.2, 0.2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count({0.0, 0.0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count({{}, 0.5}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLintTest);

} // namespace Nutmegrill
