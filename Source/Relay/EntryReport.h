#pragma once

#include "Membership/CrashReport.h"
#include "Membership/SlowRank.h"
#include "Relay/StorePosition.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// State that an entry sends to the other entries several times a second.
struct EntryReport
{
    std::string name;
    /// Differs between two starts; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    /// Sequence number within one incarnation; identifies late and repeated datagrams.
    std::uint64_t sequence = 0;
    std::string failureDomain;
    /// Where callers connect.
    std::string callerAddress;
    /// Where entries connect (TCP and UDP).
    std::string peerAddress;
    /// Accepts callers: it has a configuration and is not stopping.
    bool isServing = false;
    /// A planned stop has begun.
    bool isLeaving = false;
    /// Position in the store up to which this entry has every change.
    StorePosition known;
    /// The last call to the store succeeded.
    bool reachesStore = true;
    /// Time since the store last answered this entry.
    std::optional<std::chrono::milliseconds> sinceStoreAnswer;
    /// Time since the end of an outage of the store in which rows of backend servers may have
    /// expired; only shortly afterwards.
    std::optional<std::chrono::milliseconds> sinceStoreReturned;
    /// Time of day on the clock of this entry; only where duties need true time.
    std::optional<std::chrono::system_clock::time_point> clock;
    /// Running requests of this entry, by id of the backend server.
    std::map<std::string, std::uint32_t> running;
    /// Requests that wait for a slot at this entry, by service.
    std::map<std::string, std::uint32_t> waiting;
    /// What a backend server said about its limit.
    struct Limit
    {
        /// Names one start of the backend server.
        std::string incarnation;
        std::optional<double> requestsPerSecond;
        std::chrono::milliseconds age{0};
    };
    std::vector<Limit> limits;
    /// Starts of backend servers that said that they leave.
    std::vector<std::string> leaving;
    /// News about requests that crash backend servers.
    std::vector<CrashReport> crashes;
    /// Slow backend servers that an agent has told this entry of.
    std::vector<SlowRank> slowRanks;
};

} // namespace Nutmegrill
