#pragma once

#include "Core/Time.h"
#include "Relay/LoadShare.h"
#include "Relay/LoadSum.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class EntryTable;

/// Tells the entries of a large fleet what all of them together run at each backend server. Load
/// pattern: hundreds of entries that place requests on the same backend servers within the same
/// tenth of a second.
///
/// Each entry sends its load to the two relays of its failure domain. These send the sum of the
/// domain to the relays of the other domains, and the sum of all domains back to the entries. An
/// entry that gets no sum uses the reports of the others, which come less often. Whoever receives
/// the load of an entry acts as its relay, so that relays need not be agreed on.
class LoadExchange
{
public:
    struct Message
    {
        std::string address;
        std::shared_ptr<const LoadShare> share;
    };
    using Messages = std::vector<Message>;

    /// Own facts of a share: sender, failure domain and incarnation.
    void setOwn(const LoadShare &facts) { this->own = facts; }

    /// Fleets of up to that many entries tell each other by reports alone.
    static constexpr std::size_t MaxEntriesWithoutSums = 24;

    /// Mean age of a load in the sum: half a tick in the entry and in each of two relays.
    static constexpr std::chrono::milliseconds MeanAge{200};

    void shareReceived(Instant now, const LoadShare &share);

    bool isFresh(Instant now) const;

    /// Adds the messages that are due. \a load is what this entry runs now.
    void tick(Instant now, const LoadSum &load, const EntryTable &entries, Messages &messages);

    /// Load of the other entries at a backend server, and requests that wait at them; nullopt
    /// without a recent sum.
    std::optional<std::uint32_t> runningElsewhere(const std::string &backend, Instant now) const;
    std::optional<std::uint32_t> waitingElsewhere(const std::string &service, Instant now) const;

private:
    struct Received
    {
        LoadShare share;
        Instant receivedAt;
    };

    void sendOwn(Instant now, const std::vector<std::string> &relays, Messages &messages);
    void relay(Instant now, const EntryTable &entries, bool isRelay, Messages &messages);
    LoadSum sumOfDomain(Instant now, const EntryTable &entries) const;
    /// What this entry adds to the sum at least.
    template <typename Read>
    std::uint32_t ownPart(Read read) const;
    static bool isNewer(const LoadShare &share, const Received &known, Instant now);

    LoadShare own;
    std::uint64_t sequence = 0;
    /// Loads of this entry at the last ticks, the latest first; a sum contains one of them.
    std::deque<LoadSum> ownLoads;
    LoadShare ownShare;
    /// Shares of the entries that use this one as a relay, by sender.
    std::map<std::string, Received> entriesHere;
    /// Sums of the other failure domains, by domain.
    std::map<std::string, Received> domains;
    /// The latest sum of the fleet.
    LoadSum fleet;
    std::optional<Instant> fleetAt;
    std::string fleetSender;
    std::uint64_t fleetIncarnation = 0;
    std::uint64_t fleetSequence = 0;
    Instant nextFleetAt;
};

} // namespace Nutmegrill
