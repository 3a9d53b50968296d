#include "Membership/ConfigurationSpread.h"

#include "Config/ConfigurationCodec.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds OfferPeriod(1);
// Time after which the configuration is requested from another peer.
constexpr std::chrono::seconds AnswerTimeout(1);
// Failure domains with a pending take-out, including ones that the configuration does not contain.
// Deployments have up to 9; the limit bounds the memory that unknown names can use.
constexpr std::size_t MaxPendingTakeOuts = 64;

} // namespace

void ConfigurationSpread::openPeer(Instant now, const std::string &peer, std::uint64_t peerVersion,
                                   PeerOutput::List &output)
{
    this->peers[peer] = Peer{};
    if (this->pendingRequest.has_value() && this->pendingRequest->peer == peer)
        this->pendingRequest->deadline = now;
    this->handleOffer(now, peer, PeerMessage::ConfigurationOffer{peerVersion, UnknownAge}, output);
    this->sendOffer(now, peer, output);
    for (const auto &[domain, takeOut] : this->takeOuts)
        output.push_back({peer, takeOut});
}

void ConfigurationSpread::closePeer(const std::string &peer)
{
    this->peers.erase(peer);
    if (this->pendingRequest.has_value() && this->pendingRequest->peer == peer)
        this->pendingRequest->deadline = Instant::min();
}

bool ConfigurationSpread::receive(Instant now, const std::string &peer,
                                  const PeerMessage::Any &message, PeerOutput::List &output)
{
    if (const auto *offered = std::get_if<PeerMessage::ConfigurationOffer>(&message)) {
        this->handleOffer(now, peer, *offered, output);
        return false;
    }
    if (std::holds_alternative<PeerMessage::ConfigurationWanted>(message)) {
        if (this->configuration != nullptr && this->peers.count(peer) != 0)
            output.push_back(
                    {peer, PeerMessage::ConfigurationData{
                                   this->version(), encodeConfiguration(*this->configuration)}});
        return false;
    }
    if (const auto *data = std::get_if<PeerMessage::ConfigurationData>(&message))
        return this->receiveData(now, *data, output);
    if (const auto *takeOut = std::get_if<PeerMessage::PendingTakeOut>(&message))
        return this->takeOut(*takeOut, output);
    return false;
}

bool ConfigurationSpread::receiveData(Instant now, const PeerMessage::ConfigurationData &data,
                                      PeerOutput::List &output)
{
    if (data.version <= this->version() && this->switches.monotonicVersions)
        return false;
    auto decoded = decodeConfiguration(data.document);
    if (!decoded.has_value() || decoded->version != data.version)
        return false;
    return this->replace(now, std::make_shared<Configuration>(std::move(*decoded)), std::nullopt,
                         output);
}

bool ConfigurationSpread::accept(Instant now, const ConfigurationPtr &candidate,
                                 PeerOutput::List &output)
{
    const bool isNew = this->replace(now, candidate, now, output);
    if (candidate != nullptr && candidate->version == this->version())
        this->confirmedAt = now;
    return isNew;
}

bool ConfigurationSpread::takeOut(const PeerMessage::PendingTakeOut &takeOut,
                                  PeerOutput::List &output)
{
    if (takeOut.epoch <= this->epochOf(takeOut.failureDomain))
        return false;
    const auto known = this->takeOuts.find(takeOut.failureDomain);
    if (known != this->takeOuts.end() && known->second.epoch >= takeOut.epoch)
        return false;
    if (known == this->takeOuts.end() && this->takeOuts.size() >= MaxPendingTakeOuts)
        return false;
    this->takeOuts[takeOut.failureDomain] = takeOut;
    for (const auto &[peer, row] : this->peers)
        output.push_back({peer, takeOut});
    return true;
}

void ConfigurationSpread::tick(Instant now, PeerOutput::List &output)
{
    if (!this->switches.repeats)
        return;
    this->requestFromNextPeer(now, output);
    if (now < this->nextOffer)
        return;
    this->nextOffer = now + OfferPeriod;
    for (const auto &[peer, row] : this->peers) {
        this->sendOffer(now, peer, output);
        for (const auto &[domain, takeOut] : this->takeOuts)
            output.push_back({peer, takeOut});
    }
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

std::size_t ConfigurationSpread::peersReported() const
{
    return static_cast<std::size_t>(
            std::count_if(this->peers.begin(), this->peers.end(),
                          [](const auto &entry) { return entry.second.version.has_value(); }));
}

std::uint64_t ConfigurationSpread::highestReportedVersion() const
{
    std::uint64_t highest = 0;
    for (const auto &[peer, row] : this->peers)
        highest = std::max(highest, row.version.value_or(0));
    return highest;
}

std::chrono::milliseconds ConfigurationSpread::age(Instant now) const
{
    if (!this->confirmedAt.has_value())
        return UnknownAge;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->confirmedAt);
}

bool ConfigurationSpread::replace(Instant now, const ConfigurationPtr &candidate,
                                  std::optional<Instant> readAt, PeerOutput::List &output)
{
    if (candidate == nullptr
        || (candidate->version <= this->version() && this->switches.monotonicVersions))
        return false;
    this->configuration = candidate;
    this->confirmedAt = readAt;
    this->dropStoredTakeOuts();
    for (const auto &[peer, row] : this->peers) {
        if (!row.version.has_value() || *row.version < candidate->version)
            this->sendOffer(now, peer, output);
    }
    if (this->pendingRequest.has_value())
        this->pendingRequest->deadline = now;
    this->requestFromNextPeer(now, output);
    return true;
}

void ConfigurationSpread::sendOffer(Instant now, const std::string &peer,
                                    PeerOutput::List &output) const
{
    output.push_back({peer, PeerMessage::ConfigurationOffer{this->version(), this->age(now)}});
}

void ConfigurationSpread::handleOffer(Instant now, const std::string &peer,
                                      const PeerMessage::ConfigurationOffer &offered,
                                      PeerOutput::List &output)
{
    const auto row = this->peers.find(peer);
    if (row == this->peers.end())
        return;
    row->second.version = std::max(row->second.version.value_or(0), offered.version);
    const auto offeredAge = std::clamp<std::chrono::milliseconds>(
            offered.age, std::chrono::milliseconds(0), UnknownAge);
    if (offered.version == this->version() && offeredAge < this->age(now))
        this->confirmedAt = now - offeredAge;
    // The first request goes to the peer that made the offer, which spreads the requests of many
    // processes over their peers.
    if (!this->pendingRequest.has_value() && offered.version > this->version()) {
        this->pendingRequest = PendingRequest{peer, now + AnswerTimeout};
        output.push_back({peer, PeerMessage::ConfigurationWanted{this->version()}});
        return;
    }
    this->requestFromNextPeer(now, output);
}

void ConfigurationSpread::requestFromNextPeer(Instant now, PeerOutput::List &output)
{
    if (this->pendingRequest.has_value() && now < this->pendingRequest->deadline)
        return;
    const auto isAhead = [this](const auto &entry) {
        return entry.second.version.value_or(0) > this->version();
    };
    const auto after = this->pendingRequest.has_value()
                               ? this->peers.upper_bound(this->pendingRequest->peer)
                               : this->peers.begin();
    auto next = std::find_if(after, this->peers.end(), isAhead);
    if (next == this->peers.end())
        next = std::find_if(this->peers.begin(), after, isAhead);
    if (next == this->peers.end() || !isAhead(*next)) {
        this->pendingRequest.reset();
        return;
    }
    this->pendingRequest = PendingRequest{next->first, now + AnswerTimeout};
    output.push_back({next->first, PeerMessage::ConfigurationWanted{this->version()}});
}

void ConfigurationSpread::dropStoredTakeOuts()
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
