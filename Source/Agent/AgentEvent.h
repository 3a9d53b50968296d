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

/// Everything that can happen to an agent. Links and works are numbered by the shell.
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

    /// The entry cancelled the stream (it no longer wants the answer).
    struct WorkCancelled
    {
        WorkId work = 0;
    };

    /// The stream broke with its link; the request goes on and its tail is kept.
    struct WorkDetached
    {
        WorkId work = 0;
    };

    /// Bytes handed to the work stream but not yet taken by the entry.
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
            NotSent, ///< refused before a byte of the request was written
            Broken   ///< the connection broke after that
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

    /// The backend server, or the instance list, says that it is leaving.
    struct BackendLeaving
    {};

    /// Outcome of one claim of an OrderClaims batch.
    struct ClaimResult
    {
        enum class Kind {
            Mine,  ///< the record now holds what was asked for
            Exists ///< another record is there; see record
        };
        std::string key;
        Kind kind = Kind::Exists;
        std::string record;
    };

    /// Answer to AgentOrder::WriteClaims. With reached false the store gave no answer, and the
    /// writes may or may not have taken effect.
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
