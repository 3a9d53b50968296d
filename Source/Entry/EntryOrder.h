#pragma once

#include "Core/LogRecord.h"
#include "Entry/EntryEvent.h"

#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// What an entry's decision logic wants done.
class EntryOrder
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

    /// Stops or restarts reading from a work stream (HTTP/2 flow control).
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
        /// Agent that holds the whole answer, part of the event's id; empty when no single one
        /// does.
        std::string agent;
    };

    struct ReplyEnd
    {
        CallerId caller = 0;
    };

    /// Ends the request with a JSON error; after ReplyHead it ends the stream with an error event.
    struct ReplyFailure
    {
        CallerId caller = 0;
        WorkMessage::Failure failure;
    };

    /// Reads the configuration from the store now, and watches it while this process is a relay.
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
