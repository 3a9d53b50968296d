#include "RelayShell/EventStreamReader.h"

#include <algorithm>
#include <charconv>

namespace Nutmegrill {

namespace {

std::optional<std::uint64_t> eventId(std::string_view event)
{
    static constexpr std::string_view Field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.substr(0, Field.size()) == Field) {
            line.remove_prefix(Field.size());
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                return id;
            return std::nullopt;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventStreamReader::next()
{
    const auto lfEnd = this->buffer.find("\n\n");
    const auto crlfEnd = this->buffer.find("\r\n\r\n");
    std::size_t length = 0;
    if (lfEnd != std::string::npos)
        length = lfEnd + 2;
    if (crlfEnd != std::string::npos && (length == 0 || crlfEnd + 4 < length))
        length = crlfEnd + 4;
    if (length == 0)
        return std::nullopt;
    StreamEvent event{std::nullopt, this->buffer.substr(0, length)};
    event.id = eventId(event.bytes);
    this->buffer.erase(0, length);
    return event;
}

} // namespace Nutmegrill
