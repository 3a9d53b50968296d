#pragma once

#include "Core/Time.h"
#include "Relay/SlidingWindowCounter.h"

#include <cstdint>
#include <optional>

namespace Nutmegrill {

/// Limit that a backend server names on the requests per second of all entries together, and the
/// requests of this entry that count against it.
class NamedLimit
{
public:
    NamedLimit();

    /// The backend server stated a limit, or that it has none, at \a at. Older statements than the
    /// last one are ignored. Returns whether the limit changed.
    bool observe(Instant at, std::optional<double> requestsPerSecond);

    std::optional<double> requestsPerSecond() const { return this->limit; }
    /// Time of the last statement.
    Instant observedAt() const { return this->statedAt; }

    /// Requests of all entries together within the window; at least one, because only an answer
    /// tells that the limit has ended.
    std::uint32_t requestsPerWindow() const;

    void recordSent(Instant now) { this->sent.add(now); }
    /// Whether this entry has sent fewer than \a share requests within the window.
    bool hasCapacity(Instant now, std::uint32_t share) { return this->sent.count(now) < share; }

private:
    std::optional<double> limit;
    Instant statedAt;
    SlidingWindowCounter sent;
};

} // namespace Nutmegrill
