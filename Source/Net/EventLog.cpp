#include "Net/EventLog.h"

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
