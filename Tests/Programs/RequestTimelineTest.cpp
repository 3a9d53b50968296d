#include "Programs/RequestTimeline.h"

#include <sstream>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

const std::string log =
        "2026-04-08T23:27:33.100 INFO front-1 E5010 request=r1 route=a service=s backend=i-1 "
        "send=1 "
        "waited_ms=0 left_ms=400 running_here=1 running_elsewhere=2 cold=0 config=20\n"
        "2026-04-08T23:27:33.500 WARNING front-1 E5013 request=r1 status=504 reason=\"deadline, "
        "service s, sends 1, runs 1, after 400 ms\" retry_after_ms=0 config=24\n"
        "no line of a log\n"
        "2026-04-08T23:27:33.600 WARNING front-1 E5013 request=r10 status=503 reason=\"no place in "
        "time\" retry_after_ms=1536 config=24\n"
        "2026-04-08T23:27:33.700 INFO front-2 E5010 request=r2 route=a service=s backend=i-1 "
        "send=1 waited_ms=0 left_ms=8000 running_here=1 running_elsewhere=2 cold=0 config=20\n"
        "2026-04-08T23:27:33.900 WARNING front-2 E5014 request=r2 why=\"connection broke\" "
        "last_event=3\n"
        "2026-04-08T23:27:33.800 WARNING front-2 E5011 request=r2 why=\"connection broke\" sends=1 "
        "runs=1 last_event=3 left_ms=7900\n";

std::vector<std::string> describeRequest(const std::string &id)
{
    RequestTimeline description(id);
    std::istringstream stream(log);
    description.read(stream);
    return description.lines();
}

} // namespace

/// The three ways from a request id to a cause that docs/OPERATIONS.md shows.
class RequestTimelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTimelineTest);
    CPPUNIT_TEST(unknownOutcomeNamesTheBackendServer);
    CPPUNIT_TEST(refusalBeforeFirstSendIsReported);
    CPPUNIT_TEST(eventsAreSortedByTime);
    CPPUNIT_TEST(unknownIdGivesNoLines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer 504 that hides the backend server which may have run the request.
    void unknownOutcomeNamesTheBackendServer()
    {
        const auto lines = describeRequest("r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), lines.size());
        CPPUNIT_ASSERT_EQUAL(
                std::string("2026-04-08T23:27:33.100 front-1: sent to i-1 of service s (send 1, "
                            "after 0 ms, with 400 ms left; 1 requests of this entry and 2 of "
                            "others ran there; configuration 20)"),
                lines.front());
        CPPUNIT_ASSERT_EQUAL(std::string("Conclusion: the outcome is unknown: the backend server "
                                         "of the last send may have run it."),
                             lines.back());
    }

    // Guards against a request that was refused before its first send and is reported as run, and
    // against log lines of another request whose id starts with the same characters.
    void refusalBeforeFirstSendIsReported()
    {
        const auto lines = describeRequest("r10");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2026-04-08T23:27:33.600 front-1: refused with 503: no "
                                         "place in time; told to retry after 1536 ms"),
                             lines.front());
        CPPUNIT_ASSERT_EQUAL(
                std::string("Conclusion: never sent to a backend server, so it has not run."),
                lines.back());
    }

    // Guards against a wrong order of events when the lines of a log are not sorted by time.
    void eventsAreSortedByTime()
    {
        const auto lines = describeRequest("r2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), lines.size());
        CPPUNIT_ASSERT(lines[1].find("the attempt failed: connection broke; the caller has the "
                                     "events up to 3, 7900 ms left")
                       != std::string::npos);
        CPPUNIT_ASSERT(lines[2].find("the stream was cut") != std::string::npos);
    }

    // Guards against a conclusion about a request that no log line names.
    void unknownIdGivesNoLines() { CPPUNIT_ASSERT(describeRequest("r3").empty()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimelineTest);

} // namespace Nutmegrill
