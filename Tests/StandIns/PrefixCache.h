#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

/// Prompt-prefix cache of the stand-in engine. A block is 16 words and is identified by the hash of
/// the prompt up to its end. The least recently used block is evicted first.
class PrefixCache
{
public:
    static constexpr std::uint64_t BlockTokens = 16;

    struct Settings
    {
        std::int64_t capacityTokens = 0;
        std::chrono::milliseconds eventLag{0};
        /// Every Nth event is dropped, leaving a gap in the sequence numbers; 0 drops none.
        std::int64_t dropInterval = 0;
    };

    void configure(const Settings &settings) { this->settings = settings; }
    void clear(Instant now);

    /// Returns the number of leading tokens of \a prompt that are cached and need no prefill.
    std::uint64_t lookUp(const std::string &prompt, Instant now);
    /// Caches the whole blocks of \a prompt and evicts blocks beyond the capacity.
    void insert(const std::string &prompt, Instant now);

    /// Answer of GET /cache-events; the query `from=N` skips events with a lower sequence number.
    nlohmann::json events(const std::string &query, const std::string &incarnation,
                          Instant now) const;

private:
    struct Event
    {
        std::uint64_t number = 0;
        Instant time;
        const char *kind = "";
        std::uint64_t block = 0;
    };

    void publish(const char *kind, std::uint64_t block, Instant now);
    void touch(std::uint64_t block);

    Settings settings;
    std::list<std::uint64_t> lruOrder;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
    std::deque<Event> publishedEvents;
    std::uint64_t nextEvent = 1;
};

} // namespace Nutmegrill
