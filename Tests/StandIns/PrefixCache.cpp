#include "StandIns/PrefixCache.h"
#include "Core/Hash.h"

#include <cstdlib>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

// Returns the hash of the prompt up to the end of each whole block.
std::vector<std::uint64_t> blockHashes(const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t words = 0;
    for (std::size_t at = 1; at <= prompt.size(); ++at) {
        const bool ends = prompt[at - 1] != ' ' && (at == prompt.size() || prompt[at] == ' ');
        if (ends && ++words % PrefixCache::BlockTokens == 0)
            hashes.push_back(hash64(std::string_view(prompt).substr(0, at)));
    }
    return hashes;
}

} // namespace

void PrefixCache::clear(Instant now)
{
    this->lruOrder.clear();
    this->blocks.clear();
    this->publish("cleared", 0, now);
}

std::uint64_t PrefixCache::lookUp(const std::string &prompt, Instant)
{
    std::uint64_t tokens = 0;
    for (const std::uint64_t block : blockHashes(prompt)) {
        if (this->blocks.count(block) == 0)
            break;
        this->touch(block);
        tokens += BlockTokens;
    }
    return tokens;
}

void PrefixCache::insert(const std::string &prompt, Instant now)
{
    for (const std::uint64_t block : blockHashes(prompt)) {
        if (this->blocks.count(block) == 0) {
            this->blocks[block] = this->lruOrder.insert(this->lruOrder.begin(), block);
            this->publish("stored", block, now);
        }
        this->touch(block);
    }
    while (static_cast<std::int64_t>(this->blocks.size() * BlockTokens)
           > this->settings.capacityTokens) {
        this->publish("evicted", this->lruOrder.back(), now);
        this->blocks.erase(this->lruOrder.back());
        this->lruOrder.pop_back();
    }
}

void PrefixCache::touch(std::uint64_t block)
{
    this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, this->blocks.at(block));
}

void PrefixCache::publish(const char *kind, std::uint64_t block, Instant now)
{
    static constexpr std::size_t KeptEvents = 10000;
    const std::uint64_t number = this->nextEvent++;
    if (this->settings.dropInterval > 0
        && number % static_cast<std::uint64_t>(this->settings.dropInterval) == 0)
        return;
    this->publishedEvents.push_back({number, now, kind, block});
    if (this->publishedEvents.size() > KeptEvents)
        this->publishedEvents.pop_front();
}

nlohmann::json PrefixCache::events(const std::string &query, const std::string &incarnation,
                                   Instant now) const
{
    const std::size_t at = query.find("from=");
    const std::uint64_t from =
            at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + 5, nullptr, 10);
    nlohmann::json rows = nlohmann::json::array();
    for (const Event &event : this->publishedEvents) {
        if (event.number >= from && event.time + this->settings.eventLag <= now)
            rows.push_back({{"number", event.number},
                            {"kind", event.kind},
                            {"block", std::to_string(event.block)}});
    }
    return {{"incarnation", incarnation}, {"events", rows}};
}

} // namespace Nutmegrill
