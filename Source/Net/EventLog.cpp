#include "Net/EventLog.h"

#include "Net/LogLimiter.h"
#include "Net/NetLog.h"

#include <poll.h>
#include <unistd.h>
#include <utility>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Nutmegrill {

void EventLog::open(const std::string &process)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + process + " %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

namespace {

/// Whether a line can be written to standard output without blocking. A pipe is writable while a
/// page of its buffer is free, and lines are shorter than a page.
bool isOutputReady()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

LogLimiter &processLimiter()
{
    static LogLimiter limiter;
    return limiter;
}

} // namespace

void EventLog::setRateLimit(std::uint32_t linesPerSecond)
{
    processLimiter() = LogLimiter(linesPerSecond);
}

void EventLog::writeRateLimited(Instant now, const LogRecord &record)
{
    LogLimiter &limiter = processLimiter();
    static std::uint32_t blockedLines = 0;
    if (!limiter.admit(now, record.level != LogRecord::Level::Info))
        return;
    if (!isOutputReady()) {
        ++blockedLines;
        return;
    }
    const std::uint32_t dropped = limiter.takeDropped() + std::exchange(blockedLines, 0);
    if (dropped > 0)
        write({NetLog::LinesDropped, LogRecord::Level::Warning,
               "dropped=" + std::to_string(dropped)});
    write(record);
}

void EventLog::write(const LogRecord &record)
{
    const std::string line = "E" + std::to_string(record.number) + " " + record.text;
    switch (record.level) {
    case LogRecord::Level::Info:
        LOG(INFO) << line;
        return;
    case LogRecord::Level::Warning:
        LOG(WARNING) << line;
        return;
    case LogRecord::Level::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace Nutmegrill
