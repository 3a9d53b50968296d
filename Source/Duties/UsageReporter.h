#pragma once

#include "Core/Time.h"
#include "Duties/UsageCounts.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class DutyLease;

/// Report of one window, to be sent now.
struct UsageReport
{
    std::uint64_t token = 0;
    std::uint64_t window = 0;
    AccountCounts counts;
};

/// Decides which usage report the holder of the duty sends, and when. The counts of a window are
/// fixed in the record of the duty before they are sent for the first time; a report without an
/// answer is sent again as it is, also by the next holder.
class UsageReporter
{
public:
    using WallTime = UsageCounts::WallTime;

    /// \a dueAfter is the time after the end of a window by which its report has to be there.
    explicit UsageReporter(std::chrono::seconds dueAfter) : dueAfter(dueAfter) {}

    /// The report to send, if one is due. \a entries are the peer addresses of the other entries.
    std::optional<UsageReport> tick(Instant now, WallTime wallNow, DutyLease &lease,
                                    const UsageCounts &counts,
                                    const std::vector<std::string> &entries);

    /// Whether the receiver has taken the report.
    void answerArrived(Instant now, std::uint64_t window, bool isTaken);

private:
    /// The next window whose counts can be fixed; nullopt if none is over for long enough.
    std::optional<std::uint64_t> nextWindow(WallTime wallNow, const DutyLease &lease,
                                            const UsageCounts &counts,
                                            const std::vector<std::string> &entries);

    std::chrono::seconds dueAfter;
    /// Token under which this process holds the duty, and the window in which that began.
    std::uint64_t token = 0;
    std::uint64_t firstWindow = 0;
    /// The latest window whose report was taken.
    std::uint64_t takenWindow = 0;
    bool isSending = false;
    Instant nextSendAt;
};

} // namespace Nutmegrill
