// The part of RelayNode that keeps what backend servers say about themselves in their answers.

#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

/// Reports that tell the others of a backend server that leaves; they are datagrams.
constexpr std::uint32_t LeavingReports = 3;
/// Leaving backend servers in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedLeaving = 16;
/// Longer pauses are cut: the backend server can ask again.
constexpr std::chrono::milliseconds MaxPause{60000};
/// The entries come back at different times within this part of the pause, and each of them uses
/// all slots only some time later.
constexpr double ResumeSpread = 0.25;
constexpr std::chrono::milliseconds MaxResumeSpread{1000};
constexpr std::chrono::milliseconds RampTime{1000};

} // namespace

void RelayNode::recordNotices(Instant now, const Attempt &attempt, const AnswerHead &head,
                              Commands &commands)
{
    if (head.pause || head.hasUnreadablePause)
        this->recordPause(now, attempt, head, commands);
    if (head.isLeaving
        && this->recordLeaving(attempt.backend, attempt.incarnation, "answer", commands))
        this->leavingNews[this->incarnationOf(attempt.backend)] = LeavingReports;
}

void RelayNode::recordPause(Instant now, const Attempt &attempt, const AnswerHead &head,
                            Commands &commands)
{
    if (!head.pause) {
        commands.push_back(RelayCommand::Log{LogRecord{
                RelayLog::PauseUnreadable, LogRecord::Level::Warning,
                "backend=" + attempt.backend + " status=" + std::to_string(head.status)}});
        return;
    }
    const BackendRoster::Row *row = this->backends.find(attempt.backend);
    if (row == nullptr || row->record.incarnation != attempt.incarnation)
        return;
    BackendUse &use = this->useOf(*row);
    const std::chrono::milliseconds pause = std::min(*head.pause, MaxPause);
    if (now + pause <= use.pausedUntil)
        return;
    const bool isNew = use.pausedUntil <= now;
    use.pausedUntil = now + pause;
    const double spread = std::min<double>(ResumeSpread * static_cast<double>(pause.count()),
                                           static_cast<double>(MaxResumeSpread.count()));
    use.resumeAt =
            use.pausedUntil
            + std::chrono::milliseconds(static_cast<std::int64_t>(this->random.unit() * spread));
    if (isNew)
        commands.push_back(RelayCommand::Log{LogRecord{
                RelayLog::BackendPauses, LogRecord::Level::Info,
                "backend=" + attempt.backend + " pause_ms=" + std::to_string(pause.count())}});
}

std::uint32_t RelayNode::slotsAfterPause(Instant now, const BackendUse &use, std::uint32_t slots)
{
    if (now < use.resumeAt)
        return 0;
    if (use.resumeAt == Instant() || now >= use.resumeAt + RampTime)
        return slots;
    const std::chrono::duration<double> since = now - use.resumeAt;
    return std::min(slots, 1 + static_cast<std::uint32_t>(slots * (since / RampTime)));
}

std::optional<Instant> RelayNode::endOfPauses(Instant now, const std::string &service) const
{
    std::optional<Instant> end;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now))
            continue;
        const auto use = this->backendUses.find(id);
        if (use == this->backendUses.end() || use->second.resumeAt <= now
            || use->second.incarnation != row.record.incarnation)
            return std::nullopt;
        end = std::min(end.value_or(use->second.resumeAt), use->second.resumeAt);
    }
    return end;
}

bool RelayNode::recordLeaving(const std::string &backend, std::uint64_t incarnation,
                              const char *source, Commands &commands)
{
    if (!this->backends.recordLeaving(backend, incarnation))
        return false;
    commands.push_back(RelayCommand::Log{
            LogRecord{RelayLog::BackendLeaves, LogRecord::Level::Info,
                      "backend=" + backend + " incarnation=" + std::to_string(incarnation)
                              + " source=" + source}});
    return true;
}

void RelayNode::fillLeaving(std::vector<std::string> &leaving)
{
    for (auto &[incarnation, reports] : this->leavingNews) {
        if (leaving.size() == MaxReportedLeaving)
            break;
        leaving.push_back(incarnation);
        --reports;
    }
    std::erase_if(this->leavingNews, [](const auto &row) { return row.second == 0; });
}

} // namespace Nutmegrill
