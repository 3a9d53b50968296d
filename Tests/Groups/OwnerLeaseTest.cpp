#include "Groups/OwnerLease.h"

#include <algorithm>
#include <optional>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

Instant at(long long millis)
{
    return Instant(milliseconds(millis));
}

template <typename Kind>
bool has(const OwnerLease::Commands &commands)
{
    return std::any_of(commands.begin(), commands.end(), [](const OwnerLease::Command &command) {
        return std::holds_alternative<Kind>(command);
    });
}

/// A competitor whose lease in the store is number 7.
struct Process
{
    explicit Process(const std::string &name) : lease(name), value(name + " 7") {}

    OwnerLease::Commands tick(long long millis)
    {
        OwnerLease::Commands commands;
        this->lease.tick(at(millis), commands);
        return commands;
    }

    // Campaigns until the claim has been sent.
    void campaign(long long millis)
    {
        static constexpr std::int64_t Lease = 7;
        OwnerLease::Commands commands;
        this->lease.setCandidate(true, commands);
        CPPUNIT_ASSERT(has<OwnerLease::ReadKey>(this->tick(millis)));
        this->lease.keyRead(at(millis), std::string(), commands);
        CPPUNIT_ASSERT(has<OwnerLease::GrantLease>(commands));
        this->lease.leaseGranted(at(millis), Lease, commands);
        CPPUNIT_ASSERT(has<OwnerLease::ClaimKey>(commands));
    }

    void win(long long millis)
    {
        static constexpr std::int64_t Revision = 42;
        this->campaign(millis);
        OwnerLease::Commands commands;
        this->lease.keyClaimed(at(millis), this->value, Revision, commands);
    }

    bool owns(long long millis) const { return this->lease.fence(at(millis)) == 42; }

    OwnerLease lease;
    std::string value;
};

} // namespace

class OwnerLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerLeaseTest);
    CPPUNIT_TEST(winnerHasTheCreateRevisionAsFence);
    CPPUNIT_TEST(pausedOwnerStopsBeforeTheStoreEndsTheLease);
    CPPUNIT_TEST(lateAnswerDoesNotStretchTheLease);
    CPPUNIT_TEST(renewedOwnerGoesOn);
    CPPUNIT_TEST(lostAnswerOfTheClaimIsReadBack);
    CPPUNIT_TEST(loserRevokesItsLease);
    CPPUNIT_TEST(endedLeaseEndsTheOwnership);
    CPPUNIT_TEST(ownerThatGivesUpLetsOthersCampaignFirst);
    CPPUNIT_TEST(onlyCandidatesCallTheStore);
    CPPUNIT_TEST_SUITE_END();

    // Guards against commands under a fence of another owner, or before the claim is confirmed.
    void winnerHasTheCreateRevisionAsFence()
    {
        Process process("entry-1");
        process.campaign(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(0)));
        OwnerLease::Commands commands;
        process.lease.keyClaimed(at(10), process.value, 42, commands);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), process.lease.fence(at(10)));
    }

    // Guards against two owners at once after a pause: no tick runs between the last renewal and
    // the call of fence().
    void pausedOwnerStopsBeforeTheStoreEndsTheLease()
    {
        Process process("entry-1");
        process.win(0);
        CPPUNIT_ASSERT(process.owns(2600));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(2900)));
    }

    // Guards against counting the lifetime from the answer: the store may count from the call.
    void lateAnswerDoesNotStretchTheLease()
    {
        Process process("entry-1");
        process.win(0);
        CPPUNIT_ASSERT(has<OwnerLease::KeepLease>(process.tick(1000)));
        OwnerLease::Commands commands;
        process.lease.leaseKept(at(1900), true, commands);
        CPPUNIT_ASSERT(process.owns(3600));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(3900)));
        // An answer after the end must not bring the ownership back.
        process.lease.leaseKept(at(3950), true, commands);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(3950)));
    }

    // Guards against an owner that changes although its lease is renewed in time.
    void renewedOwnerGoesOn()
    {
        Process process("entry-1");
        process.win(0);
        for (long long millis = 1000; millis < 20'000; millis += 1000) {
            CPPUNIT_ASSERT(has<OwnerLease::KeepLease>(process.tick(millis)));
            OwnerLease::Commands commands;
            process.lease.leaseKept(at(millis + 5), true, commands);
            CPPUNIT_ASSERT(process.owns(millis + 900));
        }
    }

    // Guards against a group without an owner because the writer of the key took a lost answer for
    // a lost claim.
    void lostAnswerOfTheClaimIsReadBack()
    {
        Process process("entry-1");
        process.campaign(0);
        OwnerLease::Commands commands;
        process.lease.keyClaimed(at(1000), std::nullopt, 0, commands);
        CPPUNIT_ASSERT(has<OwnerLease::ClaimKey>(process.tick(1200)));
        process.lease.keyClaimed(at(1210), process.value, 42, commands);
        CPPUNIT_ASSERT(process.owns(1210));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(2900)));
    }

    // Guards against leases that pile up in the store, and against a tight loop of claims.
    void loserRevokesItsLease()
    {
        Process process("entry-1");
        process.campaign(0);
        OwnerLease::Commands commands;
        process.lease.keyClaimed(at(10), std::string("entry-2 8"), 41, commands);
        CPPUNIT_ASSERT(has<OwnerLease::RevokeLease>(commands));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(10)));
        CPPUNIT_ASSERT(process.tick(900).empty());
        CPPUNIT_ASSERT(has<OwnerLease::ReadKey>(process.tick(1100)));
    }

    // Guards against an owner that goes on after the store has ended its lease early.
    void endedLeaseEndsTheOwnership()
    {
        Process process("entry-1");
        process.win(0);
        process.tick(1000);
        OwnerLease::Commands commands;
        process.lease.leaseKept(at(1010), false, commands);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(1010)));
    }

    // Guards against a deposed owner that takes the key again before the others see it free.
    void ownerThatGivesUpLetsOthersCampaignFirst()
    {
        Process process("entry-1");
        process.win(0);
        OwnerLease::Commands commands;
        process.lease.giveUp(at(100), commands);
        CPPUNIT_ASSERT(has<OwnerLease::RevokeLease>(commands));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(100)));
        CPPUNIT_ASSERT(process.tick(1500).empty());
        CPPUNIT_ASSERT(has<OwnerLease::ReadKey>(process.tick(2200)));
    }

    // Guards against polling of the store by processes that are no candidates.
    void onlyCandidatesCallTheStore()
    {
        Process process("entry-1");
        CPPUNIT_ASSERT(process.tick(0).empty());
        process.win(10);
        OwnerLease::Commands commands;
        process.lease.setCandidate(false, commands);
        CPPUNIT_ASSERT(has<OwnerLease::RevokeLease>(commands));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), process.lease.fence(at(20)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerLeaseTest);

} // namespace Nutmegrill
