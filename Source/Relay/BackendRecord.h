#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Row of the instance list for one backend server.
struct BackendRecord
{
    std::string id;
    std::string service;
    /// IP number and port.
    std::string address;
    std::string failureDomain;
    /// Requests that it can run concurrently.
    std::uint32_t slots = 1;
    /// A planned stop has begun: the backend server is draining and gets no new work.
    bool isLeaving = false;
    /// Remaining warm-up time, counted from the first receipt of this value.
    std::chrono::milliseconds coldLeft{0};
    /// Differs between two starts under the same id; higher for a later start on the same address.
    std::uint64_t incarnation = 0;

    bool operator==(const BackendRecord &) const = default;
};

} // namespace Nutmegrill
