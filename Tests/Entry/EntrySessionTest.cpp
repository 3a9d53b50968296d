#include "EntryDriver.h"
#include "GoldenSession.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

// Each session guards against a change of decisions in the situation that its first lines name.
class EntrySessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntrySessionTest);
    CPPUNIT_TEST(first);
    CPPUNIT_TEST_SUITE_END();

public:
    void first() { check("entry-first"); }

private:
    static void check(const std::string &name)
    {
        EntryDriver driver;
        CPPUNIT_ASSERT_EQUAL(std::string(), GoldenSession(name).run([&](const std::string &line) {
            return driver.run(line);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySessionTest);

} // namespace Nutmegrill
