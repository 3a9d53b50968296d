#include "Agent/AgentState.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace Nutmegrill {

using Status = PeerMessage::BackendStatus::State;

namespace {

constexpr std::chrono::minutes CalledRequestRetention(10);

} // namespace

AgentState::AgentState(AgentSettings settings)
    : settings(std::move(settings)),
      claims(this->settings.name + "-" + std::to_string(this->settings.incarnation))
{}

const ServiceDeclaration *AgentState::service() const
{
    const ConfigurationPtr &configuration = this->spread.current();
    return configuration == nullptr ? nullptr : configuration->findService(this->settings.service);
}

bool AgentState::isOut() const
{
    return this->spread.isOut(this->settings.failureDomain) && this->settings.mechanisms.takeOut;
}

std::uint32_t AgentState::limit() const
{
    const ServiceDeclaration *service = this->service();
    if (service == nullptr || !this->backend.reachable || this->isOut())
        return 0;
    if (this->backend.leaving && this->settings.mechanisms.drain)
        return 0;
    return this->settings.mechanisms.warmup ? this->backend.warmup.limit() : service->warmRequests;
}

Status AgentState::status() const
{
    if (this->backend.leaving)
        return Status::Leaving;
    if (this->isOut())
        return Status::Out;
    if (!this->backend.reachable || this->service() == nullptr)
        return Status::Down;
    return this->backend.warmup.isWarm() ? Status::Warm : Status::Cold;
}

std::uint32_t AgentState::running() const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->requests.begin(), this->requests.end(), [](const auto &entry) {
                return entry.second.phase == RequestRow::Phase::Running;
            }));
}

std::uint32_t AgentState::active() const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->requests.begin(), this->requests.end(),
                          [](const auto &entry) { return entry.second.isActive(); }));
}

bool AgentState::isIsolating(Instant now) const
{
    if (!this->settings.mechanisms.crashIsolation)
        return false;
    return std::any_of(this->requests.begin(), this->requests.end(),
                       [this, now](const auto &entry) {
                           return entry.second.isActive()
                                  && this->crashes.isSuspect(now, entry.second.fingerprint);
                       });
}

bool AgentState::isSuspectRunning(Instant now) const
{
    return std::any_of(this->requests.begin(), this->requests.end(),
                       [this, now](const auto &entry) {
                           return entry.second.phase == RequestRow::Phase::Running
                                  && this->crashes.isSuspect(now, entry.second.fingerprint);
                       });
}

std::uint64_t AgentState::projectedKvBytes(const WorkMessage::Request &request) const
{
    const ServiceDeclaration *service = this->service();
    if (service == nullptr)
        return 0;
    return (request.promptTokens + request.maxTokens) * service->kvBytesPerToken;
}

std::uint64_t AgentState::projectedKvBytes() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, row] : this->requests)
        sum += row.isActive() ? this->projectedKvBytes(row.request) : 0;
    return sum;
}

RequestRow *AgentState::findRequest(const std::string &requestId)
{
    const auto found = this->requests.find(requestId);
    return found == this->requests.end() ? nullptr : &found->second;
}

RequestRow *AgentState::findRequestOfWork(AgentCommand::WorkId work)
{
    const auto found = this->workStreams.find(work);
    return found == this->workStreams.end() ? nullptr : this->findRequest(found->second);
}

LinkRow *AgentState::findAuthenticatedLink(AgentCommand::LinkId link)
{
    const auto found = this->links.find(link);
    return found == this->links.end() || !found->second.isAuthenticated ? nullptr : &found->second;
}

void AgentState::send(const AgentTurn &turn, AgentCommand::WorkId work,
                      WorkMessage::Any message) const
{
    turn.commands.emplace_back(AgentCommand::SendWork{work, std::move(message)});
}

void AgentState::fail(const AgentTurn &turn, AgentCommand::WorkId work,
                      const std::string &requestId, WorkMessage::Failure failure) const
{
    failure.run = this->correctedRunState(requestId, failure.run);
    failure.configurationVersion = this->spread.version();
    this->send(turn, work, std::move(failure));
}

RunState AgentState::correctedRunState(const std::string &requestId, RunState run) const
{
    return run == RunState::NotRun && this->sentRequests.count(requestId) != 0 ? RunState::Unknown
                                                                               : run;
}

void AgentState::recordRecent(const WorkMessage::Request &request, const std::string &code,
                              RunState run)
{
    std::vector<std::string> starts;
    if (this->sentRequests.count(request.requestId) != 0)
        starts.push_back(this->settings.name);
    this->recent.add(request, std::move(starts), code,
                     this->correctedRunState(request.requestId, run));
}

void AgentState::callBackend(const AgentTurn &turn, RequestRow &row)
{
    row.phase = RequestRow::Phase::Running;
    row.startDeadline = NoDeadline;
    row.wasSentBefore = this->sentRequests.count(row.request.requestId) != 0;
    this->sentRequests[row.request.requestId] = turn.now + CalledRequestRetention;
    turn.commands.emplace_back(AgentCommand::CallBackend{row.request});
}

void AgentState::failRequest(const AgentTurn &turn, const std::string &requestId,
                             const WorkMessage::Failure &failure)
{
    const auto found = this->requests.find(requestId);
    if (found == this->requests.end())
        return;
    this->recordRecent(found->second.request, failure.code, failure.run);
    if (found->second.work != 0) {
        this->workStreams.erase(found->second.work);
        this->fail(turn, found->second.work, requestId, failure);
    }
    this->requests.erase(found);
}

void AgentState::broadcast(const AgentTurn &turn, const PeerMessage::Any &message,
                           AgentCommand::LinkId except) const
{
    for (const auto &[link, row] : this->links) {
        if (row.isAuthenticated && link != except)
            turn.commands.emplace_back(AgentCommand::SendPeer{link, message});
    }
}

void AgentState::log(const AgentTurn &turn, std::uint32_t number, LogRecord::Level level,
                     std::string text) const
{
    turn.commands.emplace_back(LogRecord{number, level, std::move(text)});
}

} // namespace Nutmegrill
