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

/// Holds the current configuration of a process and distributes it over the links of the process.
/// Versions only rise. Take-outs that are not yet in the store are distributed the same way and
/// apply while their epoch is above that of the failure domain in the configuration.
class ConfigurationSpread
{
public:
    /// Mechanisms that tests disable to show that a property test detects their absence.
    struct Switches
    {
        bool monotonicVersions = true;
        bool repeats = true;
    };

    /// Age of a version that no process is known to have read from the store.
    static constexpr std::chrono::hours UnknownAge{24 * 365};

    ConfigurationSpread() : ConfigurationSpread(Switches{}) {}
    explicit ConfigurationSpread(Switches switches) : switches(switches) {}

    /// Handles a new link whose peer reported the version it holds.
    void openPeer(Instant now, const std::string &peer, std::uint64_t peerVersion,
                  PeerOutput::List &output);

    void closePeer(const std::string &peer);

    /// Handles ConfigurationOffer, ConfigurationWanted, ConfigurationData and PendingTakeOut; other
    /// messages are ignored, and so are offers and requests of a peer whose link is closed. Returns
    /// whether the current configuration or a pending take-out has changed.
    bool receive(Instant now, const std::string &peer, const PeerMessage::Any &message,
                 PeerOutput::List &output);

    /// Handles a configuration just read from the store. Returns whether it is newer than the
    /// current one.
    bool accept(Instant now, const ConfigurationPtr &configuration, PeerOutput::List &output);

    /// Applies a take-out that is not in the store yet. Returns whether it is new.
    bool takeOut(const PeerMessage::PendingTakeOut &takeOut, PeerOutput::List &output);

    /// Repeats the offer and the pending take-outs to every peer once a second, and requests the
    /// configuration from another peer when a request times out.
    void tick(Instant now, PeerOutput::List &output);

    /// Null before the first configuration.
    const ConfigurationPtr &current() const { return this->configuration; }

    /// 0 before the first configuration.
    std::uint64_t version() const;

    /// Whether the failure domain is out, by the configuration or by a pending take-out. An unknown
    /// failure domain is out.
    bool isOut(std::string_view failureDomain) const;

    /// Take-outs that apply but are not in the configuration yet.
    std::vector<PeerMessage::PendingTakeOut> pendingTakeOuts() const;

    /// Time since a process last confirmed the current version by reading it from the store;
    /// UnknownAge without such a confirmation.
    std::chrono::milliseconds age(Instant now) const;

    /// Number of peers that have reported their version since their link opened.
    std::size_t peersReported() const;
    std::size_t peersOpen() const { return this->peers.size(); }

    /// Highest version that a connected peer has reported; 0 without one.
    std::uint64_t highestReportedVersion() const;

private:
    struct Peer
    {
        std::optional<std::uint64_t> version;
    };

    /// The last request for a configuration. Only one is outstanding at a time, so that a new
    /// version is transferred once and not by every peer that offers it.
    struct PendingRequest
    {
        std::string peer;
        Instant deadline;
    };

    bool receiveData(Instant now, const PeerMessage::ConfigurationData &data,
                     PeerOutput::List &output);
    bool replace(Instant now, const ConfigurationPtr &candidate, std::optional<Instant> readAt,
                 PeerOutput::List &output);
    void sendOffer(Instant now, const std::string &peer, PeerOutput::List &output) const;
    void handleOffer(Instant now, const std::string &peer,
                     const PeerMessage::ConfigurationOffer &offered, PeerOutput::List &output);
    void requestFromNextPeer(Instant now, PeerOutput::List &output);
    void dropStoredTakeOuts();
    std::uint64_t epochOf(std::string_view failureDomain) const;

    Switches switches;
    ConfigurationPtr configuration;
    /// When the current version was last known to be the newest one in the store.
    std::optional<Instant> confirmedAt;
    std::map<std::string, Peer> peers;
    std::optional<PendingRequest> pendingRequest;
    std::map<std::string, PeerMessage::PendingTakeOut> takeOuts;
    Instant nextOffer;
};

} // namespace Nutmegrill
