#include "Relay/StoreContact.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// A row expires after three heartbeats without a renewal. Its last renewal may be one heartbeat
/// older than the last answer of the store.
constexpr int HeartbeatsUntilRowsExpire = 2;
/// A watch without changes is answered after 1.5 s, so a single watcher has shorter gaps than this
/// between two answers, also when a watch is cut.
constexpr milliseconds MinOutage{2000};
/// The loop ticks each 20 ms; a process that decides nothing for this long has been paused.
constexpr milliseconds MinPause{500};
/// Entries learn of the end of an outage from different answers; reports are at most a second
/// apart.
constexpr milliseconds PeerTolerance{1000};

} // namespace

StoreContact::StoreContact(milliseconds heartbeatPeriod)
    : expiryTime(std::max(MinOutage, HeartbeatsUntilRowsExpire * heartbeatPeriod))
{}

bool StoreContact::recordAnswer(Instant now, milliseconds age, bool ownCallsFail)
{
    this->noteTime(now);
    const Instant at = now - age;
    if (this->lastAnswerAt && at <= *this->lastAnswerAt)
        return false;
    const bool isGap = this->lastAnswerAt && at >= this->rowsExpireAt;
    if (isGap)
        this->lastGap = Gap{*this->lastAnswerAt, at};
    this->lastAnswerAt = at;
    this->rowsExpireAt = at + this->expiryTime;
    return isGap && ownCallsFail && at >= this->judgesFrom
           && this->confirmOutage(this->lastGap->endedAt);
}

bool StoreContact::recordPeerOutage(Instant at)
{
    return this->lastGap && at > this->lastGap->beganAt
           && at <= this->lastGap->endedAt + PeerTolerance
           && this->confirmOutage(std::min(at, this->lastGap->endedAt));
}

bool StoreContact::confirmOutage(Instant endedAt)
{
    if (this->lastGap->isOutage)
        return false;
    this->lastGap->isOutage = true;
    this->outageEndedAt = endedAt;
    return true;
}

void StoreContact::recordRestore(Instant now)
{
    this->outageEndedAt = now;
}

void StoreContact::noteTime(Instant now)
{
    if (!this->notedAt) {
        this->judgesFrom = now + this->expiryTime;
    } else if (const auto pause = now - *this->notedAt; pause >= MinPause) {
        this->rowsExpireAt += pause;
        this->judgesFrom += pause;
    }
    this->notedAt = now;
}

milliseconds StoreContact::gapLength() const
{
    return this->lastGap ? std::chrono::duration_cast<milliseconds>(this->lastGap->endedAt
                                                                    - this->lastGap->beganAt)
                         : milliseconds(0);
}

} // namespace Nutmegrill
