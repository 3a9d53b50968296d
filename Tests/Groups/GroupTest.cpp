#include "Groups/GroupPlacement.h"
#include "Groups/GroupRoster.h"
#include "Groups/LoadMessage.h"

#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

ModelGroup declaredGroup()
{
    ModelGroup group;
    group.name = "ranks";
    group.service = "moe";
    group.failureDomain = "north";
    group.ranks = 2;
    group.layers = 2;
    group.expertsPerLayer = 4;
    group.slotsPerRank = 3;
    return group;
}

InstanceRecord agent(const std::string &name, const std::string &address,
                     const std::string &failureDomain = "north")
{
    return {name, InstanceRecord::Role::Agent, address, failureDomain, "moe", false};
}

} // namespace

class GroupTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupTest);
    CPPUNIT_TEST(ranksFollowTheOrderOfNames);
    CPPUNIT_TEST(replacementDoesNotRenumberRanks);
    CPPUNIT_TEST(fewEntriesCompete);
    CPPUNIT_TEST(initialPlacementIsUsable);
    CPPUNIT_TEST(placementsWithFaultsAreRefused);
    CPPUNIT_TEST(loadMessagesDifferFromMapMessages);
    CPPUNIT_TEST_SUITE_END();

    // Guards against ranks from a list that is not complete, or from another failure domain.
    void ranksFollowTheOrderOfNames()
    {
        GroupRoster roster;
        const InstanceRecord foreign = agent("c", "3", "south");
        CPPUNIT_ASSERT(!roster.update(declaredGroup(), {agent("b", "1"), foreign}));
        CPPUNIT_ASSERT(roster.update(declaredGroup(), {agent("b", "1"), agent("a", "2"), foreign}));
        CPPUNIT_ASSERT(roster.rankOf("a") == 0U);
        CPPUNIT_ASSERT(roster.rankOf("b") == 1U);
        CPPUNIT_ASSERT(!roster.rankOf("c").has_value());
    }

    // Guards against processes that number the ranks differently while the instance list changes.
    void replacementDoesNotRenumberRanks()
    {
        GroupRoster roster;
        roster.update(declaredGroup(), {agent("a", "1"), agent("b", "2")});
        CPPUNIT_ASSERT(!roster.update(declaredGroup(), {agent("0", "3"), agent("b", "2")}));
        CPPUNIT_ASSERT(!roster.update(declaredGroup(), {agent("b", "2")}));
        CPPUNIT_ASSERT(roster.rankOf("a") == 0U);
        CPPUNIT_ASSERT(roster.update(declaredGroup(), {agent("a", "9"), agent("b", "2")}));
        CPPUNIT_ASSERT_EQUAL(std::string("9"), roster.addresses().at("a"));
    }

    // Guards against every entry of a large fleet polling the store.
    void fewEntriesCompete()
    {
        static constexpr std::size_t Expected = 3;
        std::vector<InstanceRecord> entries(40);
        for (std::size_t number = 0; number < entries.size(); ++number) {
            entries[number].name = "entry-" + std::to_string(number);
            entries[number].leaving = number % 2 == 0;
        }
        const auto candidates = GroupRoster::ownerCandidates(declaredGroup(), entries);
        CPPUNIT_ASSERT_EQUAL(Expected, candidates.size());
        for (const std::string &name : candidates)
            CPPUNIT_ASSERT(std::stoi(name.substr(name.find('-') + 1)) % 2 == 1);
    }

    // Guards against a founding with a map that the group cannot run.
    void initialPlacementIsUsable()
    {
        const ModelGroup group = declaredGroup();
        CPPUNIT_ASSERT_EQUAL(std::string(), GroupPlacement::validationError(
                                                    group, GroupPlacement::initial(group)));
    }

    // Guards against an operator's map that leaves an expert without a rank.
    void placementsWithFaultsAreRefused()
    {
        const ModelGroup group = declaredGroup();
        const auto good = GroupPlacement::initial(group);
        auto bad = good;
        bad.pop_back();
        CPPUNIT_ASSERT(!GroupPlacement::validationError(group, bad).empty());
        bad = good;
        bad[1].pop_back();
        CPPUNIT_ASSERT(!GroupPlacement::validationError(group, bad).empty());
        bad = good;
        const std::vector<GroupPlacement::Slots::value_type> layers = {
                {{0, 1, 2}, {0, 1, 2}}, {{0, 1, 2}, {2, 4}}, {{0, 1, 2, 3}, {}}};
        for (const auto &layer : layers) {
            bad[1] = layer;
            CPPUNIT_ASSERT(!GroupPlacement::validationError(group, bad).empty());
        }
    }

    // Guards against a map message decoded as a load message; both use the same envelope.
    void loadMessagesDifferFromMapMessages()
    {
        const LoadMessage answer{LoadMessage::Tokens{{1.5, 2}, {3, 4}}};
        CPPUNIT_ASSERT(LoadMessage::decode(answer.encode())->tokens == answer.tokens);
        CPPUNIT_ASSERT(!LoadMessage::decode(LoadMessage{}.encode())->tokens.has_value());
        for (const char *text : {"[\"staged\",{}]", "[\"load\"]", "[\"load\",[1]]", "[]", "{", "7"})
            CPPUNIT_ASSERT(!LoadMessage::decode(text).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupTest);

} // namespace Nutmegrill
