#pragma once

#include "Entry/RequestTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Continues a broken model stream with the text that the caller already has.
class Continuation
{
public:
    /// One server-sent event of an engine.
    struct Part
    {
        std::string text;
        /// The answer ends with or before this event.
        bool finished = false;
        /// It is the "[DONE]" event.
        bool done = false;
        bool understood = false;
    };

    static Part read(std::string_view data);

    /// Whether the body asks for an answer that is the same each time: greedy decoding or a seed.
    static bool isRepeatable(const std::string &body);

    /// The request with prompt plus text so far and a lower token limit; nullopt when the body is
    /// not of a known form.
    static std::optional<WorkMessage::Request> next(const RequestTable::Row &row);
};

} // namespace Nutmegrill
