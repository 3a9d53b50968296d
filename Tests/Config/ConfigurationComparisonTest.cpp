#include "Config/ConfigurationComparison.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using Action = ObjectChange::Action;
using std::chrono::milliseconds;

Configuration configurationInForce()
{
    Configuration inForce;
    inForce.places = {{"region", {{"east", false, 0}, {"west", false, 0}}}};
    ServiceDeclaration service;
    service.name = "writer";
    service.failureDomains = {"east", "west"};
    inForce.services = {service};
    inForce.modelGroups = {{"group", "writer", "east", 4, 1, 8, 2, 1024}};
    ClientAccount account;
    account.name = "office";
    account.keyHash = "k1";
    account.furtherKeyHashes = {"k2"};
    account.services = {"writer"};
    inForce.clientAccounts = {account};
    Route route;
    route.name = "notes";
    route.host = "a.example";
    route.pathPrefix = "/notes/";
    route.targets = {{"writer", 2}, {"ledger", 1}};
    inForce.routes = {route};
    return inForce;
}

struct Edit
{
    const char *description;
    std::function<void(Configuration &)> apply;
    Action action;
};

const std::vector<Edit> &edits()
{
    static const std::vector<Edit> rows{
            {"account gone", [](auto &set) { set.clientAccounts.clear(); }, Action::Removed},
            {"group gone", [](auto &set) { set.modelGroups.clear(); }, Action::Removed},
            {"new route",
             [](auto &set) {
                 set.routes.push_back(set.routes[0]);
                 set.routes[1].name = "other";
             },
             Action::Added},
            {"keys exchanged",
             [](auto &set) {
                 set.clientAccounts[0].keyHash = "k2";
                 set.clientAccounts[0].furtherKeyHashes = {"k1"};
             },
             Action::Changed},
            {"key lost", [](auto &set) { set.clientAccounts[0].furtherKeyHashes.clear(); },
             Action::Narrowed},
            {"more services",
             [](auto &set) { set.clientAccounts[0].services.emplace_back("ledger"); },
             Action::Changed},
            {"other services", [](auto &set) { set.clientAccounts[0].services = {"ledger"}; },
             Action::Narrowed},
            {"higher priority", [](auto &set) { set.clientAccounts[0].priority = 0; },
             Action::Changed},
            {"connections limited", [](auto &set) { set.services[0].maxConnections = 5; },
             Action::Narrowed},
            {"domain lost", [](auto &set) { set.places[0].failureDomains.pop_back(); },
             Action::Narrowed},
            {"domain out", [](auto &set) { set.places[0].failureDomains[0].out = true; },
             Action::Narrowed},
            {"fewer ranks", [](auto &set) { set.modelGroups[0].ranks = 3; }, Action::Narrowed},
            {"weights moved", [](auto &set) { set.routes[0].targets[0].weight = 1; },
             Action::Changed},
            {"target off", [](auto &set) { set.routes[0].targets[1].weight = 0; },
             Action::Narrowed},
            {"longer timeout", [](auto &set) { set.routes[0].timeout *= 2; }, Action::Changed},
            {"shorter timeout", [](auto &set) { set.routes[0].timeout /= 2; }, Action::Narrowed},
            {"made public", [](auto &set) { set.routes[0].isPublic = true; }, Action::Changed},
            {"other prefix", [](auto &set) { set.routes[0].pathPrefix = "/n/"; }, Action::Narrowed},
            {"smaller bodies", [](auto &set) { set.callerLimits.bodyBytes = 1; },
             Action::Narrowed}};
    return rows;
}

} // namespace

class ConfigurationComparisonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationComparisonTest);
    CPPUNIT_TEST(equalObjectsAreNotListed);
    CPPUNIT_TEST(eachEditIsClassified);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against changes reported only because a version has another number or author.
    void equalObjectsAreNotListed()
    {
        Configuration next = configurationInForce();
        next.version = 9;
        next.author = "someone";
        CPPUNIT_ASSERT(ConfigurationComparison::compare(configurationInForce(), next).empty());
    }

    // Guards against an edit that takes something away without being marked, and against marks on
    // edits that only add.
    void eachEditIsClassified()
    {
        for (const auto &[description, apply, action] : edits()) {
            Configuration next = configurationInForce();
            apply(next);
            const auto changes = ConfigurationComparison::compare(configurationInForce(), next);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::size_t(1), changes.size());
            CPPUNIT_ASSERT_MESSAGE(description, action == changes[0].action);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationComparisonTest);

} // namespace Nutmegrill
