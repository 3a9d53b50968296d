#include "Duties/DutyLease.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Between two attempts to take a lock, or to write after a failure.
constexpr milliseconds RetryPeriod{300};

} // namespace

bool DutyLease::holds(Instant now) const
{
    return this->state == State::Holding && now >= this->actsFrom && now < this->rightUntil;
}

void DutyLease::giveUp(Instant now)
{
    this->state = State::Idle;
    this->lease = 0;
    this->renewAt = NoDeadline;
    this->rightUntil = now;
    this->actsFrom = NoDeadline;
    this->pendingRecord.reset();
    this->nextAttemptAt = now + RetryPeriod;
}

void DutyLease::note(const DutyRecord &seen)
{
    this->highestToken = std::max(this->highestToken, seen.token);
    if (seen.window > this->latest.window)
        this->latest = seen;
}

void DutyLease::extendRight()
{
    this->rightUntil = std::max(this->rightUntil, this->openSince + this->times.right);
    this->renewAt = this->openSince + this->times.renewal;
}

std::optional<DutyCommand::Any> DutyLease::begin(Instant now, const DutyCommand::Any &command)
{
    this->open = command;
    this->openSince = now;
    return command;
}

std::optional<DutyCommand::Any> DutyLease::raiseToken(Instant now, const DutyView &view)
{
    // The write may have been done although its answer was lost.
    if (view.record.holder == this->self && view.record.token == this->record.token
        && view.record.token != 0) {
        this->record = view.record;
        this->recordRevision = view.recordRevision;
        this->state = State::Holding;
        return std::nullopt;
    }
    DutyRecord next = view.record.window >= this->latest.window ? view.record : this->latest;
    next.token = this->highestToken + 1;
    next.holder = this->self;
    // Repeats name the same token; only a record that changed asks for a higher one.
    if (this->record.holder == this->self && view.recordRevision == this->recordRevision)
        next.token = this->record.token;
    this->record = next;
    this->recordRevision = view.recordRevision;
    return this->begin(now, DutyCommand::WriteRecord{next, view.recordRevision});
}

std::optional<DutyCommand::Any> DutyLease::tick(Instant now, const DutyView &view, bool isCandidate)
{
    this->note(view.record);
    // A right that has run out does not come back: the lock may be another one's.
    if (this->lease != 0 && now >= this->rightUntil)
        this->giveUp(now);
    if (this->open || now < this->nextAttemptAt)
        return std::nullopt;
    if (this->lease != 0 && now >= this->renewAt)
        return this->begin(now, DutyCommand::RenewLease{this->lease});
    switch (this->state) {
    case State::Idle:
        if (!isCandidate || view.lockOwner)
            return std::nullopt;
        this->state = State::Granting;
        return this->begin(now, DutyCommand::GrantLease{});
    case State::Granting:
        return std::nullopt;
    case State::Locking:
        return this->begin(now, DutyCommand::CreateLock{this->lease});
    case State::Token:
        return this->raiseToken(now, view);
    case State::Holding:
        break;
    }
    if (!this->pendingRecord || !this->holds(now))
        return std::nullopt;
    if (view.recordRevision > this->recordRevision) {
        if (view.record.holder != this->self) {
            this->giveUp(now);
            return std::nullopt;
        }
        // An earlier write whose answer was lost has been done.
        this->recordRevision = view.recordRevision;
        this->record = view.record;
        if (this->record == *this->pendingRecord) {
            this->pendingRecord.reset();
            return std::nullopt;
        }
    }
    return this->begin(now, DutyCommand::WriteRecord{*this->pendingRecord, this->recordRevision});
}

void DutyLease::resultArrived(Instant now, Outcome outcome, std::uint64_t granted,
                              std::uint64_t revision)
{
    if (!this->open)
        return;
    const DutyCommand::Any command = *std::exchange(this->open, std::nullopt);
    if (outcome != Outcome::Done)
        this->nextAttemptAt = now + RetryPeriod;
    if (std::holds_alternative<DutyCommand::GrantLease>(command)) {
        if (outcome != Outcome::Done || this->state != State::Granting) {
            this->giveUp(now);
            return;
        }
        this->lease = granted;
        this->state = State::Locking;
        this->extendRight();
    } else if (const auto *renewal = std::get_if<DutyCommand::RenewLease>(&command)) {
        if (renewal->lease != this->lease)
            return;
        if (outcome == Outcome::Done)
            this->extendRight();
        else if (outcome == Outcome::Refused)
            this->giveUp(now);
    } else if (const auto *lock = std::get_if<DutyCommand::CreateLock>(&command)) {
        if (lock->lease != this->lease)
            return;
        // A lock whose creation is unknown ends with its lease, which is not renewed any more.
        if (outcome != Outcome::Done) {
            this->giveUp(now);
            return;
        }
        this->state = State::Token;
        this->actsFrom = now + this->times.pause;
    } else if (const auto *write = std::get_if<DutyCommand::WriteRecord>(&command)) {
        if (outcome != Outcome::Done || write->record.holder != this->self || this->lease == 0)
            return;
        this->record = write->record;
        this->recordRevision = revision;
        this->note(this->record);
        if (this->state == State::Token)
            this->state = State::Holding;
        if (this->pendingRecord && *this->pendingRecord == this->record)
            this->pendingRecord.reset();
    }
}

} // namespace Nutmegrill
