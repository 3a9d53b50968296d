#include "Config/ConfigurationHead.h"

#include "Config/ConfigurationCodec.h"
#include "Core/Hash.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigurationHead, version, digest, chunks,
                                                changeId, author, previousChangeIds, previousChunks)

std::optional<std::string> ConfigurationHead::changeIdOf(std::uint64_t otherVersion) const
{
    if (otherVersion == this->version)
        return this->changeId;
    if (otherVersion > this->version
        || this->version - otherVersion > this->previousChangeIds.size())
        return std::nullopt;
    return this->previousChangeIds[this->version - otherVersion - 1];
}

bool ConfigurationHead::needsChunk(const std::string &hash) const
{
    const auto holds = [&hash](const std::vector<std::string> &list) {
        return std::find(list.begin(), list.end(), hash) != list.end();
    };
    return holds(this->chunks)
           || std::any_of(this->previousChunks.begin(), this->previousChunks.end(), holds);
}

std::optional<std::uint64_t> ConfigurationHead::versionOf(std::string_view change) const
{
    if (change == this->changeId)
        return this->version;
    const auto &previous = this->previousChangeIds;
    const auto found = std::find(previous.begin(), previous.end(), change);
    if (found == previous.end())
        return std::nullopt;
    return this->version - 1 - static_cast<std::uint64_t>(found - previous.begin());
}

std::string encodeHead(const ConfigurationHead &head)
{
    return nlohmann::json(head).dump();
}

std::optional<ConfigurationHead> decodeHead(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        auto head = document.get<ConfigurationHead>();
        const bool complete = head.version > head.previousChangeIds.size() && !head.digest.empty()
                              && !head.chunks.empty();
        return complete ? std::optional(std::move(head)) : std::nullopt;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string chunkKey(std::string_view hash)
{
    return std::string(ConfigurationHead::ChunkPrefix) + std::string(hash);
}

std::vector<ConfigurationChunk> splitDocument(std::string_view document)
{
    std::vector<ConfigurationChunk> chunks;
    for (std::size_t start = 0; start < document.size();
         start += ConfigurationHead::MaxChunkBytes) {
        const auto part = document.substr(start, ConfigurationHead::MaxChunkBytes);
        chunks.emplace_back(sha256Hex(part), part);
    }
    return chunks;
}

std::optional<Configuration> joinChunks(const ConfigurationHead &head,
                                        const std::map<std::string, std::string> &chunks)
{
    std::string document;
    for (const std::string &hash : head.chunks) {
        const auto found = chunks.find(hash);
        if (found == chunks.end())
            return std::nullopt;
        document += found->second;
    }
    if (sha256Hex(document) != head.digest)
        return std::nullopt;
    auto configuration = decodeConfiguration(document);
    if (configuration.has_value() && configuration->version != head.version)
        return std::nullopt;
    return configuration;
}

} // namespace Nutmegrill
