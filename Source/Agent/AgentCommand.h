#pragma once

#include "Agent/AgentEvent.h"
#include "Core/LogRecord.h"

#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Commands that the agent's decision logic returns for the I/O layer to execute.
class AgentCommand
{
public:
    using LinkId = AgentEvent::LinkId;
    using WorkId = AgentEvent::WorkId;

    struct SendPeer
    {
        LinkId link = 0;
        PeerMessage::Any message;
    };

    /// End and Failure close the work stream.
    struct SendWork
    {
        WorkId work = 0;
        WorkMessage::Any message;
    };

    struct CallBackend
    {
        WorkMessage::Request request;
    };

    struct CancelBackend
    {
        std::string requestId;
    };

    /// Pauses or resumes reading an answer from the backend server.
    struct PauseBackend
    {
        std::string requestId;
        bool paused = false;
    };

    /// One compare-and-swap: replaces \a expected (empty: the key is absent) by \a record (empty:
    /// the key is deleted).
    struct ClaimWrite
    {
        std::string key;
        std::string expected;
        std::string record;
    };

    /// Independent compare-and-swaps sent in one store call.
    struct WriteClaims
    {
        std::uint64_t batch = 0;
        std::vector<ClaimWrite> writes;
    };

    /// All work has ended; the process may exit.
    struct Stop
    {};

    using Any = std::variant<SendPeer, SendWork, CallBackend, CancelBackend, PauseBackend,
                             WriteClaims, Stop, LogRecord>;
    using List = std::vector<Any>;
};

} // namespace Nutmegrill
