#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Maps the requests of one host below one path prefix to the services that answer them.
struct Route
{
    enum class Kind {
        Idempotent,    ///< may run more than once
        NonIdempotent, ///< runs at most once
        Stream         ///< answered by numbered events
    };

    struct Target
    {
        std::string service;
        std::uint32_t weight = 1;

        bool operator==(const Target &) const = default;
    };

    std::string name;
    std::string host;
    /// Begins and ends with a slash; the longest matching prefix of a host is used.
    std::string pathPrefix;
    Kind kind = Kind::NonIdempotent;
    /// Services among which the requests are split by weight.
    std::vector<Target> targets;
    /// Maximum time that a caller waits for the response.
    std::chrono::milliseconds timeout{30000};
    /// Latency objective: time to the response, or to the first event of a stream.
    std::chrono::milliseconds latencyTarget{1000};
    /// Objective for the longest pause between events of a stream. 0: none.
    std::chrono::milliseconds pauseTarget{0};
    /// Maximum number of backend servers that one request may be sent to, including the first.
    std::uint32_t maxRuns = 1;
    /// Priority, 0 is the highest.
    std::uint32_t priority = 0;
    /// Whether requests need no API key of a client account.
    bool isPublic = false;
    /// Whether an interrupted stream may resume after its last event at another backend server.
    bool isResumable = false;

    /// Whether another attempt is allowed when the outcome of the first is unknown.
    bool mayRunAgain() const
    {
        return this->kind == Kind::Idempotent || (this->kind == Kind::Stream && this->isResumable);
    }

    bool operator==(const Route &) const = default;
};

} // namespace Nutmegrill
