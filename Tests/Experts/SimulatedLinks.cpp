#include "SimulatedLinks.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

/// Headers of IP and UDP.
constexpr std::size_t HeaderBytes = 28;

} // namespace

SimulatedLinks::SimulatedLinks(std::uint32_t instances, const Limits &limits)
    : limits(limits), senders(instances), receivers(instances)
{}

std::optional<Instant> SimulatedLinks::pass(Link &link, Instant now, std::size_t bytes)
{
    link.bytes += bytes;
    if (this->limits.bytesPerSecond == 0)
        return now;
    const auto timeOf = [this](std::size_t size) {
        return std::chrono::microseconds(size * 1000000 / this->limits.bytesPerSecond);
    };
    const Instant start = std::max(link.freeAt, now);
    if (start - now > timeOf(this->limits.queueBytes)) {
        ++this->drops;
        return std::nullopt;
    }
    link.freeAt = start + timeOf(bytes);
    return link.freeAt;
}

std::optional<Instant> SimulatedLinks::send(Instant now, std::uint32_t from, std::uint32_t to,
                                            std::size_t bytes)
{
    const auto left = this->pass(this->senders[from], now, bytes + HeaderBytes);
    return left ? this->pass(this->receivers[to], *left, bytes + HeaderBytes) : std::nullopt;
}

std::uint64_t SimulatedLinks::sentBytes(std::uint32_t instance) const
{
    return this->senders[instance].bytes;
}

std::uint64_t SimulatedLinks::receivedBytes(std::uint32_t instance) const
{
    return this->receivers[instance].bytes;
}

} // namespace Nutmegrill
