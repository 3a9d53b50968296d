#include "Experts/MapGroup.h"
#include "GoldenSession.h"

#include <array>
#include <iostream>
#include <sstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace Nutmegrill {

using std::chrono::milliseconds;

namespace {

constexpr MapGroup::Network Reordering = {std::chrono::microseconds(200),
                                          std::chrono::microseconds(3000), 0, 0};
constexpr MapGroup::Network Lossy = {std::chrono::microseconds(200),
                                     std::chrono::microseconds(6000), 0.05, 0.05};

struct Fault
{
    enum class Kind { Kill, Freeze };
    Kind kind = Kind::Kill;
    std::vector<MapGroup::Peer> targets;
};

struct FaultResult
{
    std::uint64_t messages = 0;
    std::uint64_t twoMaps = 0;
    std::uint64_t staleCommits = 0;
    bool recovered = false;
};

// Applies one fault at message number \a at of a change, replaces the owner after its lease and
// ends the fault, after which all ranks can reach each other again.
FaultResult runWithFault(std::uint32_t ranks, std::uint64_t at, const Fault &fault,
                         const MapGroup::Network &network, std::uint64_t seed,
                         const MapChangeRules &rules = {})
{
    MapGroup group(ranks, seed, network, rules);
    group.found();
    group.run(milliseconds(20));
    bool hit = false;
    group.addOwner(20);
    group.onMessage([&](std::uint64_t number, const MapMessage::Any &) {
        if (number != at || hit)
            return;
        hit = true;
        for (const auto target : fault.targets)
            fault.kind == Fault::Kind::Kill ? group.kill(target) : group.freeze(target);
    });
    group.run(milliseconds(300));
    FaultResult verdict;
    verdict.messages = group.messages();
    group.onMessage({});
    if (hit && fault.kind == Fault::Kind::Kill) {
        for (const auto target : fault.targets) {
            if (target < ranks)
                group.restart(target);
        }
    }
    group.run(milliseconds(400));
    group.addOwner(30);
    group.run(milliseconds(500));
    if (hit && fault.kind == Fault::Kind::Freeze) {
        for (const auto target : fault.targets)
            group.resume(target);
    }
    group.setNetwork(Reordering);
    const bool settled = group.runUntil([&] { return group.isSettled(); }, milliseconds(8000));
    const std::uint64_t before = group.step();
    group.run(milliseconds(1000));
    verdict.recovered = settled && group.step() > before + 10;
    verdict.twoMaps = group.stepsWithTwoMaps();
    verdict.staleCommits = group.staleCommits();
    return verdict;
}

struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t twoMaps = 0;
    std::uint64_t staleCommits = 0;
    std::uint64_t stuck = 0;
    std::string firstBad;
};

void add(Totals &totals, const FaultResult &verdict, const std::string &where)
{
    ++totals.runs;
    totals.twoMaps += verdict.twoMaps;
    totals.staleCommits += verdict.staleCommits;
    totals.stuck += verdict.recovered ? 0 : 1;
    if (totals.firstBad.empty()
        && (verdict.twoMaps != 0 || verdict.staleCommits != 0 || !verdict.recovered))
        totals.firstBad = where;
}

// Combines every message of a change with every fault.
Totals enumerate(std::uint32_t ranks, const std::vector<Fault> &faults,
                 const MapGroup::Network &network, std::uint64_t seed,
                 const MapChangeRules &rules = {})
{
    const std::uint64_t messages =
            runWithFault(ranks, ~std::uint64_t(0), {}, network, seed).messages;
    Totals totals;
    for (std::uint64_t at = 0; at < messages; ++at) {
        for (const Fault &fault : faults) {
            std::ostringstream where;
            where << "message " << at << (fault.kind == Fault::Kind::Kill ? " kill" : " freeze");
            for (const auto target : fault.targets)
                where << " " << target;
            add(totals, runWithFault(ranks, at, fault, network, seed, rules), where.str());
        }
    }
    return totals;
}

std::vector<Fault> singleFaults(std::uint32_t ranks, const std::vector<MapGroup::Peer> &targets)
{
    std::vector<Fault> faults;
    for (const auto kind : {Fault::Kind::Kill, Fault::Kind::Freeze}) {
        faults.push_back({kind, {ranks}});
        for (const auto target : targets)
            faults.push_back({kind, {target}});
    }
    return faults;
}

void checkSound(const Totals &totals)
{
    std::cout << "map change: " << totals.runs << " runs, " << totals.twoMaps
              << " steps with two maps, " << totals.stuck << " stuck\n";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(totals.firstBad, std::uint64_t(0), totals.twoMaps);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(totals.firstBad, std::uint64_t(0), totals.staleCommits);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(totals.firstBad, std::uint64_t(0), totals.stuck);
}

} // namespace

class MapChangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MapChangeTest);
    CPPUNIT_TEST(messagesSurviveTheCodec);
    CPPUNIT_TEST(normalChangeHoldsNoStep);
    CPPUNIT_TEST(everySingleFaultOfEightRanks);
    CPPUNIT_TEST(everyDoubleFaultOfEightRanks);
    CPPUNIT_TEST(everyMessageOf128Ranks);
    CPPUNIT_TEST(randomFaultsOnLossyNetwork);
    CPPUNIT_TEST(changeEndsWhileStoreIsDown);
    CPPUNIT_TEST(withoutFencingStaleOwnerCommits);
    CPPUNIT_TEST(withoutRefusalBeforeUnknownStepHasTwoMaps);
    CPPUNIT_TEST(withoutWaitStepHasTwoMaps);
    CPPUNIT_TEST(withoutIncarnationsStepHasTwoMaps);
    CPPUNIT_TEST(goldenSessions);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields lost on the wire and against crashes on foreign documents.
    void messagesSurviveTheCodec()
    {
        MapMessage::MapInfo info;
        info.map = {7, {{{1, 2}, {3}}}};
        info.open = {5, 6};
        info.incarnations = {1, 9};
        const std::string text = encodeMapMessage(info);
        const auto decoded = decodeMapMessage(text);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(text, encodeMapMessage(*decoded));
        CPPUNIT_ASSERT(std::get<MapMessage::MapInfo>(*decoded).map == info.map);
        for (const char *bad :
             {"", "{}", "[\"stage\"]", "[\"other\",{}]", "[\"arm\",{\"step\":\"x\"}]"})
            CPPUNIT_ASSERT(!decodeMapMessage(bad).has_value());
    }

    // Guards against a change that holds steps although nothing fails.
    void normalChangeHoldsNoStep()
    {
        for (const std::uint32_t ranks : {8U, 128U}) {
            MapGroup group(ranks, 1, Reordering);
            const auto owner = group.addOwner(10);
            CPPUNIT_ASSERT(group.runUntil(
                    [&] {
                        return group.owner(owner).lastResult() == MapChangeOwner::Result::Committed;
                    },
                    milliseconds(5000)));
            group.run(milliseconds(500));
            CPPUNIT_ASSERT(group.isSettled());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), group.stepsHeld());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), group.stepsWithTwoMaps());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), group.member(0).map().slots[0][0][0]);
        }
    }

    // Guards against a point of a change at which the crash or pause of one process makes a step
    // start with two maps or stops the group permanently.
    void everySingleFaultOfEightRanks()
    {
        checkSound(enumerate(8, singleFaults(8, {0, 1, 2, 3, 4, 5, 6, 7}), Reordering, 2));
    }

    // Guards against recovery that relies on a second process staying alive.
    void everyDoubleFaultOfEightRanks()
    {
        std::vector<Fault> faults;
        for (const auto kind : {Fault::Kind::Kill, Fault::Kind::Freeze}) {
            for (MapGroup::Peer rank = 0; rank < 8; ++rank) {
                faults.push_back({kind, {8, rank}});
                faults.push_back({kind, {rank, (rank + 3) % 8}});
            }
        }
        faults.push_back({Fault::Kind::Kill, {0, 1, 2, 3, 4, 5, 6, 7}});
        checkSound(enumerate(8, faults, Reordering, 3));
    }

    // Guards against failures of large groups, such as all ranks asking each other at once.
    void everyMessageOf128Ranks()
    {
        const std::vector<Fault> faults = {{Fault::Kind::Kill, {128}},
                                           {Fault::Kind::Freeze, {128}},
                                           {Fault::Kind::Kill, {77}}};
        checkSound(enumerate(128, faults, Reordering, 4));
    }

    // Guards against combinations that the enumeration leaves out: two faults at different
    // messages on a network that loses, duplicates and reorders.
    void randomFaultsOnLossyNetwork()
    {
        rc::detail::TestParams parameters;
        parameters.seed = 20260612;
        parameters.maxSuccess = 300;
        const auto property = [](std::uint64_t seed, std::uint64_t at, std::uint32_t first,
                                 std::uint32_t second, bool kill) {
            Fault fault{kill ? Fault::Kind::Kill : Fault::Kind::Freeze, {first % 9}};
            if (second % 9 != first % 9)
                fault.targets.push_back(second % 9);
            const FaultResult verdict = runWithFault(8, at % 120, fault, Lossy, seed);
            RC_ASSERT(verdict.twoMaps == 0U);
            RC_ASSERT(verdict.staleCommits == 0U);
            RC_ASSERT(verdict.recovered);
        };
        const auto result = rc::detail::checkTestable(
                property, rc::detail::TestMetadata{"randomFaults", ""}, parameters);
        std::ostringstream message;
        rc::detail::printResultMessage(result, message);
        CPPUNIT_ASSERT_MESSAGE(message.str(), result.template is<rc::detail::SuccessResult>());
    }

    // Guards against an open change that needs the store: the owner dies after the first Armed and
    // no other owner can get the lease.
    void changeEndsWhileStoreIsDown()
    {
        MapGroup group(8, 5, Reordering);
        group.addOwner(10, false);
        group.run(milliseconds(300));
        const auto owner = group.addOwner(20);
        const auto armed = [&] {
            for (MapGroup::Peer rank = 0; rank < 8; ++rank) {
                if (group.member(rank).isArmed())
                    return true;
            }
            return false;
        };
        CPPUNIT_ASSERT(group.runUntil(armed, milliseconds(2000)));
        group.kill(owner);
        CPPUNIT_ASSERT(
                group.runUntil([&] { return !armed() && group.isSettled(); }, milliseconds(2000)));
        const std::uint64_t before = group.step();
        group.run(milliseconds(500));
        CPPUNIT_ASSERT(group.step() > before + 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), group.stepsWithTwoMaps());
    }

    // An owner is frozen while the ranks stage and resumes after a later one has surveyed them.
    static std::uint64_t commitsOfResumedOwner(const MapChangeRules &rules)
    {
        MapGroup group(3, 6, {}, rules);
        group.addOwner(10, false);
        group.run(milliseconds(300));
        const auto owner = group.addOwner(20);
        group.onMessage([&](std::uint64_t, const MapMessage::Any &message) {
            if (std::holds_alternative<MapMessage::Staged>(message))
                group.freeze(owner);
        });
        group.run(milliseconds(60));
        group.stallEngines(true);
        group.run(milliseconds(500));
        group.addOwner(30, false);
        group.run(milliseconds(500));
        group.onMessage({});
        group.resume(owner);
        group.run(milliseconds(1000));
        return group.staleCommits();
    }

    void withoutFencingStaleOwnerCommits()
    {
        MapChangeRules rules;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), commitsOfResumedOwner(rules));
        rules.fencing = false;
        CPPUNIT_ASSERT(commitsOfResumedOwner(rules) > 0);
    }

    // Arm reaches rank 2 after the others have asked and aborted, the abort even later. The owner,
    // frozen meanwhile, then has all votes.
    static std::uint64_t twoMapsWithLateArm(const MapChangeRules &rules)
    {
        MapGroup group(3, 6, {}, rules);
        group.addOwner(10, false);
        group.run(milliseconds(300));
        const auto owner = group.addOwner(20);
        group.onMessage([&](std::uint64_t, const MapMessage::Any &message) {
            if (std::holds_alternative<MapMessage::Staged>(message)
                || std::holds_alternative<MapMessage::Vote>(message))
                group.slowDown(2, milliseconds(900));
        });
        group.runUntil([&] { return group.member(1).isArmed(); }, milliseconds(2000));
        group.freeze(owner);
        group.slowDown(2, milliseconds(0));
        group.stallEngines(true);
        group.run(milliseconds(950));
        group.slowDown(2, milliseconds(0));
        group.resume(owner);
        group.run(milliseconds(1000));
        group.stallEngines(false);
        group.run(milliseconds(1000));
        return group.stepsWithTwoMaps();
    }

    void withoutRefusalBeforeUnknownStepHasTwoMaps()
    {
        MapChangeRules rules;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), twoMapsWithLateArm(rules));
        rules.refuseBeforeUnknown = false;
        CPPUNIT_ASSERT(twoMapsWithLateArm(rules) > 0);
    }

    void withoutWaitStepHasTwoMaps()
    {
        MapChangeRules rules;
        rules.waitAtStep = false;
        CPPUNIT_ASSERT(enumerate(8, singleFaults(8, {3}), Reordering, 2, rules).twoMaps > 0);
    }

    // Rank 2 has armed, dies and joins again while the commit made with its vote is on its way.
    static std::uint64_t twoMapsWithOldVote(const MapChangeRules &rules)
    {
        MapGroup group(3, 6, {}, rules);
        group.addOwner(10, false);
        group.run(milliseconds(300));
        const auto owner = group.addOwner(20);
        group.onMessage([&](std::uint64_t, const MapMessage::Any &message) {
            if (!std::holds_alternative<MapMessage::Armed>(message))
                return;
            group.slowDown(0, milliseconds(900));
            group.slowDown(1, milliseconds(350));
        });
        group.runUntil(
                [&] { return group.owner(owner).lastResult() != MapChangeOwner::Result::None; },
                milliseconds(2000));
        group.kill(owner);
        group.kill(2);
        group.restart(2);
        group.onMessage({});
        group.slowDown(0, milliseconds(0));
        group.slowDown(1, milliseconds(0));
        group.run(milliseconds(3000));
        return group.stepsWithTwoMaps();
    }

    void withoutIncarnationsStepHasTwoMaps()
    {
        MapChangeRules rules;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), twoMapsWithOldVote(rules));
        rules.dropOldIncarnations = false;
        CPPUNIT_ASSERT(twoMapsWithOldVote(rules) > 0);
    }

    // Guards against unintended changes of the message sequence.
    void goldenSessions()
    {
        for (const char *name : {"map-normal", "map-abort", "map-owner-death", "map-stale-owner",
                                 "map-replaced-rank"}) {
            MapGroup group(3, 1, {});
            group.recordTrace();
            const std::string difference = GoldenSession(name).run(
                    [&](const std::string &line) { return runLine(group, line); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), difference);
        }
    }

private:
    static std::vector<std::string> runLine(MapGroup &group, const std::string &line)
    {
        std::istringstream words(line);
        std::string verb;
        std::uint64_t number = 0;
        words >> verb >> number;
        const auto peer = static_cast<MapGroup::Peer>(number);
        if (verb == "owner")
            group.addOwner(number);
        else if (verb == "run")
            group.run(milliseconds(number));
        else if (verb == "until-armed")
            group.runUntil([&] { return group.member(peer).isArmed(); }, milliseconds(2000));
        else if (verb == "kill")
            group.kill(peer);
        else if (verb == "restart")
            group.restart(peer);
        else if (verb == "freeze")
            group.freeze(peer);
        else if (verb == "resume")
            group.resume(peer);
        else if (verb == "fail-staging")
            group.failStaging(peer);
        else
            return {"unknown event"};
        auto lines = group.takeTrace();
        lines.push_back("two maps: " + std::to_string(group.stepsWithTwoMaps())
                        + ", settled: " + (group.isSettled() ? "yes" : "no"));
        return lines;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MapChangeTest);

} // namespace Nutmegrill
