#pragma once

#include "Core/Time.h"
#include "Duties/DutyCommand.h"
#include "Duties/DutyView.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// Decides whether this process holds a duty that one process has at a time, and with which fencing
/// token. Whoever receives the duty's calls checks nothing.
///
/// A lock in the store under a lease makes the holder. Three spans keep two holders apart, each by
/// the clock of one process alone:
///
/// - a holder acts until a part of the lease's lifetime after it sent the latest renewal that was
///   acknowledged; the store ends the lease later than that;
/// - a new holder acts only after a pause that covers calls of the previous one that are on their
///   way, and the time within which the duty must not return to an earlier holder;
/// - the token is raised in a record without a lease by compare-and-swap before the first act, so
///   that a writer that has lost the lock can change nothing any more.
class DutyLease
{
public:
    struct Times
    {
        std::chrono::milliseconds lifetime{3000};
        std::chrono::milliseconds renewal{700};
        /// From the sending of a renewal.
        std::chrono::milliseconds right{2000};
        /// Before the first act.
        std::chrono::milliseconds pause{3300};
    };

    enum class Outcome {
        Done,
        Refused, ///< a precondition failed, or the lease has ended
        Unknown  ///< no usable answer: it may have been done, or be done later
    };

    /// \a self names this start of this process.
    DutyLease(std::string self, const Times &times) : self(std::move(self)), times(times) {}

    /// The next call to the store, if one is due. Only candidates take a free lock.
    std::optional<DutyCommand::Any> tick(Instant now, const DutyView &view, bool isCandidate);

    /// \a lease is the granted one, \a revision that of the written record.
    void resultArrived(Instant now, Outcome outcome, std::uint64_t lease, std::uint64_t revision);

    /// Whether this process may act on the duty now, and until when at the latest.
    bool holds(Instant now) const;
    Instant rightEndsAt() const { return this->rightUntil; }

    std::uint64_t token() const { return this->record.token; }
    const DutyRecord &currentRecord() const { return this->record; }

    /// The holder replaces the record of the duty, keeping its token. Written by one of the next
    /// ticks; hasPendingRecord() tells when that is done.
    void replaceRecord(const DutyRecord &next) { this->pendingRecord = next; }
    bool hasPendingRecord() const { return this->pendingRecord.has_value(); }

    /// The lease to be ended by a planned stop; 0 if there is none.
    std::uint64_t leaseToEnd() const { return this->lease; }

private:
    enum class State {
        Idle,
        Granting,
        Locking,
        Token, ///< has the lock, and raises the token
        Holding
    };

    void note(const DutyRecord &seen);
    std::optional<DutyCommand::Any> begin(Instant now, const DutyCommand::Any &command);
    std::optional<DutyCommand::Any> raiseToken(Instant now, const DutyView &view);
    void giveUp(Instant now);
    void extendRight();

    std::string self;
    Times times;
    State state = State::Idle;
    std::uint64_t lease = 0;
    /// Call to the store that is open, and when it was sent.
    std::optional<DutyCommand::Any> open;
    Instant openSince;
    Instant nextAttemptAt;
    Instant renewAt = NoDeadline;
    Instant rightUntil;
    Instant actsFrom = NoDeadline;
    DutyRecord record;
    std::uint64_t recordRevision = 0;
    std::optional<DutyRecord> pendingRecord;
    /// The highest token, and the latest report, in any record that was seen. A store that comes
    /// back from an older copy has forgotten them.
    std::uint64_t highestToken = 0;
    DutyRecord latest;
};

} // namespace Nutmegrill
