#include "Duties/UsageReporter.h"

#include "Duties/DutyLease.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Counts of the last requests of a window arrive within this time.
constexpr milliseconds SettleTime{800};
/// Part of the time to the due time for which the counts of silent entries are waited for.
constexpr int WaitPercent = 60;
constexpr milliseconds ResendPeriod{400};
/// Older windows cannot be reported: their counts are forgotten.
constexpr std::uint64_t MaxBacklog = 8;

} // namespace

std::optional<std::uint64_t> UsageReporter::nextWindow(WallTime wallNow, const DutyLease &lease,
                                                       const UsageCounts &counts,
                                                       const std::vector<std::string> &entries)
{
    const std::uint64_t present = counts.windowOf(wallNow);
    const DutyRecord &record = lease.currentRecord();
    const std::uint64_t oldest = present - std::min(present, MaxBacklog);
    // Without an earlier report, what ran before this process took the duty is unknown.
    const std::uint64_t next =
            record.window == 0 ? this->firstWindow : std::max(record.window + 1, oldest);
    const WallTime end = counts.endOf(next);
    if (wallNow < end + SettleTime)
        return std::nullopt;
    const WallTime latest = end + this->dueAfter * WaitPercent / 100;
    if (wallNow < latest && !counts.isComplete(next, entries))
        return std::nullopt;
    return next;
}

std::optional<UsageReport> UsageReporter::tick(Instant now, WallTime wallNow, DutyLease &lease,
                                               const UsageCounts &counts,
                                               const std::vector<std::string> &entries)
{
    if (!lease.holds(now) || lease.hasPendingRecord())
        return std::nullopt;
    if (this->token != lease.token()) {
        this->token = lease.token();
        this->firstWindow = counts.windowOf(wallNow);
        this->takenWindow = 0;
        this->isSending = false;
    }
    const DutyRecord &record = lease.currentRecord();
    if (record.window != 0 && this->takenWindow != record.window) {
        // A report that is open may still be taken; the same one is sent again.
        if (this->isSending || now < this->nextSendAt)
            return std::nullopt;
        this->isSending = true;
        return UsageReport{lease.token(), record.window, record.counts};
    }
    if (const auto window = this->nextWindow(wallNow, lease, counts, entries)) {
        DutyRecord next = record;
        next.window = *window;
        next.counts = counts.total(*window);
        lease.replaceRecord(next);
    }
    return std::nullopt;
}

void UsageReporter::answerArrived(Instant now, std::uint64_t window, bool isTaken)
{
    this->isSending = false;
    if (isTaken)
        this->takenWindow = window;
    else
        this->nextSendAt = now + ResendPeriod;
}

} // namespace Nutmegrill
