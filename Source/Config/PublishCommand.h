#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Why a change was not published. Nothing was changed in the store.
enum class PublishError {
    StoreUnreachable,
    /// The head, a chunk or the digest is missing, malformed or inconsistent; overwriting it could
    /// lose changes.
    StoredConfigurationDamaged,
    UnknownFailureDomain,
    EpochExhausted,
    /// Concurrent changes won the compare-and-swap every time.
    TooManyAttempts
};

/// Commands of ConfigurationPublisher to the I/O layer. Done, Conflict, Failed and OutcomeUnknown
/// end the publication; every other command is answered by one PublishEvent before the next
/// command is issued.
class PublishCommand
{
public:
    struct ReadHead
    {};

    struct ReadChunk
    {
        std::string hash;
    };

    /// Unconditional, idempotent write.
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
        /// Whether the change created a new version; false when the store already had this state.
        bool changed = false;
    };

    /// Another change was published first.
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

    /// The change may or may not be in the store. Publishing it again with the same change id is
    /// safe and resolves the outcome, unless more than ConfigurationHead::MaxPreviousChanges other
    /// changes have been published since.
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
