#include "Net/EventLog.h"
#include "Net/LogLimiter.h"

#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(linesOfASecondAreBounded);
    CPPUNIT_TEST(readerThatDoesNotReadBlocksNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of routine lines, and against warnings that it pushes out.
    void linesOfASecondAreBounded()
    {
        LogLimiter limiter;
        const Instant now{std::chrono::seconds(5)};
        std::uint32_t routine = 0;
        for (int line = 0; line < 1000; ++line)
            routine += limiter.admit(now, false) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(LogLimiter::LinesPerSecond
                                     - LogLimiter::LinesPerSecond / LogLimiter::ReservedPart,
                             routine);
        CPPUNIT_ASSERT(limiter.admit(now, true));
        CPPUNIT_ASSERT_EQUAL(0U, limiter.takeDropped());
        CPPUNIT_ASSERT(limiter.admit(now + std::chrono::seconds(1), false));
        CPPUNIT_ASSERT_EQUAL(1000 - routine, limiter.takeDropped());
    }

    // Guards against a process that stands still because nobody reads its log.
    void readerThatDoesNotReadBlocksNothing()
    {
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
        const int kept = dup(STDOUT_FILENO);
        dup2(ends[1], STDOUT_FILENO);
        EventLog::open("test");
        const LogRecord record{5001, LogRecord::Level::Warning, std::string(500, 'x')};
        const auto start = std::chrono::steady_clock::now();
        // 2,000 lines of 500 bytes are far more than a pipe holds.
        for (int line = 0; line < 2000; ++line)
            EventLog::writeBounded(Instant(std::chrono::milliseconds(100 * line)), record);
        const auto spent = std::chrono::steady_clock::now() - start;
        dup2(kept, STDOUT_FILENO);
        close(kept);
        close(ends[0]);
        close(ends[1]);
        CPPUNIT_ASSERT(spent < std::chrono::seconds(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace Nutmegrill
