#include "RelayShell/LoadShareCodec.h"
#include "RelayShell/PeerCodec.h"

#include <chrono>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

CrashReport crashReport(std::uint64_t fingerprint, std::size_t crashes)
{
    CrashReport report;
    report.fingerprint = fingerprint;
    for (std::size_t number = 0; number < crashes; ++number)
        report.crashes.push_back(
                {"i-20944b266" + std::to_string(number) + "/1791239591083", milliseconds(123'456)});
    report.sinceSuccess = milliseconds(4'000);
    report.remaining = milliseconds(599'000);
    return report;
}

} // namespace

class EntryReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryReportTest);
    CPPUNIT_TEST(crashesAndLimitsAreLostInTheCodec);
    CPPUNIT_TEST(newsOfCrashesOutgrowAReport);
    CPPUNIT_TEST(limitsOutgrowAReport);
    CPPUNIT_TEST(sharesOfTheLoadAreReadOnlyWhenWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashesAndLimitsAreLostInTheCodec()
    {
        EntryReport report;
        report.peerAddress = "10.0.0.1:7340";
        report.crashes = {crashReport(~std::uint64_t(0), 2)};
        report.limits = {{"i-1/5", 2.5, milliseconds(300)},
                         {"i-2/5", std::nullopt, milliseconds(0)}};
        report.leaving = {"i-1/5", "i-2/5"};
        report.known = {3, 71};
        const auto decoded = decodeReport(encodeReport(report));
        CPPUNIT_ASSERT(decoded && decoded->crashes.size() == 1);
        CPPUNIT_ASSERT(decoded->leaving == report.leaving && decoded->known == report.known);
        CPPUNIT_ASSERT(decoded->limits.size() == 2 && decoded->limits[0].requestsPerSecond == 2.5
                       && decoded->limits[0].age == milliseconds(300)
                       && decoded->limits[0].incarnation == "i-1/5"
                       && !decoded->limits[1].requestsPerSecond);
        CPPUNIT_ASSERT_EQUAL(~std::uint64_t(0), decoded->crashes[0].fingerprint);
        CPPUNIT_ASSERT_EQUAL(std::string("i-20944b2661/1791239591083"),
                             decoded->crashes[0].crashes[1].id);
        CPPUNIT_ASSERT(decoded->crashes[0].crashes[1].age == milliseconds(123'456));
        CPPUNIT_ASSERT(decoded->crashes[0].sinceSuccess == milliseconds(4'000));
        CPPUNIT_ASSERT(decodeCrashReport(encodeCrashReport(report.crashes[0]))->remaining
                       == milliseconds(599'000));
        CPPUNIT_ASSERT(!decodeCrashReport("{").has_value());
    }

    // A report has room for nine records. Those of two crashes have to fit one packet of 1,500
    // bytes beside the report itself.
    void newsOfCrashesOutgrowAReport()
    {
        EntryReport report;
        report.peerAddress = "10.0.0.1:7340";
        const std::size_t empty = encodeReport(report).size();
        for (std::uint64_t number = 0; number < 9; ++number)
            report.crashes.push_back(crashReport(~number, 2));
        const std::size_t records = encodeReport(report).size() - empty;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(records), records <= 1'000);
    }

    // A report has room for 16 limits.
    void limitsOutgrowAReport()
    {
        EntryReport report;
        report.peerAddress = "10.0.0.1:7340";
        const std::size_t empty = encodeReport(report).size();
        for (std::uint64_t number = 0; number < 16; ++number)
            report.limits.push_back({"i-20944b2661/1791239591083", 1.2345, milliseconds(300)});
        const std::size_t limits = encodeReport(report).size() - empty;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limits), limits <= 700);
    }

    void sharesOfTheLoadAreReadOnlyWhenWhole()
    {
        LoadShare share;
        share.scope = LoadShare::Scope::Domain;
        share.sender = "10.0.0.1:7340";
        share.failureDomain = "north";
        share.incarnation = 1791239591083;
        share.sequence = 70'000;
        share.running = {{0x01020304, 3}, {0xfffefdfc, 70'000}};
        share.waiting = {{"s", 4}};
        const std::string bytes = encodeLoadShare(share);
        const auto decoded = decodeLoadShare(bytes);
        CPPUNIT_ASSERT(decoded && decoded->scope == share.scope && decoded->waiting == share.waiting
                       && decoded->sequence == share.sequence && decoded->running.size() == 2);
        CPPUNIT_ASSERT(decoded->running[0] == share.running[0]);
        CPPUNIT_ASSERT_EQUAL(65'535U, decoded->running[1].requests);
        CPPUNIT_ASSERT(!decodeReport(bytes) && !decodeLoadShare(encodeReport(EntryReport())));
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CPPUNIT_ASSERT(!decodeLoadShare(std::string_view(bytes).substr(0, length)));
        // A sum of 129 backend servers fits a packet.
        share.running.assign(129, {0xfffefdfc, 12});
        CPPUNIT_ASSERT(encodeLoadShare(share).size() <= 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryReportTest);

} // namespace Nutmegrill
