#pragma once

#include "Config/Configuration.h"
#include "Messages/PeerMessage.h"
#include "Messages/WorkMessage.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Input events of an agent's decision logic. The I/O layer assigns link and work stream ids.
class AgentEvent
{
public:
    using LinkId = std::uint64_t;
    using WorkId = std::uint64_t;

    /// A configuration read from the store or received from a peer.
    struct ConfigurationRead
    {
        ConfigurationPtr configuration;
        bool fromStore = false;
    };

    struct LinkOpened
    {
        LinkId link = 0;
    };

    struct LinkClosed
    {
        LinkId link = 0;
    };

    struct PeerReceived
    {
        LinkId link = 0;
        PeerMessage::Any message;
    };

    struct WorkArrived
    {
        WorkId work = 0;
        LinkId link = 0;
        WorkMessage::Request request;
    };

    /// The entry cancelled the request and discards its answer.
    struct WorkCancelled
    {
        WorkId work = 0;
    };

    /// The stream was lost with its link. The request keeps running and its tail is retained.
    struct WorkDetached
    {
        WorkId work = 0;
    };

    /// Number of bytes written to the work stream that the entry has not read yet.
    struct WorkBuffered
    {
        WorkId work = 0;
        std::uint64_t bytes = 0;
    };

    struct BackendHead
    {
        std::string requestId;
        WorkMessage::Head head;
    };

    /// One server-sent event of an engine, or one part of a plain service's body.
    struct BackendData
    {
        std::string requestId;
        std::string data;
        std::uint32_t tokens = 0;
    };

    struct BackendEnd
    {
        std::string requestId;
    };

    struct BackendFailed
    {
        enum class Kind {
            NotSent, ///< the connection failed before any byte of the request was written
            Broken   ///< the connection broke after part of the request was written
        };
        std::string requestId;
        Kind kind = Kind::Broken;
    };

    /// Result of a probe or load report of the backend server.
    struct BackendReport
    {
        bool reachable = false;
        /// Differs after each start of the backend server.
        std::string incarnation;
        std::uint32_t running = 0;
        std::uint64_t kvBytesUsed = 0;
    };

    /// The backend server or the instance list announced that the backend server is draining.
    struct BackendLeaving
    {};

    /// Outcome of one compare-and-swap of a WriteClaims batch.
    struct ClaimResult
    {
        enum class Kind {
            Written, ///< the write succeeded
            Conflict ///< the key holds a different record, see record
        };
        std::string key;
        Kind kind = Kind::Conflict;
        std::string record;
    };

    /// Response to AgentCommand::WriteClaims. If reached is false, the store did not answer and it
    /// is unknown whether the writes took effect.
    struct ClaimsAnswered
    {
        std::uint64_t batch = 0;
        bool reached = false;
        std::vector<ClaimResult> results;
    };

    struct StopRequested
    {};

    using Any = std::variant<ConfigurationRead, LinkOpened, LinkClosed, PeerReceived, WorkArrived,
                             WorkCancelled, WorkDetached, WorkBuffered, BackendHead, BackendData,
                             BackendEnd, BackendFailed, BackendReport, BackendLeaving,
                             ClaimsAnswered, StopRequested>;
};

} // namespace Nutmegrill
