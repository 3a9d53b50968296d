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
    // Guards against serving a link without the deployment key, and against a request that is not
    // sent to the backend server or whose answer is not returned.
    void firstAnswer() { this->compare("agent-first-answer"); }

    // Guards against full load on a cold backend server, and against credits that a frozen entry
    // keeps beyond their lifetime.
    void coldStart() { this->compare("agent-cold-start"); }

    // Guards against new work for a backend server that turns cold under full load.
    void turnCold() { this->compare("agent-turn-cold"); }

    // Guards against new work after a take-out, and against a stale message that reverts a
    // take-out.
    void takeOut() { this->compare("agent-take-out"); }

    // Guards against a second execution of a non-idempotent request that its caller repeats.
    void runsOnce() { this->compare("agent-once"); }

    // Guards against running a non-idempotent request without a claim, and against losing the claim
    // when a response of the store is lost.
    void runsOnceWithoutStore() { this->compare("agent-once-store"); }

    // Guards against running a request that another agent has claimed.
    void runsOnceAcrossAgents() { this->compare("agent-once-foreign"); }

    // Guards against lost or duplicate events when a link breaks during an answer.
    void resume() { this->compare("agent-resume"); }

    // Guards against a request that is repeated and crashes several backend servers.
    void crash() { this->compare("agent-crash"); }

    // Guards against unbounded buffering while an entry reads nothing.
    void slowEntry() { this->compare("agent-slow-entry"); }

    // Guards against a planned stop that aborts a running request or starts a new one.
    void stop() { this->compare("agent-stop"); }

    // Guards against a stop that waits indefinitely for an acknowledgement.
    void leaving() { this->compare("agent-leaving"); }

    // Guards against admitting requests whose answers exceed the backend server's KV memory later.
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
