#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Describes one request from the log lines of relay entries: a text line for each event in the
/// order of time, and a conclusion as last line.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId) : id(std::move(requestId)) {}

    /// Collects the lines about the request from a log. May be called for several logs.
    void read(std::istream &log);

    /// Empty when no log line names the request.
    std::vector<std::string> lines() const;

private:
    struct Line
    {
        std::string time;
        std::string process;
        std::uint32_t event = 0;
        std::string text;
    };

    static std::string describe(const Line &line);
    std::string conclusion() const;

    std::string id;
    std::vector<Line> logLines;
};

} // namespace Nutmegrill
