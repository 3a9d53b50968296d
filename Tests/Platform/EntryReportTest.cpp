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
    CPPUNIT_TEST(crashReportsAreLostInTheCodec);
    CPPUNIT_TEST(newsOfCrashesOutgrowAReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashReportsAreLostInTheCodec()
    {
        EntryReport report;
        report.peerAddress = "10.0.0.1:7340";
        report.crashes = {crashReport(~std::uint64_t(0), 2)};
        const auto decoded = decodeReport(encodeReport(report));
        CPPUNIT_ASSERT(decoded && decoded->crashes.size() == 1);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryReportTest);

} // namespace Nutmegrill
