#pragma once

#include "Core/Time.h"
#include "Entry/EntryEvent.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// The requests of an entry by caller, and the works that run them.
class RequestTable
{
public:
    using CallerId = EntryEvent::CallerId;
    using WorkId = EntryEvent::WorkId;

    enum class Phase {
        Queued,
        Running,
        Resuming, ///< its work broke; it waits for the link to the same agent
        Done      ///< answered; kept until the tail is acknowledged
    };

    struct Row
    {
        CallerId caller = 0;
        WorkMessage::Request request;
        bool model = false;
        /// Buffer budget of the client account when the request came.
        std::uint64_t accountBufferBytes = 0;
        Phase phase = Phase::Queued;
        /// Queued as a suspect, apart from the other requests of the client account.
        bool suspectLane = false;
        Instant deadline;
        /// Agent of the present or last work.
        std::string agent;
        /// Agent that rejected the request last; another one is preferred.
        std::string avoid;
        WorkId work = 0;
        /// Request id of the present work; differs from the caller's after a continuation.
        std::string sentId;
        /// The present work only reads a kept tail.
        bool query = false;
        /// A start of this request may have run, so that a non-idempotent call is not sent again.
        bool handedOver = false;
        std::uint32_t attempts = 0;
        /// Agent of each start.
        std::vector<std::string> starts;
        std::uint32_t resumes = 0;
        std::uint32_t continuations = 0;
        Instant resumeUntil;

        bool headSent = false;
        /// Next event for the caller. An event of the present work has this index less \a offset.
        std::uint64_t nextEvent = 0;
        std::uint64_t offset = 0;
        /// Generated text since the start, for a continuation on another agent.
        std::string text;
        std::uint64_t textEvents = 0;
        bool textLost = false;
        /// The engine said that the text is complete, and the last event ("[DONE]") was passed on.
        bool finished = false;
        bool doneSent = false;

        /// Events that the caller's connection has not taken yet: index and bytes up to its end.
        std::deque<std::pair<std::uint64_t, std::uint64_t>> unread;
        std::uint64_t sentBytes = 0;
        std::uint64_t acked = 0;
        std::uint64_t ackNext = 0;
        Instant nextAck;
        bool paused = false;
    };

    using Rows = std::map<CallerId, Row>;

    Row &add(CallerId caller) { return this->rows[caller]; }
    Row *find(CallerId caller);
    Row *findByWork(WorkId work);
    /// Gives the row a new work number.
    WorkId startWork(Row &row);
    /// The row's work has ended or is no longer its own.
    void endWork(Row &row);
    void erase(CallerId caller);
    Rows &all() { return this->rows; }
    const Rows &all() const { return this->rows; }

    /// A paused work without a caller, kept until the deadline so that the caller can come back.
    struct Parked
    {
        std::string requestId;
        Instant deadline;
    };
    std::map<WorkId, Parked> &parked() { return this->parkedWorks; }

private:
    Rows rows;
    std::map<WorkId, CallerId> works;
    std::map<WorkId, Parked> parkedWorks;
    WorkId lastWork = 0;
};

} // namespace Nutmegrill
