#pragma once

#include "Config/Configuration.h"
#include "Core/Time.h"
#include "Membership/PeerOutput.h"

#include <chrono>
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
    /// Mechanisms that tests turn off to show that their proofs notice.
    struct Switches
    {
        bool monotonicVersions = true;
        bool repeats = true;
    };

    /// Age of a version that no process is known to have read from the store.
    static constexpr std::chrono::hours UnknownAge{24 * 365};

    ConfigurationSpread() : ConfigurationSpread(Switches{}) {}
    explicit ConfigurationSpread(Switches switches) : switches(switches) {}

    /// A link is open; the other side said which version it holds.
    void openPeer(Instant now, const std::string &peer, std::uint64_t peerVersion,
                  PeerOutput::List &output);

    void closePeer(const std::string &peer);

    /// Handles ConfigurationOffer, ConfigurationWanted, ConfigurationData and PendingTakeOut; other
    /// messages are ignored, and so are offers and questions of a peer whose link is closed.
    /// Returns whether the configuration or a take-out in force has changed.
    bool receive(Instant now, const std::string &peer, const PeerMessage::Any &message,
                 PeerOutput::List &output);

    /// A configuration read from the store just now. Returns whether it is newer than the one in
    /// force.
    bool accept(Instant now, const ConfigurationPtr &configuration, PeerOutput::List &output);

    /// Takes a take-out that is not in the store into force. Returns whether it is new.
    bool takeOut(const PeerMessage::PendingTakeOut &takeOut, PeerOutput::List &output);

    /// Repeats the offer and the pending take-outs to every peer once a second, and asks another
    /// peer when a question stays without answer.
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

    /// Time since a process is known to have read the version in force as the newest one in the
    /// store; UnknownAge when none is.
    std::chrono::milliseconds age(Instant now) const;

    /// Peers that have told their version since their link opened.
    std::size_t peersHeard() const;
    std::size_t peersOpen() const { return this->peers.size(); }

    /// Highest version that an open peer has told; 0 without one.
    std::uint64_t highestHeard() const;

private:
    struct Peer
    {
        std::optional<std::uint64_t> version;
    };

    /// The last question for a configuration. Only one is open at a time, so that a new version is
    /// transferred once and not from every peer that offers it.
    struct Question
    {
        std::string peer;
        Instant deadline;
    };

    bool receiveData(Instant now, const PeerMessage::ConfigurationData &data,
                     PeerOutput::List &output);
    bool replace(Instant now, const ConfigurationPtr &candidate, std::optional<Instant> readAt,
                 PeerOutput::List &output);
    void offer(Instant now, const std::string &peer, PeerOutput::List &output) const;
    void hear(Instant now, const std::string &peer, const PeerMessage::ConfigurationOffer &offered,
              PeerOutput::List &output);
    void askNext(Instant now, PeerOutput::List &output);
    void dropSettledTakeOuts();
    std::uint64_t epochOf(std::string_view failureDomain) const;

    Switches switches;
    ConfigurationPtr configuration;
    /// When the version in force was last known to be the newest one in the store.
    std::optional<Instant> confirmed;
    std::map<std::string, Peer> peers;
    std::optional<Question> question;
    std::map<std::string, PeerMessage::PendingTakeOut> takeOuts;
    Instant nextOffer;
};

} // namespace Nutmegrill
