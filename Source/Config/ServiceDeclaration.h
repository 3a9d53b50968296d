#pragma once

#include "Config/ExpertProfile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A group of backend servers that answer the same calls.
struct ServiceDeclaration
{
    enum class Kind {
        Model, ///< an engine with OpenAI-style completions
        Plain  ///< an HTTP service
    };

    /// Calls of a plain service with one method and path prefix; the longest matching prefix is
    /// used.
    struct Call
    {
        std::string method;
        std::string pathPrefix;
        bool idempotent = false;

        bool operator==(const Call &) const = default;
    };

    std::string name;
    Kind kind = Kind::Plain;
    /// Model name in the requests of callers; empty for plain services.
    std::string model;
    std::vector<std::string> failureDomains;
    /// Concurrent requests of one backend server when warm, and during a cold start.
    std::uint32_t warmRequests = 16;
    std::uint32_t coldRequests = 2;
    /// Minimum duration of a cold start in seconds. The cold limit is not raised before, even if
    /// the token intervals are already steady.
    std::uint32_t coldSeconds = 0;
    /// KV-cache bytes of one backend server, and bytes per token at the end of an answer. 0: no
    /// limit.
    std::uint64_t kvBytes = 0;
    std::uint64_t kvBytesPerToken = 0;
    /// Whether the backend servers check the sender and the fencing token of a command. Where they
    /// do not, the agent in front of them does.
    bool checksSender = false;
    bool checksFencing = false;
    std::vector<Call> calls;
    /// Connections that one backend server accepts from all callers together. 0: no limit.
    std::uint32_t maxConnections = 0;
    /// Requests per second of one backend server during a cold start. 0: no limit.
    double coldRequestsPerSecond = 0;
    /// Experts of a model whose ranks change expert maps on their own.
    ExpertProfile experts;

    bool operator==(const ServiceDeclaration &) const = default;
};

} // namespace Nutmegrill
