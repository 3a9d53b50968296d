#include "Experts/PlanNumbering.h"
#include "RelayShell/PeerCodec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

constexpr std::chrono::system_clock::time_point Start{std::chrono::seconds(1800000000)};

} // namespace

/// Plan numbers in the messages between agents.
class PlanNumberTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlanNumberTableTest);
    CPPUNIT_TEST(numbersAreMixedUpInAState);
    CPPUNIT_TEST(statesGrowWithEachNumber);
    CPPUNIT_TEST(unknownPlaceIsRead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a number that is read as another one, with numbers of one and of two owners
    // and with those of a rank that has had no change yet.
    void numbersAreMixedUpInAState()
    {
        const PlanNumbering other(Start, 6);
        for (const std::uint64_t map : {std::uint64_t(0), std::uint64_t(3), this->owner.next(0)}) {
            RankState state = this->stateWith(map);
            state.ballot = other.next(map);
            state.refusedVersion = 1;
            state.highestVersion = state.refusedVersion + 1;
            state.engine.armed = MapSwitch{this->owner.next(map), 9};
            state.holderArmed = MapSwitch{other.next(map), 9};
            state.acknowledgedStep = 9;
            const auto read = decodeRankState(encodeRankState(state));
            CPPUNIT_ASSERT(read && read->engine == state.engine);
            CPPUNIT_ASSERT(read->holderArmed == state.holderArmed);
            CPPUNIT_ASSERT(read->acknowledgedStep == state.acknowledgedStep);
            CPPUNIT_ASSERT_EQUAL(state.ballot, read->ballot);
            CPPUNIT_ASSERT_EQUAL(state.refusedVersion, read->refusedVersion);
            CPPUNIT_ASSERT_EQUAL(state.highestVersion, read->highestVersion);
            CPPUNIT_ASSERT_EQUAL(state.receivedVersion, read->receivedVersion);
            CPPUNIT_ASSERT_EQUAL(state.knownVersion, read->knownVersion);
        }
        OwnerCommand command;
        command.phase = OwnerCommand::Phase::Prepare;
        command.ballot = this->owner.next(0);
        command.change.version = this->owner.next(command.ballot);
        command.delta = MapDelta{other.next(0), {{0, 1, {7}}}};
        const auto read = decodeOwnerCommand(encodeOwnerCommand(command));
        CPPUNIT_ASSERT(read && read->ballot == command.ballot && read->change == command.change);
        CPPUNIT_ASSERT(read->delta && read->delta->base == command.delta->base);
    }

    // Guards against states that fill the link of the hub of a large group: a number has nine
    // bytes.
    void statesGrowWithEachNumber()
    {
        const std::uint64_t map = this->owner.next(0);
        RankState state = this->stateWith(map);
        state.ballot = map;
        const std::size_t settled = encodeRankState(state).size();
        state.engine.preparedVersion = this->owner.next(map);
        state.highestVersion = state.receivedVersion = *state.engine.preparedVersion;
        // The fields "p", "hv" and "cv", and one distance.
        CPPUNIT_ASSERT(encodeRankState(state).size() <= settled + 3 + 4 + 4 + 1);
    }

    void unknownPlaceIsRead()
    {
        std::string bytes = encodeRankState(this->stateWith(this->owner.next(0)));
        const std::size_t place = bytes.find("am") + 2;
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(bytes[place]));
        bytes[place] = 2;
        CPPUNIT_ASSERT(!decodeRankState(bytes));
    }

private:
    RankState stateWith(std::uint64_t map) const
    {
        RankState state;
        state.engine.group = "g";
        state.engine.ranks = 3;
        state.engine.mapVersion = map;
        state.highestVersion = state.receivedVersion = state.knownVersion = map;
        state.address = "10.0.0.1:1";
        return state;
    }

    const PlanNumbering owner{Start, 5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanNumberTableTest);

} // namespace Nutmegrill
