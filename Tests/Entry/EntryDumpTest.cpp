#include "EntryDriver.h"

#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

class EntryDumpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryDumpTest);
    CPPUNIT_TEST(continuedRequestNamesItsAgents);
    CPPUNIT_TEST(requestWithoutStartIsNotRun);
    CPPUNIT_TEST(pendingTakeOutIsListed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a dump that omits the agent on which an attempt broke.
    void continuedRequestNamesItsAgents()
    {
        const auto row = dumpAfter({"30 request 1 model small", "40 event 1 0 Good", "50 lost a1 1",
                                    "60 down a1", "70 event 2 0 done", "80 end 2 1"})["recent"]
                                 .at(0);
        CPPUNIT_ASSERT_EQUAL(std::string(R"(["a1","a2"])"), row["agents"].dump());
        CPPUNIT_ASSERT_EQUAL(2, row["starts"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), row["code"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), row["run"].get<std::string>());
    }

    // Guards against a queued request that is reported as run when its caller disconnects.
    void requestWithoutStartIsNotRun()
    {
        const auto row = dumpAfter({"30 grant a1 0 ms=60000", "30 grant a2 0 ms=60000",
                                    "40 request 1 model small", "50 gone 1"})["recent"]
                                 .at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("caller_gone"), row["code"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), row["run"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(0, row["starts"].get<int>());
    }

    // Guards against a bring-back with an epoch below that of a take-out that is not in the store
    // yet: operators read the epoch from the dump.
    void pendingTakeOutIsListed()
    {
        const auto rows = dumpAfter({"30 take-out south 3"})["pending_take_outs"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("south"), rows[0]["failure_domain"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(3, rows[0]["epoch"].get<int>());
    }

private:
    static nlohmann::json dumpAfter(const std::vector<std::string> &lines)
    {
        EntryDriver driver;
        driver.runAll({"0 config 1", "10 instances e1:north a1:north:model a2:south:model",
                       "20 up a1 credits=9", "20 up a2 credits=9"});
        driver.runAll(lines);
        return nlohmann::json::parse(driver.node.dump(Instant(std::chrono::milliseconds(100))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDumpTest);

} // namespace Nutmegrill
