#include "AgentScript.h"
#include "GoldenSession.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class AgentSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentSessionTest);
    CPPUNIT_TEST(firstAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that gets anything without the deployment key, and against a request
    // that is not handed over and answered.
    void firstAnswer() { this->compare("agent-first-answer"); }

private:
    void compare(const std::string &name)
    {
        AgentScript script;
        const std::string difference = GoldenSession(name).run(
                [&script](const std::string &line) { return script.run(line); });
        CPPUNIT_ASSERT_EQUAL(std::string(), difference);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentSessionTest);

} // namespace Nutmegrill
