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
    /// Content of one server-sent event of an engine.
    struct Part
    {
        std::string text;
        /// The generated text is complete with or before this event.
        bool finished = false;
        /// This is the "[DONE]" event.
        bool done = false;
        /// The event has a known form.
        bool understood = false;
    };

    static Part read(std::string_view data);

    /// Whether the body requests a reproducible answer, by greedy decoding or a seed.
    static bool isReproducible(const std::string &body);

    /// Returns the request with the generated text appended to the prompt and a lower token limit;
    /// nullopt when the body has an unknown form.
    static std::optional<WorkMessage::Request> next(const RequestTable::Row &row);
};

} // namespace Nutmegrill
