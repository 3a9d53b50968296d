#include "Core/Hash.h"
#include "Core/RandomSource.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class HashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HashTest);
    CPPUNIT_TEST(sha256MatchesPublishedVector);
    CPPUNIT_TEST(rendezvousMovesOnlyKeysOfRemovedCandidate);
    CPPUNIT_TEST(randomNumbersRepeatForOneSeed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key hash that no longer matches the hashes in declarations (test vector
    // "abc" of FIPS 180-4).
    void sha256MatchesPublishedVector()
    {
        CPPUNIT_ASSERT_EQUAL(
                std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
                sha256Hex("abc"));
    }

    // Guards against a subset that is reshuffled when one candidate leaves.
    void rendezvousMovesOnlyKeysOfRemovedCandidate()
    {
        const auto winner = [](const std::string &key, int candidates) {
            int best = 0;
            for (int candidate = 1; candidate < candidates; ++candidate) {
                if (rendezvousWeight(key, std::to_string(candidate))
                    > rendezvousWeight(key, std::to_string(best)))
                    best = candidate;
            }
            return best;
        };
        for (int key = 0; key < 500; ++key) {
            const int before = winner(std::to_string(key), 10);
            const int after = winner(std::to_string(key), 9);
            CPPUNIT_ASSERT(before == 9 || before == after);
        }
    }

    // Guards against a decision trace that changes between runs of one seed.
    void randomNumbersRepeatForOneSeed()
    {
        RandomSource first(7);
        RandomSource second(7);
        for (int draw = 0; draw < 100; ++draw)
            CPPUNIT_ASSERT_EQUAL(first.below(1000), second.below(1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace Nutmegrill
