#pragma once

#include "Config/Configuration.h"
#include "Core/InstanceRecord.h"
#include "Messages/PeerMessage.h"
#include "Messages/WorkMessage.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Inputs of an entry's decision logic. The I/O layer numbers the callers and the node numbers the
/// works; numbers are not reused.
class EntryEvent
{
public:
    using CallerId = std::uint64_t;
    using WorkId = std::uint64_t;

    /// A configuration read from the store (fromStore) or received from a peer.
    struct ConfigurationRead
    {
        ConfigurationPtr configuration;
        bool fromStore = false;
    };

    /// The store could not be read.
    struct StoreUnreachable
    {};

    /// The platform's instance list was read again.
    struct InstancesRead
    {
        std::vector<InstanceRecord> instances;
    };

    /// The link to an agent is open; its Welcome follows as a PeerReceived.
    struct LinkOpened
    {
        std::string agent;
    };

    /// The link broke, was closed, or could not be opened. WorkClosed events for its works come
    /// first.
    struct LinkClosed
    {
        std::string agent;
    };

    struct PeerReceived
    {
        std::string agent;
        PeerMessage::Any message;
    };

    /// A caller's request after authentication and parsing.
    struct CallerRequest
    {
        CallerId caller = 0;
        /// Complete except for the fields that the node sets (configurationVersion, remaining).
        WorkMessage::Request request;
        std::chrono::milliseconds timeLimit{0};
        /// Agent that holds the tail of the answer, from the caller's Last-Event-ID; may be empty.
        std::string resumeAgent;
    };

    /// Bytes queued for the caller's connection and not yet written to it.
    struct CallerBuffered
    {
        CallerId caller = 0;
        std::uint64_t bytes = 0;
    };

    /// The caller closed its connection.
    struct CallerDisconnected
    {
        CallerId caller = 0;
    };

    struct WorkReceived
    {
        WorkId work = 0;
        WorkMessage::Any message;
    };

    /// The work stream ended without End or Failure. NotRun only when the peer's transport says
    /// that the stream was not processed.
    struct WorkClosed
    {
        WorkId work = 0;
        RunState run = RunState::Unknown;
    };

    /// An operator's take-out that is not in the store yet.
    struct TakeOutRequested
    {
        PeerMessage::PendingTakeOut takeOut;
    };

    /// Planned stop (SIGTERM).
    struct StopRequested
    {};

    using Any =
            std::variant<ConfigurationRead, StoreUnreachable, InstancesRead, LinkOpened, LinkClosed,
                         PeerReceived, CallerRequest, CallerBuffered, CallerDisconnected,
                         WorkReceived, WorkClosed, TakeOutRequested, StopRequested>;
};

} // namespace Nutmegrill
