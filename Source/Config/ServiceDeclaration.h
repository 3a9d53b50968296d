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

    /// One kind of call of a plain service; the longest matching path prefix decides.
    struct Call
    {
        std::string method;
        std::string pathPrefix;
        bool idempotent = false;

        bool operator==(const Call &) const = default;
    };

    std::string name;
    Kind kind = Kind::Plain;
    /// Name under which callers ask for the model; empty for plain services.
    std::string model;
    std::vector<std::string> failureDomains;
    /// Requests that one backend server bears at once when warm, and during a cold start.
    std::uint32_t warmRequests = 16;
    std::uint32_t coldRequests = 2;
    /// How long a cold start lasts at least, in seconds. The cold limit holds that long before it
    /// widens, however even the token intervals are.
    std::uint32_t coldSeconds = 0;
    /// KV-cache bytes of one backend server, and bytes per token at the end of an answer. 0: no
    /// limit.
    std::uint64_t kvBytes = 0;
    std::uint64_t kvBytesPerToken = 0;
    /// Whether the backend servers check the sender and the fencing number of an order. Where they
    /// do not, the agent does it in front of them.
    bool checksSender = false;
    bool checksFencing = false;
    std::vector<Call> calls;
    /// Connections that one backend server accepts from all callers together. 0: no limit.
    std::uint32_t maxConnections = 0;
    /// Requests a second that one backend server bears during a cold start. 0: no limit.
    double coldRequestsPerSecond = 0;
    /// Experts of a model whose ranks change maps by themselves.
    ExpertProfile experts;

    bool operator==(const ServiceDeclaration &) const = default;
};

} // namespace Nutmegrill
