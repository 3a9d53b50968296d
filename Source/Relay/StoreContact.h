#pragma once

#include "Core/Time.h"

#include <chrono>
#include <optional>

namespace Nutmegrill {

/// When the store last answered this entry or another one, and when the last outage ended that was
/// long enough for rows of live backend servers to expire. No such outage is a single call that was
/// cut or slow, a store that only this entry does not reach, or a time in which this entry had not
/// started, or heard nothing of the others while none of its own calls failed.
class StoreContact
{
public:
    /// \a heartbeatPeriod: how often a backend server renews its row.
    explicit StoreContact(std::chrono::milliseconds heartbeatPeriod);

    /// The store answered this entry or another one \a age before \a now. \a ownCallsFail: the last
    /// call of this entry before that answer failed. Returns whether an outage has ended.
    bool recordAnswer(Instant now, std::chrono::milliseconds age, bool ownCallsFail);

    /// Another entry says that an outage ended at \a at, which is true for this entry as well if it
    /// knows of no answer in that outage. Returns whether that is new.
    bool recordPeerOutage(Instant at);

    /// The store came back from an older copy, from which rows may be missing.
    void recordRestore(Instant now);

    /// Called on each tick. Time for which this process was paused does not count as an outage,
    /// because it heard nobody.
    void noteTime(Instant now);

    /// When the last outage or restore ended.
    std::optional<Instant> returnedAt() const { return this->outageEndedAt; }

    /// Length of the last gap between two answers in which rows may have expired.
    std::chrono::milliseconds gapLength() const;

private:
    /// Between two answers, known to this entry.
    struct Gap
    {
        Instant beganAt;
        Instant endedAt;
        bool isOutage = false;
    };

    bool confirmOutage(Instant endedAt);

    /// Least time without a renewal after which rows may have expired.
    const std::chrono::milliseconds expiryTime;
    /// Before this time a gap may be older than this entry, which has not heard all answers.
    Instant judgesFrom;
    std::optional<Instant> lastAnswerAt;
    /// Rows may expire from this time on if no entry gets an answer before.
    Instant rowsExpireAt;
    /// The last gap in which rows may have expired.
    std::optional<Gap> lastGap;
    std::optional<Instant> outageEndedAt;
    std::optional<Instant> notedAt;
};

} // namespace Nutmegrill
