#include "Relay/ServiceCircuit.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// Backend servers that reject within the window, without one that serves: one may be full or
/// broken alone, three mean the service.
constexpr std::size_t RejectingServers = 3;
constexpr std::chrono::milliseconds Window{600};
/// A group forms again within some 600 ms, so probes at this pace add little delay.
constexpr std::chrono::milliseconds ProbePause{120};

} // namespace

void ServiceCircuit::noteRejected(Instant now, const std::string &backend)
{
    if (this->rejecting.empty() || now > this->firstRejection + Window) {
        this->rejecting.clear();
        this->firstRejection = now;
    }
    this->rejecting.insert(backend);
    if (!this->openedAt && this->rejecting.size() >= RejectingServers)
        this->openedAt = this->firstRejection;
}

void ServiceCircuit::noteServed()
{
    this->rejecting.clear();
    this->openedAt.reset();
}

bool ServiceCircuit::maySend(Instant now) const
{
    return !this->openedAt || now >= this->nextProbeAt;
}

void ServiceCircuit::noteSent(Instant now)
{
    if (this->openedAt)
        this->nextProbeAt = now + ProbePause;
}

} // namespace Nutmegrill
