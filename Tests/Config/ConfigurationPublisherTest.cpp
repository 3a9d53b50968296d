#include "Config/ConfigurationPublisher.h"
#include "Config/ConfigurationCodec.h"
#include "Config/ConfigurationDiff.h"
#include "Config/FakeConfigurationStore.h"
#include "PropertyCheck.h"

#include <set>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using Fault = FakeConfigurationStore::Fault;
using Change = ConfigurationChange;

Configuration exampleConfiguration()
{
    Configuration configuration;
    configuration.places = {
            {"region", {{"east", false, 0}, {"west", false, 0}, {"mid", false, 0}}}};
    return configuration;
}

/// One publisher and the commands it has issued; the last one awaits its answer.
struct Publication
{
    explicit Publication(Change change, ConfigurationPublisher::Switches switches = {})
        : changeId(change.changeId), publisher(std::move(change), switches)
    {
        this->publisher.start(this->commands);
    }

    bool isEnded() const { return this->publisher.state() == ConfigurationPublisher::State::Ended; }

    void step(FakeConfigurationStore &store, Fault fault)
    {
        const PublishCommand::Any command = this->commands.back();
        this->publisher.handle(store.execute(command, fault), this->commands);
    }

    const PublishCommand::Any &run(FakeConfigurationStore &store)
    {
        while (!this->isEnded())
            this->step(store, Fault::None);
        return this->commands.back();
    }

    std::string changeId;
    PublishCommand::List commands;
    ConfigurationPublisher publisher;
};

std::uint64_t publish(FakeConfigurationStore &store, const std::string &id, Change::Action action)
{
    Publication publication({id, "tester", std::move(action)});
    const auto *done = std::get_if<PublishCommand::Done>(&publication.run(store));
    CPPUNIT_ASSERT_MESSAGE("not published: " + id, done != nullptr);
    return done->version;
}

FailureDomainState domainOf(const FakeConfigurationStore &store, const std::string &name)
{
    return *store.latest().value().findFailureDomain(name);
}

// Checks that versions are consecutive, recent chunks are stored and no change was applied twice.
std::string checkHistory(const FakeConfigurationStore &store, std::set<std::string> &accepted)
{
    std::uint64_t expected = 0;
    for (const std::string &text : store.heads) {
        const auto head = decodeHead(text);
        if (!head.has_value() || head->version != ++expected)
            return "versions do not rise by one";
        const bool isRecent =
                expected + ConfigurationHead::MaxPreviousChunkLists >= store.heads.size();
        if (isRecent && !joinChunks(*head, store.chunks).has_value())
            return "a head names chunks that are not stored";
        if (!accepted.insert(head->changeId).second)
            return "change applied twice: " + head->changeId;
    }
    return {};
}

std::string checkOutcomes(const FakeConfigurationStore &store,
                          const std::vector<Publication> &publications)
{
    std::set<std::string> accepted;
    if (const std::string fault = checkHistory(store, accepted); !fault.empty())
        return fault;
    for (const Publication &publication : publications) {
        const PublishCommand::Any &result = publication.commands.back();
        const bool stored = accepted.count(publication.changeId) != 0;
        const auto *done = std::get_if<PublishCommand::Done>(&result);
        if (done != nullptr && done->changed != stored)
            return "wrong success: " + publication.changeId;
        const bool refused = std::holds_alternative<PublishCommand::Conflict>(result)
                             || std::holds_alternative<PublishCommand::Failed>(result);
        if (refused && stored)
            return "reported as not applied but stored: " + publication.changeId;
    }
    for (const char *name : {"east", "west"}) {
        if (accepted.count(std::string("out-") + name) != 0 && !domainOf(store, name).out)
            return std::string("lost take-out of ") + name;
    }
    return {};
}

// Three publishers race; in each step one of them gets the answer to its command, or a fault.
std::string race(ChoiceScript &script, bool readBack, bool compareRevision)
{
    FakeConfigurationStore store;
    publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
    // Enough versions that each further one deletes chunks of an old version.
    for (std::uint64_t epoch = 1; epoch <= 5; ++epoch)
        publish(store, "mid-" + std::to_string(epoch), Change::MergeTakeOut{"mid", epoch});
    store.comparesRevision = compareRevision;
    Configuration edited = exampleConfiguration();
    edited.clientAccounts.push_back({"office", "", 1, {}, 1, 1});
    std::vector<Publication> publications;
    const ConfigurationPublisher::Switches switches{readBack};
    publications.emplace_back(Change{"out-east", "a", Change::TakeOut{"east"}}, switches);
    publications.emplace_back(Change{"out-west", "b", Change::MergeTakeOut{"west", 1}}, switches);
    publications.emplace_back(Change{"edit", "c", Change::Apply{edited, std::nullopt}}, switches);
    for (std::size_t running = publications.size(); running > 0;) {
        Publication &next = publications[script.below(publications.size())];
        const std::size_t roll = script.below(10);
        const bool late = script.below(8) == 7;
        if (!next.isEnded())
            next.step(store, roll < 7 ? Fault::None : static_cast<Fault>(roll - 6));
        if (late)
            store.deliverDelayed();
        running = 0;
        for (Publication &publication : publications) {
            if (script.isExhausted())
                publication.run(store);
            running += publication.isEnded() ? 0 : 1;
        }
    }
    store.deliverDelayed();
    return checkOutcomes(store, publications);
}

} // namespace

class ConfigurationPublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationPublisherTest);
    CPPUNIT_TEST(racingPublishersApplyEachChangeOnce);
    CPPUNIT_TEST(proofFailsWithoutReadBack);
    CPPUNIT_TEST(proofFailsWithoutCompareAndSwap);
    CPPUNIT_TEST(applyKeepsFailureDomainState);
    CPPUNIT_TEST(epochsOrderTakeOutAndBringBack);
    CPPUNIT_TEST(lostAnswerIsFoundUnderLaterChanges);
    CPPUNIT_TEST(forgottenChangeIsReportedAsUnknown);
    CPPUNIT_TEST(conflictNamesTheWinner);
    CPPUNIT_TEST(damagedStoreIsNotPublishedOver);
    CPPUNIT_TEST(unreachableStoreEndsPublication);
    CPPUNIT_TEST(largeDocumentIsSplitAndJoined);
    CPPUNIT_TEST(oldChunksAreRetired);
    CPPUNIT_TEST(retiredChunkIsNotReportedAsDamage);
    CPPUNIT_TEST(diffNamesObjectsAndFields);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change that is lost, applied twice or reported wrongly in a race.
    void racingPublishersApplyEachChangeOnce()
    {
        const std::string failure = checkScripts("publisher race", 240, [](ChoiceScript &script) {
            return race(script, true, true);
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }

    // Shows that the race test detects a publisher that starts over after a lost answer.
    void proofFailsWithoutReadBack()
    {
        CPPUNIT_ASSERT(!checkScripts("no read-back", 240, [](ChoiceScript &script) {
                            return race(script, false, true);
                        }).empty());
    }

    // Shows that the race test detects a store that swaps without comparing the revision.
    void proofFailsWithoutCompareAndSwap()
    {
        CPPUNIT_ASSERT(!checkScripts("no compare", 240, [](ChoiceScript &script) {
                            return race(script, true, false);
                        }).empty());
    }

    // Guards against an apply that brings back a failure domain that was taken out.
    void applyKeepsFailureDomainState()
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        publish(store, "out", Change::TakeOut{"east"});
        Configuration edited = exampleConfiguration();
        edited.places[0].failureDomains.push_back({"north", true, 0});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             publish(store, "edit", Change::Apply{edited, std::nullopt}));
        CPPUNIT_ASSERT(domainOf(store, "east") == (FailureDomainState{"east", true, 1}));
        CPPUNIT_ASSERT(domainOf(store, "north").out);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             publish(store, "same", Change::Apply{edited, std::nullopt}));
    }

    // Guards against a repeated take-out that raises the epoch and a late merge that reverts a
    // bring-back.
    void epochsOrderTakeOutAndBringBack()
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        publish(store, "out", Change::TakeOut{"east"});
        publish(store, "repeat", Change::TakeOut{"east"});
        CPPUNIT_ASSERT(domainOf(store, "east") == (FailureDomainState{"east", true, 1}));
        publish(store, "back", Change::BringBack{"east", 5});
        CPPUNIT_ASSERT(domainOf(store, "east") == (FailureDomainState{"east", false, 6}));
        publish(store, "late merge", Change::MergeTakeOut{"east", 5});
        publish(store, "back again", Change::BringBack{"east", 5});
        CPPUNIT_ASSERT(domainOf(store, "east") == (FailureDomainState{"east", false, 6}));
        publish(store, "merge", Change::MergeTakeOut{"east", 7});
        CPPUNIT_ASSERT(domainOf(store, "east") == (FailureDomainState{"east", true, 7}));
        Publication unknown({"u", "tester", Change::TakeOut{"nowhere"}});
        const auto *failed = std::get_if<PublishCommand::Failed>(&unknown.run(store));
        CPPUNIT_ASSERT(failed != nullptr && failed->error == PublishError::UnknownFailureDomain);
        Publication exhausted({"x", "tester", Change::BringBack{"east", UINT64_MAX}});
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Failed>(exhausted.run(store)));
    }

    // Guards against a second application when other changes follow before the read-back.
    void lostAnswerIsFoundUnderLaterChanges()
    {
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Done>(runBehind(10)));
    }

    // Guards against a wrong result when the head no longer lists the change after a lost answer.
    void forgottenChangeIsReportedAsUnknown()
    {
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::OutcomeUnknown>(
                runBehind(ConfigurationHead::MaxPreviousChanges + 1)));
    }

    // Guards against an apply that overwrites another operator's change.
    void conflictNamesTheWinner()
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        Configuration edited = exampleConfiguration();
        edited.places[0].name = "renamed";
        Publication loser({"loser", "a", Change::Apply{edited, std::nullopt}});
        while (!std::holds_alternative<PublishCommand::SwapHead>(loser.commands.back()))
            loser.step(store, Fault::None);
        publish(store, "winner", Change::TakeOut{"east"});
        const auto *conflict = std::get_if<PublishCommand::Conflict>(&loser.run(store));
        CPPUNIT_ASSERT(conflict != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("winner tester"),
                             conflict->changeId + " " + conflict->author);
        Publication stale({"stale", "a", Change::Apply{edited, 1}});
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Conflict>(stale.run(store)));
    }

    // Guards against publishing over a configuration that cannot be read.
    void damagedStoreIsNotPublishedOver()
    {
        FakeConfigurationStore store;
        const Change edit{"edit", "a", Change::TakeOut{"east"}};
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        const auto good = store.chunks;
        store.chunks.begin()->second += " ";
        CPPUNIT_ASSERT(
                std::holds_alternative<PublishCommand::Failed>(Publication(edit).run(store)));
        store.chunks.clear();
        CPPUNIT_ASSERT(
                std::holds_alternative<PublishCommand::Failed>(Publication(edit).run(store)));
        store.chunks = good;
        store.heads.back() = "{}";
        CPPUNIT_ASSERT(
                std::holds_alternative<PublishCommand::Failed>(Publication(edit).run(store)));
        FakeConfigurationStore empty;
        Publication expecting({"e", "a", Change::Apply{exampleConfiguration(), 4}});
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Failed>(expecting.run(empty)));
        CPPUNIT_ASSERT(empty.heads.empty());
    }

    // Guards against an endless wait and against "failed" for a swap that may be stored.
    void unreachableStoreEndsPublication()
    {
        FakeConfigurationStore store;
        Publication first({"first", "a", Change::Apply{exampleConfiguration(), std::nullopt}});
        for (int count = 0; count < 20 && !first.isEnded(); ++count)
            first.step(store, Fault::LostBefore);
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Failed>(first.commands.back()));
        Publication second({"second", "a", Change::Apply{exampleConfiguration(), std::nullopt}});
        while (!std::holds_alternative<PublishCommand::SwapHead>(second.commands.back()))
            second.step(store, Fault::None);
        second.step(store, Fault::LostAfter);
        second.publisher.handle(PublishEvent::StoreUnreachable{}, second.commands);
        CPPUNIT_ASSERT(
                std::holds_alternative<PublishCommand::OutcomeUnknown>(second.commands.back()));
        // Publishing the same change again finds it in the store.
        CPPUNIT_ASSERT_EQUAL(
                std::uint64_t{1},
                publish(store, "second", Change::Apply{exampleConfiguration(), std::nullopt}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.heads.size());
    }

    // Guards against a value above the size limit of the store and against chunks in wrong order.
    void largeDocumentIsSplitAndJoined()
    {
        Configuration large = exampleConfiguration();
        for (int number = 0; number < 6000; ++number)
            large.clientAccounts.push_back({"account-" + std::to_string(number), "h", 1, {}, 1, 1});
        FakeConfigurationStore store;
        publish(store, "large", Change::Apply{large, std::nullopt});
        CPPUNIT_ASSERT(store.chunks.size() > 1);
        for (const auto &[hash, text] : store.chunks)
            CPPUNIT_ASSERT(text.size() <= ConfigurationHead::MaxChunkBytes);
        CPPUNIT_ASSERT(store.latest().value().clientAccounts == large.clientAccounts);
        auto head = decodeHead(store.heads.back()).value();
        std::swap(head.chunks[0], head.chunks[1]);
        CPPUNIT_ASSERT(!joinChunks(head, store.chunks).has_value());
    }

    // Guards against a store that fills with the chunks of old versions.
    void oldChunksAreRetired()
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        for (std::uint64_t epoch = 1; epoch <= 50; ++epoch)
            publish(store, "m-" + std::to_string(epoch), Change::MergeTakeOut{"mid", epoch});
        CPPUNIT_ASSERT_EQUAL(ConfigurationHead::MaxPreviousChunkLists + 1, store.chunks.size());
        CPPUNIT_ASSERT(store.latest().has_value());
    }

    // Guards against reporting a damaged store when later versions delete a chunk before it is
    // read.
    void retiredChunkIsNotReportedAsDamage()
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        Publication slow({"slow", "a", Change::TakeOut{"east"}});
        slow.step(store, Fault::None);
        for (std::uint64_t epoch = 1; epoch <= 6; ++epoch)
            publish(store, "m-" + std::to_string(epoch), Change::MergeTakeOut{"mid", epoch});
        CPPUNIT_ASSERT(std::holds_alternative<PublishCommand::Done>(slow.run(store)));
        CPPUNIT_ASSERT(domainOf(store, "east").out);
    }

    // Guards against a difference that is not shown or shown under another object.
    void diffNamesObjectsAndFields()
    {
        Configuration before = exampleConfiguration();
        before.clientAccounts = {{"gone", "", 1, {}, 1, 1}, {"kept", "", 1, {}, 1, 1}};
        Configuration after = exampleConfiguration();
        after.version = 9;
        after.clientAccounts = {{"kept", "", 5, {}, 1, 1}, {"new", "", 1, {}, 1, 1}};
        after.places[0].failureDomains[1].out = true;
        after.places[0].failureDomains.pop_back();
        const std::vector<std::string> expected{
                "- Place region: failureDomains mid",
                "~ Place region: failureDomains west: out false -> true",
                "- ClientAccount gone",
                "+ ClientAccount new",
                "~ ClientAccount kept: weight 1 -> 5",
        };
        const auto lines = diffConfigurations(before, after);
        CPPUNIT_ASSERT(std::set<std::string>(expected.begin(), expected.end())
                       == std::set<std::string>(lines.begin(), lines.end()));
        CPPUNIT_ASSERT_EQUAL(expected.size(), lines.size());
        CPPUNIT_ASSERT(diffConfigurations(after, after).empty());
    }

private:
    // The swap of a publisher takes effect but its answer is lost, then others publish.
    static PublishCommand::Any runBehind(std::size_t laterChanges)
    {
        FakeConfigurationStore store;
        publish(store, "first", Change::Apply{exampleConfiguration(), std::nullopt});
        Publication slow({"slow", "a", Change::TakeOut{"east"}});
        while (!std::holds_alternative<PublishCommand::SwapHead>(slow.commands.back()))
            slow.step(store, Fault::None);
        slow.step(store, Fault::LostAfter);
        for (std::size_t number = 0; number < laterChanges; ++number)
            publish(store, "later-" + std::to_string(number),
                    Change::MergeTakeOut{"west", number + 1});
        const PublishCommand::Any result = slow.run(store);
        CPPUNIT_ASSERT_EQUAL(laterChanges + 2, store.heads.size());
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPublisherTest);

} // namespace Nutmegrill
