#include "Entry/RoutePolicy.h"
#include "Membership/RelaySelector.h"
#include "Membership/SubsetSelector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

class SelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectionTest);
    CPPUNIT_TEST(subsetIsBalancedOverFailureDomains);
    CPPUNIT_TEST(subsetChangesLittleWhenAnAgentLeaves);
    CPPUNIT_TEST(relayIsReplacedWhenItLeaves);
    CPPUNIT_TEST(samePromptPrefixSelectsOneAgentUntilItIsLoaded);
    CPPUNIT_TEST(tiesPreferOwnFailureDomain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry whose agents are mostly in one failure domain.
    void subsetIsBalancedOverFailureDomains()
    {
        std::map<std::string, int> domains;
        for (const std::string &agent : SubsetSelector(24).select("e1", "model", agents()))
            ++domains[agent.substr(0, 1)];
        CPPUNIT_ASSERT_EQUAL(8, domains["x"]);
        CPPUNIT_ASSERT_EQUAL(8, domains["y"]);
        CPPUNIT_ASSERT_EQUAL(8, domains["z"]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(90),
                             SubsetSelector(90).select("e1", "model", agents()).size());
    }

    // Guards against a subset that changes completely, and so loses its links and warm prefix
    // caches, when one agent leaves.
    void subsetChangesLittleWhenAnAgentLeaves()
    {
        std::vector<InstanceRecord> instances = agents();
        const std::vector<std::string> before = SubsetSelector(24).select("e1", "model", instances);
        for (InstanceRecord &instance : instances)
            instance.leaving = instance.name == before.front();
        const std::vector<std::string> after = SubsetSelector(24).select("e1", "model", instances);
        std::vector<std::string> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                              std::back_inserter(kept));
        CPPUNIT_ASSERT_EQUAL(std::size_t(24), after.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(23), kept.size());
    }

    // Guards against a failure domain without a relay, the process that watches the store.
    void relayIsReplacedWhenItLeaves()
    {
        std::vector<InstanceRecord> entries;
        entries.reserve(5);
        for (int number = 0; number < 5; ++number)
            entries.push_back({"e" + std::to_string(number), InstanceRecord::Role::Entry, "", "x",
                               "", false});
        const std::vector<std::string> before = RelaySelector::relaysOf("x", entries);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), before.size());
        for (InstanceRecord &entry : entries)
            entry.leaving = entry.name == before.front();
        const std::vector<std::string> after = RelaySelector::relaysOf("x", entries);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), after.size());
        CPPUNIT_ASSERT_EQUAL(before.back(), after.front());
        CPPUNIT_ASSERT(!RelaySelector::isRelay(before.front(), "x", entries));
    }

    // Guards against prefilling the same prompt prefix on several agents, and against overloading
    // one agent.
    void samePromptPrefixSelectsOneAgentUntilItIsLoaded()
    {
        std::vector<BackendTable::Row> rows = backends();
        const auto policy = RoutePolicy::make(EntrySettings::RoutePolicy::PrefixAffinity, "x");
        const std::string prefix = R"({"prompt":")" + std::string(300, 'p');
        const auto choose = [&](const std::string &id) {
            WorkMessage::Request request;
            request.requestId = id;
            request.body = prefix + id;
            RandomSource random(1);
            return policy->choose(request, candidates(rows), random)->agent;
        };
        const std::string preferred = choose("r1");
        CPPUNIT_ASSERT_EQUAL(preferred, choose("r2"));
        CPPUNIT_ASSERT_EQUAL(preferred, choose("r3"));
        for (BackendTable::Row &row : rows)
            row.status.running = row.agent == preferred ? 5 : 1;
        CPPUNIT_ASSERT(choose("r4") != preferred);
    }

    // Guards against unnecessary traffic between failure domains.
    void tiesPreferOwnFailureDomain()
    {
        std::vector<BackendTable::Row> rows = backends();
        const auto policy = RoutePolicy::make(EntrySettings::RoutePolicy::PrefixAffinity, "y");
        for (int number = 0; number < 20; ++number) {
            WorkMessage::Request request;
            request.requestId = std::to_string(number);
            request.body = std::to_string(number);
            RandomSource random(1);
            for (BackendTable::Row &row : rows)
                row.status.running = 0;
            // Fills the agent preferred for the prefix, so that the least loaded one is chosen.
            BackendTable::Row &preferred =
                    find(rows, policy->choose(request, candidates(rows), random)->agent);
            preferred.status.running = 10;
            const auto *chosen = policy->choose(request, candidates(rows), random);
            CPPUNIT_ASSERT_EQUAL(std::string("y"), chosen->failureDomain);
        }
    }

private:
    static std::vector<InstanceRecord> agents()
    {
        std::vector<InstanceRecord> instances;
        for (const std::string domain : {"x", "y", "z"}) {
            for (int number = 0; number < 30; ++number)
                instances.push_back({domain + std::to_string(number), InstanceRecord::Role::Agent,
                                     "", domain, "model", false});
        }
        return instances;
    }

    static std::vector<BackendTable::Row> backends()
    {
        std::vector<BackendTable::Row> rows;
        for (const std::string name : {"x1", "x2", "y1", "y2", "z1", "z2"}) {
            BackendTable::Row row;
            row.agent = name;
            row.failureDomain = name.substr(0, 1);
            row.status.limit = 10;
            rows.push_back(row);
        }
        return rows;
    }

    static RoutePolicy::Candidates candidates(const std::vector<BackendTable::Row> &rows)
    {
        RoutePolicy::Candidates all;
        for (const BackendTable::Row &row : rows)
            all.push_back(&row);
        return all;
    }

    static BackendTable::Row &find(std::vector<BackendTable::Row> &rows, const std::string &agent)
    {
        return *std::find_if(rows.begin(), rows.end(),
                             [&](const auto &row) { return row.agent == agent; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectionTest);

} // namespace Nutmegrill
