#pragma once

#include "Config/FailureDomainState.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Messages of the control stream between two Nutmegrill processes. Times are sent as remaining
/// durations, because clocks differ between processes; the receiver converts them to deadlines.
class PeerMessage
{
public:
    /// First message of the connecting side.
    struct Hello
    {
        std::string process;
        std::string failureDomain;
        std::string deploymentKey;
        std::uint64_t configurationVersion = 0;
    };

    /// Response of an agent to Hello.
    struct Welcome
    {
        std::string agent;
        std::string service;
        std::string failureDomain;
        /// Differs after each start of the agent, so that state of an earlier run is not mixed in.
        std::uint64_t incarnation = 0;
        std::uint64_t configurationVersion = 0;
    };

    /// Requests queued at an entry for the agent's service.
    struct Demand
    {
        std::uint32_t queued = 0;
    };

    /// Permission to start requests. The count is cumulative over the link, so that repeated or
    /// reordered grants are idempotent.
    struct Grant
    {
        std::uint64_t startsUpTo = 0;
        /// Largest projected KV-cache size at the end of an answer that fits now; 0: no limit.
        std::uint64_t kvBytesFree = 0;
        std::chrono::milliseconds remaining{0};
    };

    /// State of the backend server behind an agent.
    struct BackendStatus
    {
        enum class State { Down, Cold, Warm, Leaving, Out };
        State state = State::Down;
        std::uint32_t running = 0;
        std::uint32_t limit = 0;
    };

    /// All events of a request below this index have reached the caller.
    struct Ack
    {
        std::string requestId;
        std::uint64_t nextEvent = 0;
    };

    /// The sender holds this configuration version.
    struct ConfigurationOffer
    {
        std::uint64_t version = 0;
        /// Time since a process read this version as the newest one in the store.
        std::chrono::milliseconds age{0};
    };

    /// Asks for the newest configuration of the receiver.
    struct ConfigurationWanted
    {
        std::uint64_t version = 0;
    };

    struct ConfigurationData
    {
        std::uint64_t version = 0;
        std::string document;
    };

    /// A take-out that is not in the store yet. It applies while its epoch is higher than the one
    /// in the configuration.
    struct PendingTakeOut
    {
        std::string failureDomain;
        std::uint64_t epoch = 0;
        std::string changeId;
    };

    /// Crashes of backend servers during which a request with this fingerprint was running.
    struct CrashNotice
    {
        std::uint64_t fingerprint = 0;
        std::vector<std::string> crashIds;
        std::chrono::milliseconds remaining{0};
    };

    /// Expert map change, opaque here; see MapMessage.
    struct MapData
    {
        std::string group;
        std::string document;
    };

    using Any = std::variant<Hello, Welcome, Demand, Grant, BackendStatus, Ack, ConfigurationOffer,
                             ConfigurationWanted, ConfigurationData, PendingTakeOut, CrashNotice,
                             MapData>;
};

} // namespace Nutmegrill
