#include "Scheduling/HedgePolicy.h"
#include "Core/RandomSource.h"
#include "Scheduling/HedgeInput.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(100)};

double milliseconds95(const HedgePolicy &policy, Instant now, std::uint32_t promptTokens)
{
    const auto late = policy.lateAfter(now, "model", promptTokens);
    return late ? std::chrono::duration<double, std::milli>(*late).count() : 0;
}

} // namespace

class HedgePolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgePolicyTest);
    CPPUNIT_TEST(quantileIsWithinATenth);
    CPPUNIT_TEST(fewSamplesGiveNone);
    CPPUNIT_TEST(sizesAreKeptApart);
    CPPUNIT_TEST(oldSamplesFade);
    CPPUNIT_TEST(servicesOfThePastMakeRoom);
    CPPUNIT_TEST(reasonsHaveAnOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void quantileIsWithinATenth()
    {
        HedgePolicy policy;
        RandomSource random(7);
        for (int sample = 0; sample < 2000; ++sample)
            policy.recordDelay(Start, "model", 100,
                               microseconds(static_cast<int>(1000000 * random.unit())));
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 100) >= 930);
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 100) <= 1070);
    }

    void fewSamplesGiveNone()
    {
        HedgePolicy policy;
        for (int sample = 0; sample < 49; ++sample)
            policy.recordDelay(Start, "model", 100, milliseconds(80));
        CPPUNIT_ASSERT(!policy.lateAfter(Start, "model", 100));
        policy.recordDelay(Start, "model", 100, milliseconds(80));
        CPPUNIT_ASSERT(policy.lateAfter(Start, "model", 100).has_value());
        CPPUNIT_ASSERT(!policy.lateAfter(Start, "other", 100));
        // Samples of the past are no longer enough.
        CPPUNIT_ASSERT(!policy.lateAfter(Start + seconds(2), "model", 100));
    }

    // Guards against long prompts, which take longer by nature, that all get a second attempt.
    void sizesAreKeptApart()
    {
        HedgePolicy policy;
        for (int sample = 0; sample < 60; ++sample) {
            policy.recordDelay(Start, "model", 512, milliseconds(50));
            policy.recordDelay(Start, "model", 513, milliseconds(200));
            policy.recordDelay(Start, "model", 2049, milliseconds(800));
        }
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 0) < 60);
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 2048) > 190);
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 2048) < 230);
        CPPUNIT_ASSERT(milliseconds95(policy, Start, 9000) > 790);
    }

    void oldSamplesFade()
    {
        HedgePolicy policy;
        for (int sample = 0; sample < 200; ++sample)
            policy.recordDelay(Start, "model", 1, milliseconds(1000));
        const Instant later = Start + seconds(60);
        for (int sample = 0; sample < 200; ++sample)
            policy.recordDelay(later, "model", 1, milliseconds(50));
        CPPUNIT_ASSERT(milliseconds95(policy, later, 1) < 60);
    }

    // Guards against memory that grows with services that no longer exist.
    void servicesOfThePastMakeRoom()
    {
        HedgePolicy policy;
        for (int service = 0; service < 3000; ++service)
            policy.recordDelay(Start, std::to_string(service), 1, milliseconds(50));
        CPPUNIT_ASSERT(policy.size() <= 768);
        for (int sample = 0; sample < 60; ++sample)
            policy.recordDelay(Start + seconds(60), "model", 1, milliseconds(50));
        CPPUNIT_ASSERT(policy.lateAfter(Start + seconds(60), "model", 1).has_value());
    }

    void reasonsHaveAnOrder()
    {
        CPPUNIT_ASSERT(!HedgePolicy::reasonToHold({}));
        HedgeInput input;
        input.isRetryBudgetUsedUp = true;
        CPPUNIT_ASSERT(HedgePolicy::reasonToHold(input) == HedgeHold::RetryBudget);
        input.isSaturated = true;
        CPPUNIT_ASSERT(HedgePolicy::reasonToHold(input) == HedgeHold::Saturated);
        input.runsOnce = true;
        CPPUNIT_ASSERT(HedgePolicy::reasonToHold(input) == HedgeHold::RunsOnce);
        CPPUNIT_ASSERT_EQUAL(std::string("no_server"), std::string(nameOf(HedgeHold::NoServer)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);

} // namespace Nutmegrill
