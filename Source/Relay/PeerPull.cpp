#include "Relay/PeerPull.h"

#include "Relay/EntryTable.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// Another entry is asked as well if the first does not answer within this time: a configuration
/// has to be in force everywhere within two seconds.
constexpr std::chrono::milliseconds Patience{300};
/// As long as the last report of an entry counts.
constexpr std::chrono::milliseconds AvoidanceTime{2500};

} // namespace

std::optional<std::string> PeerPull::begin(Instant now, StorePosition position,
                                           const std::string &domain, const EntryTable &entries)
{
    if (!this->pending.empty() && now < this->patientUntil)
        return std::nullopt;
    std::erase_if(this->avoidedUntil, [now](const auto &row) { return now >= row.second; });
    std::set<std::string> avoided = this->pending;
    for (const auto &[address, until] : this->avoidedUntil)
        avoided.insert(address);
    auto peer = entries.findPeerAhead(position, domain, now, avoided);
    if (!peer && now >= this->patientUntil)
        peer = entries.findPeerAhead(position, domain, now, this->pending);
    if (!peer)
        return std::nullopt;
    this->pending.insert(*peer);
    this->patientUntil = now + Patience;
    return peer;
}

void PeerPull::end(Instant now, const std::string &peer, bool isAnswered)
{
    this->pending.erase(peer);
    if (isAnswered)
        this->avoidedUntil.erase(peer);
    else
        this->avoidedUntil[peer] = now + AvoidanceTime;
}

} // namespace Nutmegrill
