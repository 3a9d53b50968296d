#include "Relay/ServiceCircuitBreaker.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// Backend servers that must reject within the window, without any that runs a request, to open the
/// circuit. A single one may just be full or faulty.
constexpr std::size_t MinRejectingServers = 3;
constexpr std::chrono::milliseconds RejectionWindow{600};
/// A group forms again within about 600 ms, so probes at this interval add little delay.
constexpr std::chrono::milliseconds ProbeInterval{120};

} // namespace

void ServiceCircuitBreaker::recordRejection(Instant now, const std::string &backend)
{
    if (this->rejecting.empty() || now > this->firstRejection + RejectionWindow) {
        this->rejecting.clear();
        this->firstRejection = now;
    }
    this->rejecting.insert(backend);
    if (!this->openedAt && this->rejecting.size() >= MinRejectingServers)
        this->openedAt = this->firstRejection;
}

void ServiceCircuitBreaker::recordServed()
{
    this->rejecting.clear();
    this->openedAt.reset();
}

bool ServiceCircuitBreaker::allowsRequest(Instant now) const
{
    return !this->openedAt || now >= this->nextProbeAt;
}

void ServiceCircuitBreaker::recordSent(Instant now)
{
    if (this->openedAt)
        this->nextProbeAt = now + ProbeInterval;
}

} // namespace Nutmegrill
