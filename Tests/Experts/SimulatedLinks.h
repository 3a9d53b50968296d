#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Simulates the links of instances that exchange datagrams. Each instance sends and receives at a
/// limited rate, and a link whose queue is full drops the datagram.
class SimulatedLinks
{
public:
    struct Limits
    {
        /// 0: unlimited.
        std::uint64_t bytesPerSecond = 0;
        std::size_t queueBytes = 0;
    };

    SimulatedLinks(std::uint32_t instances, const Limits &limits);

    /// Time at which the datagram has left the sender's link and passed the receiver's; nullopt if
    /// it was dropped.
    std::optional<Instant> send(Instant now, std::uint32_t from, std::uint32_t to,
                                std::size_t bytes);

    std::uint64_t sentBytes(std::uint32_t instance) const;
    std::uint64_t receivedBytes(std::uint32_t instance) const;
    std::uint64_t dropped() const { return this->drops; }

private:
    struct Link
    {
        Instant freeAt;
        std::uint64_t bytes = 0;
    };

    /// Time at which the link has transmitted the datagram; nullopt if its queue is full.
    std::optional<Instant> pass(Link &link, Instant now, std::size_t bytes);

    Limits limits;
    std::vector<Link> senders;
    std::vector<Link> receivers;
    std::uint64_t drops = 0;
};

} // namespace Nutmegrill
