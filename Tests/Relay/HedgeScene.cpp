#include "HedgeScene.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

using std::chrono::milliseconds;

HedgeScene::HedgeScene(double hedgeRatio, const std::vector<std::string> &served)
{
    this->node.setHedgeRatio(hedgeRatio);
    for (const std::string &path : served)
        this->serve(path, 100);
}

void HedgeScene::serve(const std::string &path, int requests)
{
    for (int number = 0; number < requests; ++number) {
        const auto caller = this->arrive(path);
        this->now += milliseconds(30);
        if (path == "/stream/") {
            this->streamHead(caller);
            this->event(caller, 1);
        } else {
            this->head(caller, 200);
        }
        this->end(caller);
        // The helpers search all commands.
        this->commands.clear();
    }
}

RelayCommand::CallerId HedgeScene::arriveLate(const std::string &path)
{
    const auto caller = this->arrive(path);
    this->advance(milliseconds(60));
    return caller;
}

std::vector<RelayCommand::AttemptId> HedgeScene::attemptIds(RelayCommand::CallerId caller) const
{
    std::vector<RelayCommand::AttemptId> ids;
    for (const auto &command : this->commands) {
        if (const auto *start = std::get_if<RelayCommand::StartAttempt>(&command);
            start != nullptr && start->caller == caller)
            ids.push_back(start->attempt);
    }
    return ids;
}

std::string HedgeScene::backendOf(RelayCommand::AttemptId attempt) const
{
    for (const auto &command : this->commands) {
        if (const auto *start = std::get_if<RelayCommand::StartAttempt>(&command);
            start != nullptr && start->attempt == attempt)
            return start->backend;
    }
    return {};
}

bool HedgeScene::isCancelled(RelayCommand::AttemptId attempt) const
{
    return std::any_of(this->commands.begin(), this->commands.end(), [&](const auto &command) {
        const auto *cancelled = std::get_if<RelayCommand::CancelAttempt>(&command);
        return cancelled != nullptr && cancelled->attempt == attempt;
    });
}

void HedgeScene::headOf(RelayCommand::AttemptId attempt, int status, bool isStream, bool notRun)
{
    AnswerHead answer;
    answer.status = status;
    answer.isStream = isStream;
    answer.notRun = notRun;
    this->node.headArrived(this->now, attempt, answer, this->commands);
}

void HedgeScene::eventOf(RelayCommand::AttemptId attempt, std::uint64_t id)
{
    this->node.eventArrived(this->now, attempt,
                            {id, std::to_string(attempt) + ":" + std::to_string(id)},
                            this->commands);
}

void HedgeScene::endOf(RelayCommand::AttemptId attempt)
{
    this->node.answerEnded(this->now, attempt, this->commands);
}

void HedgeScene::failOf(RelayCommand::AttemptId attempt, AttemptFailure failure)
{
    this->node.attemptFailed(this->now, attempt, failure, this->commands);
}

std::map<std::string, int> HedgeScene::outcomes() const
{
    std::map<std::string, int> counts;
    for (const auto &command : this->commands) {
        if (const auto *counted = std::get_if<RelayCommand::CountSecondAttempt>(&command))
            ++counts[*counted->reason == '\0' ? counted->outcome : counted->reason];
    }
    return counts;
}

std::uint32_t HedgeScene::usedSlots()
{
    EntryReport report;
    this->node.fillReport(this->now, report);
    std::uint32_t used = 0;
    for (const auto &[backend, running] : report.running)
        used += running;
    return used;
}

} // namespace Nutmegrill
