#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Nutmegrill {

/// What the instance list says about one backend server.
struct BackendRecord
{
    std::string id;
    std::string service;
    /// IP number and port.
    std::string address;
    std::string failureDomain;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// A planned stop has begun: it gets no new work.
    bool isLeaving = false;
    /// How much longer it bears little after its start, from the moment of the report.
    std::chrono::milliseconds coldLeft{0};
    /// Differs between two starts under the same id.
    std::uint64_t incarnation = 0;

    bool operator==(const BackendRecord &) const = default;
};

} // namespace Nutmegrill
