#include "AgentScript.h"
#include "GoldenSession.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class AgentSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentSessionTest);
    CPPUNIT_TEST(firstAnswer);
    CPPUNIT_TEST(coldStart);
    CPPUNIT_TEST(turnCold);
    CPPUNIT_TEST(takeOut);
    CPPUNIT_TEST(runsOnce);
    CPPUNIT_TEST(runsOnceWithoutStore);
    CPPUNIT_TEST(runsOnceAcrossAgents);
    CPPUNIT_TEST(resume);
    CPPUNIT_TEST(crash);
    CPPUNIT_TEST(slowEntry);
    CPPUNIT_TEST(stop);
    CPPUNIT_TEST(leaving);
    CPPUNIT_TEST(memory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that gets anything without the deployment key, and against a request
    // that is not handed over and answered.
    void firstAnswer() { this->compare("agent-first-answer"); }

    // Guards against a cold backend server that gets its full load, and against credits that stay
    // with a frozen entry.
    void coldStart() { this->compare("agent-cold-start"); }

    // Guards against new work for a backend server that turned cold in full load.
    void turnCold() { this->compare("agent-turn-cold"); }

    // Guards against new work after a take-out, and against a take-out that an old message undoes.
    void takeOut() { this->compare("agent-take-out"); }

    // Guards against a call that runs twice when its caller repeats it.
    void runsOnce() { this->compare("agent-once"); }

    // Guards against a call that runs without a claim, or whose claim is lost with an answer of the
    // store.
    void runsOnceWithoutStore() { this->compare("agent-once-store"); }

    // Guards against a call that runs here while another agent has claimed it.
    void runsOnceAcrossAgents() { this->compare("agent-once-foreign"); }

    // Guards against an answer that is lost or repeated when a link dies.
    void resume() { this->compare("agent-resume"); }

    // Guards against a request that crashes one backend server after the other.
    void crash() { this->compare("agent-crash"); }

    // Guards against memory that fills while an entry takes no bytes.
    void slowEntry() { this->compare("agent-slow-entry"); }

    // Guards against a planned stop that cuts off a request or runs a new one.
    void stop() { this->compare("agent-stop"); }

    // Guards against a stop that waits for an acknowledgement for good.
    void leaving() { this->compare("agent-leaving"); }

    // Guards against answers that outgrow the memory of the backend server long after admission.
    void memory() { this->compare("agent-memory"); }

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
