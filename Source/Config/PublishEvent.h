#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Nutmegrill {

/// Answers of the store to the commands of ConfigurationPublisher, one for each command.
class PublishEvent
{
public:
    struct HeadRead
    {
        /// Revision of the last write of the key; 0 when it is absent.
        std::uint64_t revision = 0;
        std::optional<std::string> head;
    };

    struct ChunkRead
    {
        std::string hash;
        std::optional<std::string> text;
    };

    struct ChunkWritten
    {
        std::string hash;
    };

    struct SwapAnswered
    {
        bool swapped = false;
    };

    /// The request was sent but its answer was lost; the store may have executed it or may still
    /// do so.
    struct AnswerLost
    {};

    /// The request definitely did not reach the store.
    struct StoreUnreachable
    {};

    using Any = std::variant<HeadRead, ChunkRead, ChunkWritten, SwapAnswered, AnswerLost,
                             StoreUnreachable>;
};

} // namespace Nutmegrill
