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

/// The requests of an entry by caller, and the works that execute them.
class RequestTable
{
public:
    using CallerId = EntryEvent::CallerId;
    using WorkId = EntryEvent::WorkId;

    enum class Phase {
        Queued,
        Running,
        Resuming, ///< the work broke; waits for a link to the same agent
        Done      ///< answered; kept until all events are acknowledged
    };

    struct Row
    {
        CallerId caller = 0;
        WorkMessage::Request request;
        bool model = false;
        /// Buffer limit of the client account when the request was accepted.
        std::uint64_t accountBufferBytes = 0;
        Phase phase = Phase::Queued;
        /// Queued as a suspect, separately from the other requests of the client account.
        bool queuedAsSuspect = false;
        Instant deadline;
        /// A request that has not started by then is rejected.
        Instant startBy;
        /// Agent of the current or last work.
        std::string agent;
        /// Agent of the last failed attempt; other agents are preferred.
        std::string avoidedAgent;
        WorkId work = 0;
        /// Request id of the current work; differs from the caller's after a continuation.
        std::string workRequestId;
        /// The current work only reads the rest of an answer from the agent and runs nothing.
        bool tailOnly = false;
        /// An attempt may have run, so a non-idempotent call must not be sent again.
        bool mayHaveRun = false;
        std::uint32_t attempts = 0;
        /// Agent of each attempt, in order.
        std::vector<std::string> attemptAgents;
        std::uint32_t resumes = 0;
        std::uint32_t continuations = 0;
        Instant resumeUntil;

        bool headSent = false;
        /// One agent holds the whole answer; the event ids contain its name.
        bool resumable = true;
        /// Index of the next event for the caller. The event index of the current work is lower by
        /// \a offset.
        std::uint64_t nextEvent = 0;
        std::uint64_t offset = 0;
        /// Text generated so far, for a continuation on another agent.
        std::string text;
        std::uint64_t textEvents = 0;
        /// The text so far is unknown or too long, so that no other agent can continue it.
        bool textUnavailable = false;
        /// The answer is generated again from the beginning; events that the caller has are
        /// dropped.
        bool replay = false;
        /// Index of the next event of a replay whose text is not in \a text yet.
        std::uint64_t replayIndex = 0;
        /// The engine has reported the end of the text, and the "[DONE]" event was forwarded.
        bool finished = false;
        bool doneSent = false;

        /// Events not yet written to the caller's connection: index, and value of sentBytes at the
        /// end of the event.
        std::deque<std::pair<std::uint64_t, std::uint64_t>> unread;
        std::uint64_t sentBytes = 0;
        /// Index up to which events are acknowledged, and the one to acknowledge next.
        std::uint64_t acked = 0;
        std::uint64_t nextAckIndex = 0;
        Instant nextAckTime;
        bool paused = false;
        /// Start of the current backlog window, and the bytes that the caller had read by then.
        Instant backlogSince = NoDeadline;
        std::uint64_t takenAtBacklogStart = 0;
    };

    using Rows = std::map<CallerId, Row>;

    Row &add(CallerId caller) { return this->rows[caller]; }
    Row *find(CallerId caller);
    Row *findByWork(WorkId work);
    /// Assigns a new work number to the row.
    WorkId startWork(Row &row);
    /// Removes the association between the row and its work.
    void endWork(Row &row);
    void erase(CallerId caller);
    Rows &all() { return this->rows; }
    const Rows &all() const { return this->rows; }

    /// A paused work whose caller has disconnected; kept until the deadline so that the caller can
    /// resume it.
    struct DetachedWork
    {
        std::string requestId;
        Instant deadline;
    };
    std::map<WorkId, DetachedWork> &detachedWorks() { return this->detached; }

private:
    Rows rows;
    std::map<WorkId, CallerId> works;
    std::map<WorkId, DetachedWork> detached;
    WorkId lastWork = 0;
};

} // namespace Nutmegrill
