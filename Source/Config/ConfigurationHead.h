#pragma once

#include "Config/Configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Value of the head key: the current version and the hashes of the chunks of its document.
struct ConfigurationHead
{
    static constexpr std::string_view Key = "nutmegrill/config/head";
    static constexpr std::string_view ChunkPrefix = "nutmegrill/config/chunk/";
    /// The store limits values to 1 MB; a chunk of this size stays below it in base64.
    static constexpr std::size_t MaxChunkBytes = 512U * 1024U;
    /// At 1,600 changes a day this covers about an hour, far longer than a publisher waits for a
    /// lost answer.
    static constexpr std::size_t MaxPreviousChanges = 64;

    /// Previous versions whose chunks are kept for readers of an older head. Without deletion,
    /// 1,600 changes a day of some 200 KB would add 320 MB a day to the store.
    static constexpr std::size_t MaxPreviousChunkLists = 4;

    std::uint64_t version = 0;
    /// SHA-256 of the document.
    std::string digest;
    /// SHA-256 of each chunk, in order.
    std::vector<std::string> chunks;
    std::string changeId;
    std::string author;
    /// Change ids of the previous versions, newest first.
    std::vector<std::string> previousChangeIds;
    /// Chunk hashes of the previous versions, newest first.
    std::vector<std::vector<std::string>> previousChunks;

    bool operator==(const ConfigurationHead &) const = default;

    /// Change id of \a otherVersion; nullopt when the version is newer than this head or too old to
    /// be listed.
    std::optional<std::string> changeIdOf(std::uint64_t otherVersion) const;

    /// Whether the head references the chunk, for its version or for a listed previous one.
    bool needsChunk(const std::string &hash) const;

    /// Version that the change created; nullopt when it is neither this version nor a listed
    /// previous one.
    std::optional<std::uint64_t> versionOf(std::string_view change) const;
};

std::string encodeHead(const ConfigurationHead &head);

/// Returns nullopt for malformed text and for a head without version, digest or chunks.
std::optional<ConfigurationHead> decodeHead(std::string_view text);

/// Hash and text of one chunk.
using ConfigurationChunk = std::pair<std::string, std::string>;

std::string chunkKey(std::string_view hash);

std::vector<ConfigurationChunk> splitDocument(std::string_view document);

/// Assembles the configuration of \a head from the chunk texts by hash. Returns nullopt when a
/// chunk is missing, the digest differs or the document has another version.
std::optional<Configuration> joinChunks(const ConfigurationHead &head,
                                        const std::map<std::string, std::string> &chunks);

} // namespace Nutmegrill
