#pragma once

#include "Config/Configuration.h"
#include "Core/Time.h"
#include "Membership/PeerOutput.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Holds the configuration in force in a process and spreads it over the process's links. Versions
/// only rise. Take-outs that are not yet in the store spread the same way and are in force while
/// their epoch is above that of the failure domain in the configuration.
class ConfigurationSpread
{
public:
    /// A link is open; the other side said which version it holds.
    void openPeer(Instant now, const std::string &peer, std::uint64_t peerVersion,
                  PeerOutput::List &output);

    void closePeer(const std::string &peer);

    /// Handles ConfigurationOffer, ConfigurationWanted, ConfigurationData and PendingTakeOut; other
    /// messages are ignored. Returns whether the configuration or a take-out in force has changed.
    bool receive(Instant now, const std::string &peer, const PeerMessage::Any &message,
                 PeerOutput::List &output);

    /// A configuration read from the store. Returns whether it is newer than the one in force.
    bool accept(Instant now, const ConfigurationPtr &configuration, PeerOutput::List &output);

    /// Takes a take-out that is not in the store into force. Returns whether it is new.
    bool takeOut(const PeerMessage::PendingTakeOut &takeOut, PeerOutput::List &output);

    /// Repeats the offer to every peer once a second.
    void tick(Instant now, PeerOutput::List &output);

    /// Null before the first configuration.
    const ConfigurationPtr &current() const { return this->configuration; }

    /// 0 before the first configuration.
    std::uint64_t version() const;

    /// Whether the failure domain is out, by the configuration or by a pending take-out. An unknown
    /// failure domain is out.
    bool isOut(std::string_view failureDomain) const;

    /// Take-outs in force that the configuration does not contain yet.
    std::vector<PeerMessage::PendingTakeOut> pendingTakeOuts() const;

    /// Peers that have told their version since their link opened.
    std::size_t peersHeard() const;
    std::size_t peersOpen() const { return this->peers.size(); }

    /// Highest version that an open peer has told; 0 without one.
    std::uint64_t highestHeard() const;

private:
    struct Peer
    {
        std::optional<std::uint64_t> version;
        Instant askAgain;
    };

    bool replace(const ConfigurationPtr &candidate, PeerOutput::List &output);
    void offer(const std::string &peer, PeerOutput::List &output) const;
    void hear(Instant now, const std::string &peer, std::uint64_t version,
              PeerOutput::List &output);
    void dropSettledTakeOuts();
    std::uint64_t epochOf(std::string_view failureDomain) const;

    ConfigurationPtr configuration;
    std::map<std::string, Peer> peers;
    std::map<std::string, PeerMessage::PendingTakeOut> takeOuts;
    Instant nextOffer;
};

} // namespace Nutmegrill
