#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Question of an owner for the expert load of a rank, and its answer. Both travel as documents of
/// PeerMessage::MapData beside those of MapMessage.
struct LoadMessage
{
    /// tokens[layer][expert] per step, as the rank sees them.
    using Tokens = std::vector<std::vector<double>>;

    /// Without tokens the message is the question.
    std::optional<Tokens> tokens;

    std::string encode() const;

    /// Nullopt when \a document is no load message.
    static std::optional<LoadMessage> decode(std::string_view document);
};

} // namespace Nutmegrill
