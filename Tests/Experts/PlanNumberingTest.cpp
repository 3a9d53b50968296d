#include "Experts/PlanNumbering.h"

#include <chrono>
#include <cstdint>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::seconds;
using TimeOfDay = std::chrono::system_clock::time_point;

constexpr TimeOfDay Start(seconds(1800000000));

} // namespace

class PlanNumberingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlanNumberingTest);
    CPPUNIT_TEST(ownersGiveDifferentNumbers);
    CPPUNIT_TEST(numbersRise);
    CPPUNIT_TEST(laterOwnerBeginsAboveEarlierOne);
    CPPUNIT_TEST(numbersStayExactInJson);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two owners that know the same versions and give the next one to two maps,
    // also if their clocks show the same time or run behind the known versions.
    void ownersGiveDifferentNumbers()
    {
        const PlanNumbering one(Start, 1);
        const PlanNumbering other(Start, 2);
        CPPUNIT_ASSERT(one.next(0) != other.next(0));
        const std::uint64_t known = PlanNumbering(Start + seconds(5), 3).next(0);
        CPPUNIT_ASSERT(one.next(known) != other.next(known));
    }

    // Guards against a version that an engine refuses because it has had a higher one.
    void numbersRise()
    {
        const PlanNumbering numbering(Start, 1);
        const std::uint64_t known = PlanNumbering(Start + seconds(5), 3).next(0);
        CPPUNIT_ASSERT(numbering.next(known) > known);
        CPPUNIT_ASSERT(numbering.next(numbering.next(known)) > numbering.next(known));
    }

    // Guards against a late command of an earlier owner that replaces what a later one prepared:
    // the earlier one has made a change every 0.6 s for an hour, and nobody knows of it any more.
    void laterOwnerBeginsAboveEarlierOne()
    {
        const PlanNumbering earlier(Start, 0xfffff);
        std::uint64_t version = 0;
        for (int change = 0; change < 6000; ++change)
            version = earlier.next(version);
        CPPUNIT_ASSERT(PlanNumbering(Start + seconds(3600), 0).next(0) > version);
    }

    // Guards against versions that a JSON reader rounds.
    void numbersStayExactInJson()
    {
        constexpr std::uint64_t MaxExact = std::uint64_t(1) << 53U;
        const TimeOfDay year2100(seconds(4102444800));
        CPPUNIT_ASSERT(PlanNumbering(year2100, ~std::uint64_t(0)).next(0) < MaxExact);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanNumberingTest);

} // namespace Nutmegrill
