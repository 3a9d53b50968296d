#include "AgentScript.h"
#include "AgentSimulation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace Nutmegrill {

namespace {

/// Runs random event sequences with a fixed seed. Returns whether all invariants held; \a calls
/// counts the backend calls of all sequences.
bool holdsInRandomSequences(AgentMechanisms mechanisms, bool shrink, std::size_t &calls)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20261204;
    parameters.maxSuccess = 2000;
    parameters.maxSize = 400;
    parameters.disableShrinking = !shrink;
    const auto property = [mechanisms, &calls](const std::vector<std::uint32_t> &choices) {
        AgentSimulation world(mechanisms);
        for (std::uint32_t choice : choices)
            world.step(choice);
        world.finish();
        calls += world.calls();
        if (!world.violation().empty())
            RC_FAIL(world.violation());
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
    rc::detail::SuccessResult success;
    if (result.match(success))
        return true;
    if (shrink)
        rc::detail::printResultMessage(result, std::cerr);
    return false;
}

} // namespace

class AgentPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentPropertyTest);
    CPPUNIT_TEST(invariantsHold);
    CPPUNIT_TEST(creditsNeedTheCheckOnArrival);
    CPPUNIT_TEST(atMostOnceNeedsClaims);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against event sequences that exceed the concurrency limit, run a non-idempotent
    // request twice, report an executed request as not run, leave a work stream without an end or
    // leave a gap in an answer.
    void invariantsHold()
    {
        std::size_t calls = 0;
        CPPUNIT_ASSERT(holdsInRandomSequences({}, true, calls));
        // Sequences without backend calls would pass without testing anything.
        CPPUNIT_ASSERT_GREATER(std::size_t(8000), calls);
    }

    // Guards against an invariant check that cannot fail: without the check on arrival, a violation
    // must be found.
    void creditsNeedTheCheckOnArrival()
    {
        AgentMechanisms mechanisms;
        mechanisms.arrivalCheck = false;
        std::size_t calls = 0;
        CPPUNIT_ASSERT(!holdsInRandomSequences(mechanisms, false, calls));
    }

    // Guards against an invariant check that cannot fail: without claims, a violation must be
    // found.
    void atMostOnceNeedsClaims()
    {
        AgentMechanisms mechanisms;
        mechanisms.claims = false;
        std::size_t calls = 0;
        CPPUNIT_ASSERT(!holdsInRandomSequences(mechanisms, false, calls));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentPropertyTest);

} // namespace Nutmegrill
