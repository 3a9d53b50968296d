#include "Agent/WarmupLimit.h"

#include <chrono>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class WarmupLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WarmupLimitTest);
    CPPUNIT_TEST(evenIntervalsDoNotShortenTheColdStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overload of a cold engine whose token intervals are long but regular: its
    // measurement windows count as clean, so the limit would rise before the cold start is over.
    void evenIntervalsDoNotShortenTheColdStart()
    {
        CPPUNIT_ASSERT_EQUAL(4U,
                             this->limitAfter(std::chrono::seconds(5), std::chrono::seconds(5)));
        CPPUNIT_ASSERT(this->limitAfter(std::chrono::seconds(5), std::chrono::seconds(8)) > 4);
        // Without a declared cold start duration the limit rises within these 5 s.
        CPPUNIT_ASSERT(this->limitAfter(std::chrono::seconds(0), std::chrono::seconds(5)) > 4);
    }

private:
    std::uint32_t limitAfter(std::chrono::seconds coldStart, std::chrono::seconds time) const
    {
        static constexpr std::chrono::milliseconds Step(20);
        WarmupLimit limit;
        limit.configure(4, 16, coldStart);
        const Instant start{std::chrono::seconds(100)};
        limit.turnCold(start);
        for (Instant now = start; now < start + time; now += Step) {
            limit.addTokenInterval(now, Step);
            limit.tick(now);
        }
        return limit.limit();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmupLimitTest);

} // namespace Nutmegrill
