#pragma once

#include "Core/LogRecord.h"

#include <string>

namespace Nutmegrill {

/// Writes numbered log events to standard output; docs/events.md is their catalogue.
class EventLog
{
public:
    /// Call once before the first write(). \a process is part of each line.
    static void open(const std::string &process);

    static void write(const LogRecord &record);
};

} // namespace Nutmegrill
