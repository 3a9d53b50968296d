#include "Relay/RequestQuarantine.h"
#include "Relay/RelayRequest.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant at(double second)
{
    return Instant(seconds(100)) + milliseconds(static_cast<std::int64_t>(1000 * second));
}

RequestQuarantine::Traits traits(const std::vector<std::string> &parts, std::uint64_t content = 0)
{
    RelayRequest request;
    request.sharedParts = parts;
    request.contentHash = content;
    return RequestQuarantine::traitsOf("model", request);
}

void crash(RequestQuarantine &quarantine, Instant now, const std::string &incarnation,
           const std::vector<RequestQuarantine::Traits> &running)
{
    for (const auto &each : running)
        quarantine.recordBreak(now, incarnation, each);
    quarantine.recordEnd(now, incarnation);
    quarantine.tick(now);
}

bool blocks(RequestQuarantine &quarantine, Instant now, const RequestQuarantine::Traits &request,
            bool isTester = false)
{
    quarantine.tick(now);
    return quarantine.blocks(now, request, [isTester](std::uint64_t) { return isTester; });
}

/// Exchanges the reports of two entries once, in both directions.
void exchangeReports(Instant now, RequestQuarantine &left, RequestQuarantine &right)
{
    for (auto [from, to] : {std::pair(&left, &right), std::pair(&right, &left)}) {
        std::vector<CrashReport> reports;
        from->fillReports(now, reports);
        for (const CrashReport &report : reports)
            to->merge(now, report);
    }
}

} // namespace

class RequestQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQuarantineTest);
    CPPUNIT_TEST(repeatedRequestReachesServersAfterTwoCrashes);
    CPPUNIT_TEST(brokenConnectionsToLiveServersAreNoCrashes);
    CPPUNIT_TEST(lostRackQuarantinesSoundRequests);
    CPPUNIT_TEST(quickRepeatsCountAsOneCrash);
    CPPUNIT_TEST(movedRouteForgetsTheCrashesOfARequest);
    CPPUNIT_TEST(soundPartOfCrashingRequestsIsRefused);
    CPPUNIT_TEST(undecidedPartIsTestedByManyEntries);
    CPPUNIT_TEST(soundPartStaysQuarantinedByMistake);
    CPPUNIT_TEST(ninthCrashIsTestedEveryFewSeconds);
    CPPUNIT_TEST(successElsewhereDoesNotEndAQuarantine);
    CPPUNIT_TEST(quarantineIsLostWithAllEntries);
    CPPUNIT_TEST(restoredStoreLosesAQuarantine);
    CPPUNIT_TEST(recordsGrowWithoutBound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that comes again with the same content and crashes server after
    // server.
    void repeatedRequestReachesServersAfterTwoCrashes()
    {
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({}, 7), traits({}, 8)});
        CPPUNIT_ASSERT(!blocks(quarantine, at(1), traits({}, 7)));
        crash(quarantine, at(2), "b/1", {traits({}, 7), traits({}, 9)});
        CPPUNIT_ASSERT(blocks(quarantine, at(2), traits({}, 7)));
        CPPUNIT_ASSERT(!blocks(quarantine, at(2), traits({}, 8)));
        CPPUNIT_ASSERT(!blocks(quarantine, at(2), traits({}, 9)));
    }

    void brokenConnectionsToLiveServersAreNoCrashes()
    {
        RequestQuarantine quarantine;
        for (const std::string server : {"a/1", "b/1", "c/1", "d/1"}) {
            CPPUNIT_ASSERT(quarantine.recordBreak(at(0), server, traits({"part"})));
            quarantine.recordAlive(server, at(0.01));
            quarantine.recordEnd(at(1), server);
        }
        CPPUNIT_ASSERT(!blocks(quarantine, at(1), traits({"part"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), quarantine.size());
        // An answer to a request that was sent before the break proves nothing.
        CPPUNIT_ASSERT(quarantine.recordBreak(at(2), "e/1", traits({"part"})));
        quarantine.recordAlive("e/1", at(1.9));
        CPPUNIT_ASSERT(quarantine.recordEnd(at(2.1), "e/1") == std::size_t(1));
    }

    // Servers that fail together have one cause, which need not be a request.
    void lostRackQuarantinesSoundRequests()
    {
        RequestQuarantine quarantine;
        for (const std::string server : {"a/1", "b/1", "c/1", "d/1", "e/1"})
            crash(quarantine, at(0), server, {traits({"part"})});
        CPPUNIT_ASSERT(!blocks(quarantine, at(1), traits({"part"})));
        // A part that ran well is not quarantined by a second such fault either.
        quarantine.recordSuccess(at(2), traits({"part"}));
        for (const double second : {3.0, 6.0, 9.0})
            crash(quarantine, at(second), "f/" + std::to_string(second), {traits({"part"})});
        CPPUNIT_ASSERT(!blocks(quarantine, at(10), traits({"part"})));
        crash(quarantine, at(12), "f/12", {traits({"part"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(12), traits({"part"})));
    }

    // Guards against repeats that crash one server after the other within the time in which the
    // loss of a rack counts once; the other entries and the store have to agree.
    void quickRepeatsCountAsOneCrash()
    {
        RequestQuarantine here;
        RequestQuarantine there;
        const auto request = traits({"part"}, 7);
        here.recordBreak(at(0), "a/1", request);
        here.recordEnd(at(0), "a/1");
        here.recordBreak(at(0.02), "b/1", request, request.front());
        here.recordEnd(at(0.02), "b/1");
        CPPUNIT_ASSERT(blocks(here, at(1), traits({}, 7)));
        // Other requests with the part were not sent because of the first crash.
        CPPUNIT_ASSERT(!blocks(here, at(1), traits({"part"}, 8)));
        exchangeReports(at(1), here, there);
        CPPUNIT_ASSERT(blocks(there, at(1), traits({}, 7)));
        const auto writes =
                here.takeStoreWrites(at(1), [](std::uint64_t, std::uint32_t) { return true; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        RequestQuarantine successor;
        successor.recordStored(at(2), writes[0].report, 5);
        CPPUNIT_ASSERT(blocks(successor, at(2), traits({}, 7)));
    }

    // A configuration sends the same request to another service, or divides it between two.
    void movedRouteForgetsTheCrashesOfARequest()
    {
        RelayRequest request;
        request.contentHash = 7;
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {RequestQuarantine::traitsOf("before", request)});
        crash(quarantine, at(4), "b/1", {RequestQuarantine::traitsOf("after", request)});
        CPPUNIT_ASSERT(blocks(quarantine, at(5), RequestQuarantine::traitsOf("before", request)));
        CPPUNIT_ASSERT(blocks(quarantine, at(5), RequestQuarantine::traitsOf("after", request)));
    }

    // Requests with the crashing part share their first part with sound requests.
    void soundPartOfCrashingRequestsIsRefused()
    {
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({"sound", "bad"})});
        crash(quarantine, at(4), "b/1", {traits({"sound", "bad"})});
        crash(quarantine, at(8), "c/1", {traits({"other", "bad"})});
        CPPUNIT_ASSERT(!blocks(quarantine, at(9), traits({"sound"})));
        CPPUNIT_ASSERT(!blocks(quarantine, at(9), traits({"other"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(9), traits({"sound", "bad"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(9), traits({"bad"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(9), traits({"bad"}), true));
    }

    // Two parts that were always sent together: one entry tests them, one request at a time.
    void undecidedPartIsTestedByManyEntries()
    {
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({"one", "two"})});
        crash(quarantine, at(4), "b/1", {traits({"one", "two"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(5), traits({"one"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(5), traits({"one", "two"}), true));
        CPPUNIT_ASSERT(!blocks(quarantine, at(5), traits({"one"}), true));
        CPPUNIT_ASSERT(quarantine.recordSent(at(5), traits({"one"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(5), traits({"one"}), true));
        quarantine.recordSuccess(at(6), traits({"one"}));
        CPPUNIT_ASSERT(!blocks(quarantine, at(6), traits({"one"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(6), traits({"two"}), true));
    }

    // A part that was in flight at two crashes by chance gets another try after a minute, and a
    // part that crashes servers costs fewer and fewer of them.
    void soundPartStaysQuarantinedByMistake()
    {
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({"part"})});
        crash(quarantine, at(4), "b/1", {traits({"part"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(63), traits({"part"}), true));
        CPPUNIT_ASSERT(blocks(quarantine, at(65), traits({"part"})));
        CPPUNIT_ASSERT(!blocks(quarantine, at(65), traits({"part"}), true));
        CPPUNIT_ASSERT(quarantine.recordSent(at(65), traits({"part"})));
        CPPUNIT_ASSERT(blocks(quarantine, at(66), traits({"part"}), true));
        crash(quarantine, at(66), "c/1", {traits({"part"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(180), traits({"part"}), true));
        CPPUNIT_ASSERT(!blocks(quarantine, at(190), traits({"part"}), true));
        quarantine.recordSuccess(at(191), traits({"part"}));
        CPPUNIT_ASSERT(!blocks(quarantine, at(191), traits({"part"})));
    }

    // Guards against a full list of crashes: a further one has to put off the next test as well.
    void ninthCrashIsTestedEveryFewSeconds()
    {
        RequestQuarantine quarantine;
        for (int number = 0; number < 9; ++number)
            crash(quarantine, at(10 * number), std::to_string(number) + "/1", {traits({"part"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(80 + 299), traits({"part"}), true));
        CPPUNIT_ASSERT(!blocks(quarantine, at(80 + 301), traits({"part"}), true));
        crash(quarantine, at(80 + 302), "9/1", {traits({"part"})});
        CPPUNIT_ASSERT(blocks(quarantine, at(80 + 310), traits({"part"}), true));
        // A late report of a crash that was dropped changes nothing.
        const std::uint64_t before = quarantine.generation();
        quarantine.merge(at(390), {traits({"part"})[0], {{"0/1", seconds(390)}}, {}, seconds(60)});
        CPPUNIT_ASSERT_EQUAL(before, quarantine.generation());
    }

    // An entry that served a part clears it at the entries that did not.
    void successElsewhereDoesNotEndAQuarantine()
    {
        RequestQuarantine here;
        RequestQuarantine there;
        crash(here, at(0), "a/1", {traits({"part"})});
        exchangeReports(at(1), here, there);
        crash(there, at(4), "b/1", {traits({"part"})});
        exchangeReports(at(4.1), here, there);
        CPPUNIT_ASSERT(blocks(here, at(5), traits({"part"}))
                       && blocks(there, at(5), traits({"part"})));
        there.recordSuccess(at(6), traits({"part"}));
        exchangeReports(at(6.1), here, there);
        CPPUNIT_ASSERT(!blocks(here, at(7), traits({"part"})));
        // A delayed report of the earlier crashes changes nothing.
        here.merge(
                at(8),
                {traits({"part"})[0], {{"a/1", seconds(8)}, {"b/1", seconds(4)}}, {}, seconds(60)});
        CPPUNIT_ASSERT(!blocks(here, at(8), traits({"part"})));
    }

    // Guards against forgetting everything when all entries restart at once.
    void quarantineIsLostWithAllEntries()
    {
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({"part"})});
        const auto first = [](std::uint64_t, std::uint32_t writers) { return writers >= 1; };
        const auto second = [](std::uint64_t, std::uint32_t writers) { return writers >= 2; };
        CPPUNIT_ASSERT(quarantine.takeStoreWrites(at(0), first).empty());
        crash(quarantine, at(4), "b/1", {traits({"part"})});
        // Another entry writes when the chosen one does not.
        CPPUNIT_ASSERT(quarantine.takeStoreWrites(at(4), second).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantine.takeStoreWrites(at(6), second).size());
        const auto writes = quarantine.takeStoreWrites(at(8), first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        RequestQuarantine successor;
        successor.recordStored(at(10), writes[0].report, 5);
        CPPUNIT_ASSERT(blocks(successor, at(10), traits({"part"})));
        CPPUNIT_ASSERT(successor.takeStoreWrites(at(10), first).empty());
        // The end of the quarantine is written as well.
        successor.recordSuccess(at(11), traits({"part"}));
        const auto ended = successor.takeStoreWrites(at(11), first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ended.size());
        CPPUNIT_ASSERT(ended[0].revision == 5 && ended[0].report.crashes.empty());
        successor.recordStored(at(12), ended[0].report, 6);
        crash(successor, at(13), "c/1", {traits({"part"})});
        CPPUNIT_ASSERT(successor.takeStoreWrites(at(20), first).empty());
        // A record that expires here expires in the store as well.
        quarantine.recordStored(at(10), writes[0].report, 5);
        quarantine.tick(at(700));
        CPPUNIT_ASSERT(quarantine.takeStoreWrites(at(700), first).empty());
    }

    // Guards against records that are believed to be in the store, under revisions that belong to
    // other rows since it came back from a copy.
    void restoredStoreLosesAQuarantine()
    {
        const auto first = [](std::uint64_t, std::uint32_t) { return true; };
        RequestQuarantine quarantine;
        crash(quarantine, at(0), "a/1", {traits({"part"})});
        crash(quarantine, at(4), "b/1", {traits({"part"})});
        const auto writes = quarantine.takeStoreWrites(at(4), first);
        quarantine.recordStored(at(4.1), writes.at(0).report, 5);
        CPPUNIT_ASSERT(quarantine.takeStoreWrites(at(8), first).empty());
        quarantine.forgetStored();
        const auto again = quarantine.takeStoreWrites(at(9), first);
        CPPUNIT_ASSERT(again.size() == 1 && again[0].revision == 0);
    }

    void recordsGrowWithoutBound()
    {
        RequestQuarantine quarantine;
        for (int number = 0; number < 10000; ++number) {
            const std::string part = "part-" + std::to_string(number);
            crash(quarantine, at(number), "a/" + part, {traits({part})});
            quarantine.recordSuccess(at(number), traits({"sound-" + part}));
        }
        CPPUNIT_ASSERT(quarantine.size() <= 4096);
        std::vector<CrashReport> reports;
        quarantine.fillReports(at(10000), reports);
        CPPUNIT_ASSERT(reports.size() <= 9);
        // Every record is reported once before any is repeated.
        RequestQuarantine other;
        for (int number = 0; number < 24; ++number)
            other.recordBreak(at(0), "a/1", traits({std::to_string(number)}));
        other.recordEnd(at(0), "a/1");
        std::set<std::uint64_t> reported;
        for (int round = 0; round < 3; ++round) {
            reports.clear();
            other.fillReports(at(1), reports);
            for (const CrashReport &report : reports)
                reported.insert(report.fingerprint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(24), reported.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);

} // namespace Nutmegrill
