#pragma once

#include "Core/LogRecord.h"
#include "Core/Time.h"

#include <string>

namespace Nutmegrill {

/// Writes numbered log events to standard output. The events are listed in docs/events.md.
class EventLog
{
public:
    /// Configures the log; has to be called once before the first write(). \a process appears in
    /// each line.
    static void open(const std::string &process);

    /// Sets the limit on lines per second of writeRateLimited(); 0 disables output.
    static void setRateLimit(std::uint32_t linesPerSecond);

    static void write(const LogRecord &record);

    /// Writes a line unless the rate limit is exceeded or standard output would block. Dropped
    /// lines are counted and reported with a later line.
    static void writeRateLimited(Instant now, const LogRecord &record);
};

} // namespace Nutmegrill
