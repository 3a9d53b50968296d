// The part of RelayNode that keeps what backend servers say about themselves in their answers.

#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

namespace Nutmegrill {

namespace {

/// Reports that tell the others of a backend server that leaves; they are datagrams.
constexpr std::uint32_t LeavingReports = 3;
/// Leaving backend servers in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedLeaving = 16;

} // namespace

void RelayNode::recordNotices(const Attempt &attempt, const AnswerHead &head, Commands &commands)
{
    if (head.isLeaving
        && this->recordLeaving(attempt.backend, attempt.incarnation, "answer", commands))
        this->leavingNews[this->incarnationOf(attempt.backend)] = LeavingReports;
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
