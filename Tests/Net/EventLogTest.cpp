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
    CPPUNIT_TEST(linesPerSecondAreLimited);
    CPPUNIT_TEST(blockedOutputDoesNotBlockTheProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of routine log lines, and against warnings that it displaces.
    void linesPerSecondAreLimited()
    {
        LogLimiter limiter;
        const Instant now{std::chrono::seconds(5)};
        std::uint32_t routine = 0;
        for (int line = 0; line < 1000; ++line)
            routine += limiter.admit(now, false) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(LogLimiter::DefaultLinesPerSecond
                                     - LogLimiter::DefaultLinesPerSecond
                                               / LogLimiter::UrgentReserveDivisor,
                             routine);
        CPPUNIT_ASSERT(limiter.admit(now, true));
        CPPUNIT_ASSERT_EQUAL(0U, limiter.takeDropped());
        CPPUNIT_ASSERT(limiter.admit(now + std::chrono::seconds(1), false));
        CPPUNIT_ASSERT_EQUAL(1000 - routine, limiter.takeDropped());
    }

    // Guards against a process that blocks because the reader of its log pipe does not read.
    void blockedOutputDoesNotBlockTheProcess()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(pipeEnds));
        const int savedOutput = dup(STDOUT_FILENO);
        dup2(pipeEnds[1], STDOUT_FILENO);
        EventLog::open("test");
        const LogRecord record{5001, LogRecord::Level::Warning, std::string(500, 'x')};
        const auto start = std::chrono::steady_clock::now();
        // 2,000 lines of 500 bytes exceed the capacity of a pipe by far.
        for (int line = 0; line < 2000; ++line)
            EventLog::writeRateLimited(Instant(std::chrono::milliseconds(100 * line)), record);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        dup2(savedOutput, STDOUT_FILENO);
        close(savedOutput);
        close(pipeEnds[0]);
        close(pipeEnds[1]);
        CPPUNIT_ASSERT(elapsed < std::chrono::seconds(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace Nutmegrill
