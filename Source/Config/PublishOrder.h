#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Why a change was not published. Nothing was changed in the store.
enum class PublishError {
    StoreUnreachable,
    /// The head, a chunk or the digest does not fit; publishing over it could lose changes.
    StoredConfigurationDamaged,
    UnknownFailureDomain,
    EpochExhausted,
    /// Other changes won every attempt.
    TooManyAttempts
};

/// What ConfigurationPublisher wants done. Done, Conflict, Failed and OutcomeUnknown end it; each
/// other order is answered by one PublishEvent before the next order comes.
class PublishOrder
{
public:
    struct ReadHead
    {};

    struct ReadChunk
    {
        std::string hash;
    };

    /// Unconditional write; a repeat writes the same bytes.
    struct WriteChunk
    {
        std::string hash;
        std::string text;
    };

    /// Writes the head if its revision is still \a expectedRevision (0: absent).
    struct SwapHead
    {
        std::uint64_t expectedRevision = 0;
        std::string head;
        /// Chunks to delete in the same transaction. A separate request that arrives late could
        /// delete a chunk that a later version has written again.
        std::vector<std::string> retiredChunks;
    };

    struct Done
    {
        std::uint64_t version = 0;
        /// Whether this change made a new version; false when the store already was as wanted.
        bool changed = false;
    };

    /// Another change came first.
    struct Conflict
    {
        std::uint64_t version = 0;
        std::string changeId;
        std::string author;
    };

    struct Failed
    {
        PublishError error = PublishError::StoreUnreachable;
        std::string text;
    };

    /// The change may or may not be in the store. Running it again with the same change id is safe
    /// and tells, unless more than the remembered number of changes came since.
    struct OutcomeUnknown
    {
        std::string changeId;
        std::string text;
    };

    using Any = std::variant<ReadHead, ReadChunk, WriteChunk, SwapHead, Done, Conflict, Failed,
                             OutcomeUnknown>;
    using List = std::vector<Any>;
};

} // namespace Nutmegrill
