#pragma once

#include "Relay/StreamEvent.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Splits a text/event-stream into complete events. Buffers an incomplete event until its end
/// arrives, so that a broken stream never forwards a partial event.
class EventStreamReader
{
public:
    void add(std::string_view data) { this->buffer.append(data); }

    /// The next complete event; nullopt if there is none yet.
    std::optional<StreamEvent> next();

    /// True if bytes of an incomplete event are buffered. Line ends alone belong to none.
    bool hasPartialEvent() const
    {
        return this->buffer.find_first_not_of("\r\n") != std::string::npos;
    }
    std::size_t bufferedBytes() const { return this->buffer.size(); }

private:
    std::string buffer;
};

} // namespace Nutmegrill
