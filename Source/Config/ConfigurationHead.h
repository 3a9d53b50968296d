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

/// Value of the head key: names the accepted version and the chunks that hold its document.
struct ConfigurationHead
{
    static constexpr std::string_view Key = "nutmegrill/config/head";
    static constexpr std::string_view ChunkPrefix = "nutmegrill/config/chunk/";
    /// Values of the store are limited to 1 MB; JSON base64 of this size stays below it.
    static constexpr std::size_t MaxChunkBytes = 512U * 1024U;
    /// At 1,600 changes a day this covers about an hour, far longer than a publisher waits for a
    /// lost answer.
    static constexpr std::size_t MaxPreviousChanges = 64;

    /// Superseded versions whose chunks stay for readers that hold an older head. Without removal
    /// 1,600 changes a day of some 200 KB would add 320 MB a day to the store.
    static constexpr std::size_t MaxPreviousChunkLists = 4;

    std::uint64_t version = 0;
    /// SHA-256 of the document.
    std::string digest;
    /// SHA-256 of each chunk, in order.
    std::vector<std::string> chunks;
    std::string changeId;
    std::string author;
    /// Change ids of the versions before, newest first.
    std::vector<std::string> previousChangeIds;
    /// Chunks of the versions before, newest first.
    std::vector<std::vector<std::string>> previousChunks;

    bool operator==(const ConfigurationHead &) const = default;

    /// Change id of \a otherVersion; nullopt when this head no longer knows or does not know yet.
    std::optional<std::string> changeIdOf(std::uint64_t otherVersion) const;

    /// Whether this version or one of the remembered ones before it needs the chunk.
    bool needsChunk(const std::string &hash) const;

    /// Whether the change is this one or one of the remembered ones before it, with its version.
    std::optional<std::uint64_t> versionOf(std::string_view change) const;
};

std::string encodeHead(const ConfigurationHead &head);

/// Malformed text, and a head without version, digest or chunks, give nullopt.
std::optional<ConfigurationHead> decodeHead(std::string_view text);

/// Hash and text of one chunk.
using ConfigurationChunk = std::pair<std::string, std::string>;

std::string chunkKey(std::string_view hash);

std::vector<ConfigurationChunk> splitDocument(std::string_view document);

/// The configuration that \a head names, from chunk texts by hash. A missing chunk, a wrong digest
/// or a document of another version gives nullopt.
std::optional<Configuration> joinChunks(const ConfigurationHead &head,
                                        const std::map<std::string, std::string> &chunks);

} // namespace Nutmegrill
