#pragma once

#include "Relay/StreamEvent.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Splits a text/event-stream into whole events. Bytes after the last whole event are kept until
/// the event is complete, so that a broken stream never passes a part of an event on.
class EventStreamReader
{
public:
    void add(std::string_view data) { this->buffer.append(data); }

    /// The next whole event; nullopt when there is none yet.
    std::optional<StreamEvent> next();

    /// The stream stopped in the middle of an event.
    bool hasPartialEvent() const { return !this->buffer.empty(); }
    std::size_t bufferedBytes() const { return this->buffer.size(); }

private:
    std::string buffer;
};

} // namespace Nutmegrill
