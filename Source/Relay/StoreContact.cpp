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

StoreContact::StoreContact(milliseconds heartbeatPeriod) : heartbeatPeriod(heartbeatPeriod) {}

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
    this->rowsExpireAt =
            at + std::max(MinOutage, HeartbeatsUntilRowsExpire * this->heartbeatPeriod);
    return isGap && ownCallsFail && this->confirmOutage();
}

bool StoreContact::recordPeerOutage(Instant at)
{
    return this->lastGap && at > this->lastGap->beganAt
           && at <= this->lastGap->endedAt + PeerTolerance && this->confirmOutage();
}

bool StoreContact::confirmOutage()
{
    if (this->lastGap->isOutage)
        return false;
    this->lastGap->isOutage = true;
    this->outageEndedAt = this->lastGap->endedAt;
    return true;
}

void StoreContact::recordRestore(Instant now)
{
    this->outageEndedAt = now;
}

void StoreContact::noteTime(Instant now)
{
    if (this->notedAt && now >= *this->notedAt + MinPause)
        this->rowsExpireAt += now - *this->notedAt;
    this->notedAt = now;
}

milliseconds StoreContact::gapLength() const
{
    return this->lastGap ? std::chrono::duration_cast<milliseconds>(this->lastGap->endedAt
                                                                    - this->lastGap->beganAt)
                         : milliseconds(0);
}

} // namespace Nutmegrill
