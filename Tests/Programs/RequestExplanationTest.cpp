#include "Programs/RequestExplanation.h"

#include "Agent/AgentNode.h"
#include "Entry/EntryNode.h"
#include "Membership/StateDump.h"

#include <set>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

WorkMessage::Request requestWithId(const std::string &id)
{
    WorkMessage::Request request;
    request.requestId = id;
    request.account = "office";
    request.service = "writer";
    return request;
}

std::string dumpOf(const RecentRequests &recent)
{
    return Json({{"entry", "entry-1"}, {"recent", StateDump<Json>::recent(recent)}}).dump();
}

std::set<std::string> keysOf(const Json &document)
{
    std::set<std::string> keys;
    for (const auto &[key, value] : document.items())
        keys.insert(key);
    return keys;
}

} // namespace

class RequestExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestExplanationTest);
    CPPUNIT_TEST(finishedRequestIsExplained);
    CPPUNIT_TEST(openRequestIsExplained);
    CPPUNIT_TEST(similarIdIsAnotherRequest);
    CPPUNIT_TEST(recentRequestsAreBounded);
    CPPUNIT_TEST(dumpsShareTheirNames);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation that omits where a request was started and how it ended.
    void finishedRequestIsExplained()
    {
        RecentRequests recent;
        recent.add(requestWithId("office/r-1"), {"north", "south", "north"}, "broken",
                   RunState::Unknown);
        const auto lines = RequestExplanation::describe(dumpOf(recent), "r-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1: office/r-1, account office, service writer: "
                                         "finished with broken, run unknown, 3 starts on north, "
                                         "south"),
                             lines.front());
    }

    // Guards against an explanation that omits a request that still runs.
    void openRequestIsExplained()
    {
        const Json dump = {{"agent", "north"},
                           {"requests",
                            {{{"request_id", "office/r-1~2"},
                              {"account", "office"},
                              {"service", "writer"},
                              {"phase", "running"},
                              {"next_event", 4},
                              {"tail_bytes", 90},
                              {"paused", true}}}}};
        const auto lines = RequestExplanation::describe(dump.dump(), "office/r-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("north: office/r-1~2, account office, service writer: "
                                         "running, next event 4, 90 bytes of the answer kept, "
                                         "paused for a slow reader"),
                             lines.front());
    }

    // Guards against an explanation of another request whose id contains the given one, and against
    // a failure on a dump that is not JSON.
    void similarIdIsAnotherRequest()
    {
        RecentRequests recent;
        recent.add(requestWithId("office/r-12"), {}, RecentRequests::Ok, RunState::Completed);
        CPPUNIT_ASSERT(RequestExplanation::describe(dumpOf(recent), "r-1").empty());
        CPPUNIT_ASSERT(RequestExplanation::describe(dumpOf(recent), "12").empty());
        CPPUNIT_ASSERT(RequestExplanation::describe("", "r-12").empty());
    }

    // Guards against memory that grows with every finished request.
    void recentRequestsAreBounded()
    {
        RecentRequests recent;
        for (std::size_t index = 0; index < RecentRequests::MaxRows + 10; ++index)
            recent.add(requestWithId("office/" + std::to_string(index)), {}, RecentRequests::Ok,
                       RunState::Completed);
        CPPUNIT_ASSERT_EQUAL(RecentRequests::MaxRows, recent.rows().size());
        CPPUNIT_ASSERT_EQUAL(std::string("office/10"), recent.rows().front().requestId);
    }

    // Guards against a key with different names in the dumps of entries and agents, which the
    // operator's commands would find in only one of them.
    void dumpsShareTheirNames()
    {
        const auto entry = keysOf(Json::parse(EntryNode(EntrySettings()).dump(Instant())));
        const auto agent = keysOf(Json::parse(AgentNode(AgentSettings()).dump(Instant())));
        for (const std::string key : {"failure_domain", "configuration_version",
                                      "pending_take_outs", "requests", "recent"}) {
            CPPUNIT_ASSERT_MESSAGE(key, entry.count(key) == 1);
            CPPUNIT_ASSERT_MESSAGE(key, agent.count(key) == 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestExplanationTest);

} // namespace Nutmegrill
