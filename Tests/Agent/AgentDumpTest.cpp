#include "AgentScript.h"

#include <map>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

class AgentDumpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentDumpTest);
    CPPUNIT_TEST(recentRequestsShowTheirRunState);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a dump that lists a request as not run although it was sent to the backend
    // server, or the reverse.
    void recentRequestsShowTheirRunState()
    {
        AgentScript script;
        script.runAll({"0 config version=1",
                       "0 up b1",
                       "0 link 1",
                       "0 hello 1 version=1",
                       "10 work 1 id=rejected once=1",
                       "20 work 2 id=done key=k1 body=book",
                       "25 answer",
                       "30 head done",
                       "31 data done booked tokens=0",
                       "32 end done",
                       "40 answer",
                       "45 ack 1 id=done next=1",
                       "50 work 3 id=repeated key=k1 body=book",
                       "55 answer",
                       "60 work 4 id=cancelled",
                       "65 cancelled 4",
                       "70 work 5 id=refused",
                       "75 refused refused",
                       "80 up b1",
                       "85 work 6 id=broken",
                       "90 broken broken"});
        std::map<std::string, std::string> outcomes;
        const auto dump = nlohmann::json::parse(script.dump());
        for (const auto &row : dump["recent"])
            outcomes[row["request_id"].get<std::string>()] =
                    row["code"].get<std::string>() + " " + row["run"].get<std::string>() + " "
                    + std::to_string(row["starts"].get<int>());
        const std::map<std::string, std::string> expected = {
                {"rejected", "key_required not_run 0"},
                {"done", "ok completed 1"},
                {"repeated", "recorded_answer completed 0"},
                {"cancelled", "cancelled unknown 1"},
                {"refused", "refused not_run 0"},
                {"broken", "broken unknown 1"}};
        CPPUNIT_ASSERT_MESSAGE(dump["recent"].dump(), expected == outcomes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentDumpTest);

} // namespace Nutmegrill
