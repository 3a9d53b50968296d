#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// What the log lines of relaying entries say about one request, in readable lines, the last of
/// them a conclusion.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId) : id(std::move(requestId)) {}

    /// Takes the lines about the request from a log; several logs may be read one after the other.
    void read(std::istream &log);

    /// Empty when no line names the request.
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
    std::vector<Line> found;
};

} // namespace Nutmegrill
