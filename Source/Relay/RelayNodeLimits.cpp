// The part of RelayNode that keeps the limits which backend servers name.

#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Parts of a limit change only with the entries and the limit.
constexpr milliseconds SharePeriod{500};
/// Entries that get no answer of the backend server learn of its limit from the others.
constexpr milliseconds ReportPeriod{500};
/// Older statements are not repeated.
constexpr std::chrono::seconds StatementLifetime{10};
/// Limits in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedLimits = 16;

} // namespace

RelayNode::BackendUse &RelayNode::useOf(const BackendRoster::Row &row)
{
    BackendUse &use = this->backendUses[row.record.id];
    if (use.incarnation != row.record.incarnation) {
        use.incarnation = row.record.incarnation;
        use.limit = {};
        use.pausedUntil = use.resumeAt = {};
    }
    return use;
}

bool RelayNode::observeLimit(Instant at, const std::string &backend,
                             std::optional<double> requestsPerSecond, Commands &commands)
{
    const BackendRoster::Row *row = this->backends.find(backend);
    if (row == nullptr)
        return false;
    BackendUse &use = this->useOf(*row);
    if ((!requestsPerSecond && !use.limit.requestsPerSecond())
        || !use.limit.observe(at, requestsPerSecond))
        return false;
    use.limitShareUntil = {};
    commands.push_back(RelayCommand::Log{LogRecord{
            RelayLog::BackendLimited, LogRecord::Level::Info,
            "backend=" + backend + " per_second="
                    + (requestsPerSecond ? std::to_string(*requestsPerSecond) : "none")}});
    return true;
}

void RelayNode::recordNamedLimit(Instant now, const Attempt &attempt, const AnswerHead &head,
                                 Commands &commands)
{
    // An answer without a limit may have been on its way when the limit began.
    const Instant at = head.requestsPerSecond ? now : attempt.sentAt;
    const bool changed = this->observeLimit(at, attempt.backend, head.requestsPerSecond, commands);
    BackendUse &use = this->backendUses[attempt.backend];
    if (changed || (head.requestsPerSecond && use.limitReportAt == NoDeadline))
        use.limitReportAt = now;
}

void RelayNode::fillLimits(Instant now, std::vector<EntryReport::Limit> &limits)
{
    using Row = std::pair<const std::string, BackendUse>;
    std::vector<Row *> due;
    for (Row &row : this->backendUses) {
        if (now >= row.second.limitReportAt)
            due.push_back(&row);
    }
    std::sort(due.begin(), due.end(), [](const Row *left, const Row *right) {
        return left->second.limitReportAt < right->second.limitReportAt;
    });
    for (Row *row : due) {
        auto &[backend, use] = *row;
        const Instant observedAt = use.limit.observedAt();
        if (now > observedAt + StatementLifetime) {
            use.limitReportAt = NoDeadline;
            continue;
        }
        if (limits.size() == MaxReportedLimits)
            return;
        use.limitReportAt = now + ReportPeriod;
        limits.push_back({this->incarnationOf(backend), use.limit.requestsPerSecond(),
                          std::chrono::duration_cast<milliseconds>(now - observedAt)});
    }
}

bool RelayNode::hasLimitCapacity(Instant now, const std::string &backend, BackendUse &use,
                                 std::uint32_t entries) const
{
    if (!use.limit.requestsPerSecond())
        return true;
    if (now >= use.limitShareUntil) {
        // The entries agree on those among them that get one of the requests left over.
        const std::uint32_t total = use.limit.requestsPerWindow();
        const bool getsMore = this->peers.isAmongChosen(
                "limit/" + backend, this->settings.peerAddress, total % entries, now);
        use.limitShareUntil = now + SharePeriod;
        use.limitShare = total / entries + (getsMore ? 1 : 0);
    }
    return use.limit.hasCapacity(now, use.limitShare);
}

} // namespace Nutmegrill
