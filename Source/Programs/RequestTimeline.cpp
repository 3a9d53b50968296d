#include "Programs/RequestTimeline.h"

#include "Relay/RelayLog.h"

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace Nutmegrill {

namespace {

/// Value of `name=value` or `name="value"` in the text of a log line; empty when it is absent.
std::string fieldOf(const std::string &text, const std::string &name)
{
    const std::string key = " " + name + "=";
    const auto at = (" " + text).find(key);
    if (at == std::string::npos)
        return {};
    std::size_t begin = at + key.size() - 1;
    const char end = begin < text.size() && text[begin] == '"' ? '"' : ' ';
    begin += end == '"' ? 1 : 0;
    return text.substr(begin, text.find(end, begin) - begin);
}

std::string describeSend(const std::string &text)
{
    return "sent to " + fieldOf(text, "backend") + " of service " + fieldOf(text, "service")
           + " (send " + fieldOf(text, "send") + ", after " + fieldOf(text, "waited_ms")
           + " ms, with " + fieldOf(text, "left_ms") + " ms left; " + fieldOf(text, "running_here")
           + " requests of this entry and " + fieldOf(text, "running_elsewhere")
           + " of others ran there; configuration " + fieldOf(text, "config") + ")";
}

std::string describeFailure(const std::string &text)
{
    const std::string last = fieldOf(text, "last_event");
    return "the attempt failed: " + fieldOf(text, "why") + "; "
           + (last == "none" ? "the caller has no event"
                             : "the caller has the events up to " + last)
           + ", " + fieldOf(text, "left_ms") + " ms left";
}

std::string describeAnswer(const std::string &text)
{
    return "answered (" + fieldOf(text, "how") + ") after " + fieldOf(text, "total_ms") + " ms and "
           + fieldOf(text, "sends") + " sends";
}

std::string describeRefusal(const std::string &text)
{
    const std::string retryAfter = fieldOf(text, "retry_after_ms");
    return "refused with " + fieldOf(text, "status") + ": " + fieldOf(text, "reason")
           + (retryAfter == "0" ? "" : "; told to retry after " + retryAfter + " ms");
}

std::string describeCut(const std::string &text)
{
    return "the stream was cut: " + fieldOf(text, "why") + "; the caller has the events up to "
           + fieldOf(text, "last_event");
}

std::string describeLeave(const std::string &text)
{
    return "the caller left after " + fieldOf(text, "after_ms") + " ms, while its request was "
           + fieldOf(text, "state");
}

struct EventDescription
{
    std::uint32_t event;
    std::string (*describe)(const std::string &text);
};

constexpr EventDescription EventDescriptions[] = {
        {RelayLog::AttemptStarted, describeSend}, {RelayLog::AttemptFailed, describeFailure},
        {RelayLog::Answered, describeAnswer},     {RelayLog::Refused, describeRefusal},
        {RelayLog::StreamCut, describeCut},       {RelayLog::CallerLeft, describeLeave}};

} // namespace

void RequestTimeline::read(std::istream &log)
{
    for (std::string logLine; std::getline(log, logLine);) {
        std::istringstream words(logLine);
        Line line;
        std::string level;
        std::string event;
        if (!(words >> line.time >> level >> line.process >> event) || event.size() < 2
            || event.front() != 'E' || event.find_first_not_of("0123456789", 1) != std::string::npos
            || event.size() > 6)
            continue;
        line.event = static_cast<std::uint32_t>(std::stoul(event.substr(1)));
        std::getline(words >> std::ws, line.text);
        if (fieldOf(line.text, "request") == this->id)
            this->logLines.push_back(std::move(line));
    }
    std::stable_sort(this->logLines.begin(), this->logLines.end(),
                     [](const Line &left, const Line &right) { return left.time < right.time; });
}

std::string RequestTimeline::describe(const Line &line)
{
    for (const EventDescription &description : EventDescriptions) {
        if (description.event == line.event)
            return description.describe(line.text);
    }
    return line.text;
}

std::string RequestTimeline::conclusion() const
{
    const auto contains = [this](std::uint32_t event) {
        return std::any_of(this->logLines.begin(), this->logLines.end(),
                           [event](const Line &line) { return line.event == event; });
    };
    const Line &last = this->logLines.back();
    const std::string status = fieldOf(last.text, "status");
    switch (last.event) {
    case RelayLog::Answered:
        return contains(RelayLog::AttemptFailed) ? "served after a failed attempt" : "served";
    case RelayLog::StreamCut:
        return "the caller got a part of its stream; see the attempts for the backend servers";
    case RelayLog::CallerLeft:
        return "the caller did not wait for the end";
    case RelayLog::Refused:
        if (!contains(RelayLog::AttemptStarted))
            return "never sent to a backend server, so it has not run";
        if (status == "503")
            return "every backend server stated that it did not run it";
        return "the outcome is unknown: the backend server of the last send may have run it";
    default:
        return "no final line: the request is still open, or its last lines are in another log or "
               "were left out (E5040)";
    }
}

std::vector<std::string> RequestTimeline::lines() const
{
    std::vector<std::string> all;
    if (this->logLines.empty())
        return all;
    for (const Line &line : this->logLines)
        all.push_back(line.time + " " + line.process + ": " + describe(line));
    all.push_back("Conclusion: " + this->conclusion() + ".");
    return all;
}

} // namespace Nutmegrill
