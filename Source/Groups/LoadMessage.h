#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Query of an owner for the expert load of a rank, and the reply. Both are sent as documents of
/// PeerMessage::MapData beside those of MapMessage.
struct LoadMessage
{
    /// Tokens per step that the rank measured, indexed by layer and expert.
    using Tokens = std::vector<std::vector<double>>;

    /// Absent in the query.
    std::optional<Tokens> tokens;

    std::string encode() const;

    /// Nullopt when \a document is no load message.
    static std::optional<LoadMessage> decode(std::string_view document);
};

} // namespace Nutmegrill
