#include "Core/RandomSource.h"
#include "RandomEntrySession.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include <rapidcheck.h>

namespace Nutmegrill {

class EntryPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryPropertyTest);
    CPPUNIT_TEST(invariantsHold);
    CPPUNIT_TEST(withoutDropDuplicatesFails);
    CPPUNIT_TEST(withoutAtMostOnceFails);
    CPPUNIT_TEST(withoutDomainCheckFails);
    CPPUNIT_TEST(withoutLeavingCheckFails);
    CPPUNIT_TEST(withoutCreditsFails);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against event sequences after which a caller gets two final replies or events out of
    // order, a non-idempotent call runs twice, or a request starts on an agent that must not run
    // it.
    void invariantsHold()
    {
        rc::detail::TestMetadata metadata;
        metadata.id = "entry";
        rc::detail::TestParams params;
        params.seed = Seed;
        params.maxSuccess = 300;
        const auto result = rc::detail::checkTestable(
                [] {
                    const auto choices = *rc::gen::container<std::vector<int>>(
                            ChoiceCount, rc::gen::inRange(0, ChoiceBound));
                    if (const auto violation = RandomEntrySession(choices, {}).run();
                        !violation.empty())
                        RC_FAIL(violation);
                },
                metadata, params);
        std::ostringstream report;
        rc::detail::printResultMessage(result, report);
        CPPUNIT_ASSERT_MESSAGE(report.str(), result.template is<rc::detail::SuccessResult>());
    }

    // These guard against invariant checks that cannot fail: each turns off one mechanism and
    // expects a violation.
    void withoutDropDuplicatesFails() { checkFails(&EntrySwitches::dropDuplicates, "event index"); }
    void withoutAtMostOnceFails() { checkFails(&EntrySwitches::atMostOnce, "started again"); }
    void withoutDomainCheckFails() { checkFails(&EntrySwitches::domainCheck, "domain is out"); }
    void withoutLeavingCheckFails() { checkFails(&EntrySwitches::leavingCheck, "leaving"); }
    void withoutCreditsFails() { checkFails(&EntrySwitches::credits, "without a credit"); }

private:
    static constexpr std::uint64_t Seed = 20261204;
    static constexpr std::size_t ChoiceCount = 600;
    static constexpr int ChoiceBound = 29 * 840;

    static void checkFails(bool EntrySwitches::*mechanism, const std::string &expected)
    {
        EntrySwitches switches;
        switches.*mechanism = false;
        RandomSource random(Seed);
        for (int session = 0; session < 300; ++session) {
            std::vector<int> choices(ChoiceCount);
            for (int &choice : choices)
                choice = static_cast<int>(random.below(ChoiceBound));
            const std::string violation = RandomEntrySession(choices, switches).run();
            if (violation.find(expected) != std::string::npos)
                return;
        }
        CPPUNIT_FAIL("no violation found: " + expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryPropertyTest);

} // namespace Nutmegrill
