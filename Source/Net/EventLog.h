#pragma once

#include "Core/LogRecord.h"
#include "Core/Time.h"

#include <string>

namespace Nutmegrill {

/// Writes numbered log events to standard output; docs/events.md is their catalogue.
class EventLog
{
public:
    /// Call once before the first write(). \a process is part of each line.
    static void open(const std::string &process);

    /// Lines a second of writeBounded(); 0 writes none.
    static void setRate(std::uint32_t linesPerSecond);

    static void write(const LogRecord &record);

    /// Writes within the limit of lines a second. A reader that does not read never blocks the
    /// process: lines that standard output does not take are dropped and counted.
    static void writeBounded(Instant now, const LogRecord &record);
};

} // namespace Nutmegrill
