#include "Membership/ConfigurationSpread.h"

#include "Config/ConfigurationCodec.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds OfferPeriod(1);
// A request for a configuration whose answer was lost is repeated after this time.
constexpr std::chrono::seconds AskAgainPeriod(1);

} // namespace

void ConfigurationSpread::openPeer(Instant now, const std::string &peer, std::uint64_t peerVersion,
                                   PeerOutput::List &output)
{
    this->peers[peer] = Peer{};
    this->hear(now, peer, peerVersion, output);
    this->offer(peer, output);
    for (const auto &[domain, takeOut] : this->takeOuts)
        output.push_back({peer, takeOut});
}

void ConfigurationSpread::closePeer(const std::string &peer)
{
    this->peers.erase(peer);
}

bool ConfigurationSpread::receive(Instant now, const std::string &peer,
                                  const PeerMessage::Any &message, PeerOutput::List &output)
{
    if (const auto *offered = std::get_if<PeerMessage::ConfigurationOffer>(&message)) {
        this->hear(now, peer, offered->version, output);
        return false;
    }
    if (std::holds_alternative<PeerMessage::ConfigurationWanted>(message)) {
        if (this->configuration != nullptr)
            output.push_back(
                    {peer, PeerMessage::ConfigurationData{
                                   this->version(), encodeConfiguration(*this->configuration)}});
        return false;
    }
    if (const auto *data = std::get_if<PeerMessage::ConfigurationData>(&message)) {
        if (data->version <= this->version())
            return false;
        auto decoded = decodeConfiguration(data->document);
        if (!decoded.has_value() || decoded->version != data->version)
            return false;
        return this->replace(std::make_shared<Configuration>(std::move(*decoded)), output);
    }
    if (const auto *takeOut = std::get_if<PeerMessage::PendingTakeOut>(&message))
        return this->takeOut(*takeOut, output);
    return false;
}

bool ConfigurationSpread::accept(Instant, const ConfigurationPtr &configuration,
                                 PeerOutput::List &output)
{
    return this->replace(configuration, output);
}

bool ConfigurationSpread::takeOut(const PeerMessage::PendingTakeOut &takeOut,
                                  PeerOutput::List &output)
{
    if (takeOut.epoch <= this->epochOf(takeOut.failureDomain))
        return false;
    const auto known = this->takeOuts.find(takeOut.failureDomain);
    if (known != this->takeOuts.end() && known->second.epoch >= takeOut.epoch)
        return false;
    this->takeOuts[takeOut.failureDomain] = takeOut;
    for (const auto &[peer, row] : this->peers)
        output.push_back({peer, takeOut});
    return true;
}

void ConfigurationSpread::tick(Instant now, PeerOutput::List &output)
{
    if (now < this->nextOffer)
        return;
    this->nextOffer = now + OfferPeriod;
    for (const auto &[peer, row] : this->peers)
        this->offer(peer, output);
}

std::uint64_t ConfigurationSpread::version() const
{
    return this->configuration == nullptr ? 0 : this->configuration->version;
}

bool ConfigurationSpread::isOut(std::string_view failureDomain) const
{
    if (this->configuration == nullptr)
        return true;
    const FailureDomainState *declared = this->configuration->findFailureDomain(failureDomain);
    return declared == nullptr || declared->out
           || this->takeOuts.count(std::string(failureDomain)) != 0;
}

std::vector<PeerMessage::PendingTakeOut> ConfigurationSpread::pendingTakeOuts() const
{
    std::vector<PeerMessage::PendingTakeOut> pending;
    for (const auto &[domain, takeOut] : this->takeOuts)
        pending.push_back(takeOut);
    return pending;
}

std::size_t ConfigurationSpread::peersHeard() const
{
    return static_cast<std::size_t>(
            std::count_if(this->peers.begin(), this->peers.end(),
                          [](const auto &entry) { return entry.second.version.has_value(); }));
}

std::uint64_t ConfigurationSpread::highestHeard() const
{
    std::uint64_t highest = 0;
    for (const auto &[peer, row] : this->peers)
        highest = std::max(highest, row.version.value_or(0));
    return highest;
}

bool ConfigurationSpread::replace(const ConfigurationPtr &candidate, PeerOutput::List &output)
{
    if (candidate == nullptr || candidate->version <= this->version())
        return false;
    this->configuration = candidate;
    this->dropSettledTakeOuts();
    for (const auto &[peer, row] : this->peers) {
        if (!row.version.has_value() || *row.version < candidate->version)
            this->offer(peer, output);
    }
    return true;
}

void ConfigurationSpread::offer(const std::string &peer, PeerOutput::List &output) const
{
    output.push_back({peer, PeerMessage::ConfigurationOffer{this->version(), {}}});
}

void ConfigurationSpread::hear(Instant now, const std::string &peer, std::uint64_t version,
                               PeerOutput::List &output)
{
    Peer &row = this->peers[peer];
    row.version = std::max(row.version.value_or(0), version);
    if (version > this->version() && now >= row.askAgain) {
        row.askAgain = now + AskAgainPeriod;
        output.push_back({peer, PeerMessage::ConfigurationWanted{this->version()}});
    }
}

void ConfigurationSpread::dropSettledTakeOuts()
{
    for (auto row = this->takeOuts.begin(); row != this->takeOuts.end();) {
        const bool settled = row->second.epoch <= this->epochOf(row->first);
        row = settled ? this->takeOuts.erase(row) : std::next(row);
    }
}

std::uint64_t ConfigurationSpread::epochOf(std::string_view failureDomain) const
{
    if (this->configuration == nullptr)
        return 0;
    const FailureDomainState *declared = this->configuration->findFailureDomain(failureDomain);
    return declared == nullptr ? 0 : declared->epoch;
}

} // namespace Nutmegrill
