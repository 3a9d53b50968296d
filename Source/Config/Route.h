#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Requests of one host below one path prefix, and the services that answer them.
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
    /// Begins and ends with a slash; the longest prefix of a host decides.
    std::string pathPrefix;
    Kind kind = Kind::NonIdempotent;
    /// Services with their shares of the requests.
    std::vector<Target> targets;
    /// A caller is kept waiting no longer than this.
    std::chrono::milliseconds timeout{30000};
    /// Time to the response (streams: to the first event) that callers are meant to see.
    std::chrono::milliseconds latencyTarget{1000};
    /// Longest pause between events that callers are meant to see. 0: none is stated.
    std::chrono::milliseconds pauseTarget{0};
    /// Backend servers that one request may be sent to, the first included.
    std::uint32_t maxRuns = 1;
    /// Urgency, 0 first.
    std::uint32_t priority = 0;
    /// Needs no key of a client account.
    bool isPublic = false;
    /// A stream that broke off may go on at another backend server after its last event.
    bool isResumable = false;

    /// Whether a second run is allowed when the outcome of the first is not known.
    bool mayRunAgain() const
    {
        return this->kind == Kind::Idempotent || (this->kind == Kind::Stream && this->isResumable);
    }

    bool operator==(const Route &) const = default;
};

} // namespace Nutmegrill
