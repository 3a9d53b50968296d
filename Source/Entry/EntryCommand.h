#pragma once

#include "Core/LogRecord.h"
#include "Entry/EntryEvent.h"

#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Commands that an entry's decision logic returns for the I/O layer to execute.
class EntryCommand
{
public:
    using CallerId = EntryEvent::CallerId;
    using WorkId = EntryEvent::WorkId;

    struct OpenLink
    {
        std::string agent;
        std::string address;
    };

    struct CloseLink
    {
        std::string agent;
    };

    struct SendPeer
    {
        std::string agent;
        PeerMessage::Any message;
    };

    struct StartWork
    {
        WorkId work = 0;
        std::string agent;
        WorkMessage::Request request;
    };

    struct CancelWork
    {
        WorkId work = 0;
    };

    /// Pauses or resumes reading from a work stream (HTTP/2 flow control).
    struct PauseWork
    {
        WorkId work = 0;
        bool paused = false;
    };

    struct ReplyHead
    {
        CallerId caller = 0;
        WorkMessage::Head head;
    };

    struct ReplyEvent
    {
        CallerId caller = 0;
        std::uint64_t index = 0;
        std::string data;
        /// Agent that holds the whole answer, as a part of the event id; empty when no single agent
        /// holds it.
        std::string agent;
    };

    struct ReplyEnd
    {
        CallerId caller = 0;
    };

    /// Ends the request with a JSON error or, after ReplyHead, the stream with an error event.
    struct ReplyFailure
    {
        CallerId caller = 0;
        WorkMessage::Failure failure;
    };

    /// Reads the configuration from the store; with watch set, also watches it for changes.
    struct ReadStore
    {
        bool watch = false;
    };

    /// Merges pending take-outs into the stored configuration.
    struct StoreTakeOut
    {
        PeerMessage::PendingTakeOut takeOut;
    };

    /// All streams have ended; the process may exit.
    struct Stop
    {};

    using Any = std::variant<OpenLink, CloseLink, SendPeer, StartWork, CancelWork, PauseWork,
                             ReplyHead, ReplyEvent, ReplyEnd, ReplyFailure, ReadStore, StoreTakeOut,
                             Stop, LogRecord>;
    using List = std::vector<Any>;
};

} // namespace Nutmegrill
