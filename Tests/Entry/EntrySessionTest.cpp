#include "EntryDriver.h"
#include "GoldenSession.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

// Compares the commands of an entry with recorded traces. Each session guards against unintended
// changes of decisions in the situation that its first lines describe.
class EntrySessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntrySessionTest);
    CPPUNIT_TEST(first);
    CPPUNIT_TEST(takeOut);
    CPPUNIT_TEST(leaving);
    CPPUNIT_TEST(linkLoss);
    CPPUNIT_TEST(replay);
    CPPUNIT_TEST(agentDeath);
    CPPUNIT_TEST(notRun);
    CPPUNIT_TEST(overload);
    CPPUNIT_TEST(slowReader);
    CPPUNIT_TEST(stop);
    CPPUNIT_TEST(startup);
    CPPUNIT_TEST(quarantine);
    CPPUNIT_TEST_SUITE_END();

public:
    void first() { check("entry-first"); }
    void takeOut() { check("entry-take-out"); }
    void leaving() { check("entry-leaving"); }
    void linkLoss() { check("entry-link-loss"); }
    void replay() { check("entry-replay"); }
    void agentDeath() { check("entry-agent-death"); }
    void notRun() { check("entry-not-run"); }
    void overload() { check("entry-overload"); }
    void slowReader() { check("entry-slow-reader"); }
    void stop() { check("entry-stop"); }
    void startup() { check("entry-startup"); }
    void quarantine() { check("entry-quarantine"); }

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
