#include "Agent/WorkAdmission.h"

#include "Agent/WorkFailure.h"
#include "Core/Hash.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds MaxIsolationWait = std::chrono::seconds(30);

bool isResume(const WorkMessage::Request &request)
{
    return request.resumeOnly || request.firstEvent > 0;
}

std::uint64_t fingerprintOf(const WorkMessage::Request &request)
{
    if (request.fingerprint != 0)
        return request.fingerprint;
    return hash64(request.body, hash64(request.service, hash64(request.account)));
}

} // namespace

void WorkAdmission::handleArrival(const AgentTurn &turn, const AgentEvent::WorkArrived &event)
{
    const WorkMessage::Request &request = event.request;
    if (this->state.findAuthenticatedLink(event.link) == nullptr) {
        turn.commands.emplace_back(AgentCommand::SendWork{
                event.work, makeFailure(RunState::NotRun, 403, "no_hello", "unknown link")});
        return;
    }
    this->state.credits.recordActivity(turn.now, event.link);
    const bool hasCredit = !isResume(request) && this->state.credits.start(turn.now, event.link);
    if (RequestRow *row = this->state.findRequest(request.requestId); row != nullptr) {
        this->attachToRequest(turn, *row, event);
        return;
    }
    if (isResume(request)) {
        this->state.fail(
                turn, event.work, request.requestId,
                makeFailure(RunState::Unknown, 410, "tail_gone", "the answer is not kept here"));
        return;
    }
    auto failure = this->checkRequest(turn, request);
    if (!failure.has_value())
        failure = this->checkBackend();
    if (!failure.has_value())
        failure = this->claims.checkOwnClaim(turn, request);
    if (!failure.has_value())
        failure = this->checkCapacity(turn, request, hasCredit);
    if (!failure.has_value()) {
        this->admit(turn, event, fingerprintOf(request));
        return;
    }
    this->state.recordRecent(request, failure->code, failure->run);
    this->state.fail(turn, event.work, request.requestId, *failure);
}

void WorkAdmission::cancel(const AgentTurn &turn, const AgentEvent::WorkCancelled &event)
{
    RequestRow *row = this->state.findRequestOfWork(event.work);
    if (row == nullptr)
        return;
    if (row->isStarted() && row->isClaimed()) {
        // The request keeps running, because its answer must be recorded.
        this->answers.detach(turn, *row);
        return;
    }
    this->state.workStreams.erase(event.work);
    this->state.recordRecent(row->request, "cancelled",
                             row->isStarted() ? RunState::Unknown : RunState::NotRun);
    if (row->phase == RequestRow::Phase::Running)
        turn.commands.emplace_back(AgentCommand::CancelBackend{row->request.requestId});
    if (row->phase == RequestRow::Phase::Claiming)
        this->state.claims.withdraw(row->claimKey);
    this->state.requests.erase(std::string(row->request.requestId));
}

void WorkAdmission::startSuspects(const AgentTurn &turn)
{
    std::vector<std::string> timedOut;
    std::vector<std::string> quarantined;
    for (auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Alone)
            continue;
        if (this->state.crashes.isQuarantined(turn.now, row.fingerprint))
            quarantined.push_back(id);
        else if (row.startDeadline <= turn.now || this->state.limit() == 0)
            timedOut.push_back(id);
    }
    for (const std::string &id : quarantined)
        this->state.failRequest(turn, id, quarantinedFailure());
    for (const std::string &id : timedOut)
        this->state.failRequest(turn, id, rejectNotRun("suspect", "it cannot run alone here"));
    const bool busy = std::any_of(
            this->state.requests.begin(), this->state.requests.end(), [](const auto &entry) {
                return entry.second.isActive() && entry.second.phase != RequestRow::Phase::Alone;
            });
    if (busy)
        return;
    for (auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Alone)
            continue;
        this->begin(turn, row);
        return;
    }
}

void WorkAdmission::attachToRequest(const AgentTurn &turn, RequestRow &row,
                                    const AgentEvent::WorkArrived &event)
{
    const WorkMessage::Request &request = event.request;
    const bool differs = request.account != row.request.account
                         || request.service != row.request.service
                         || (!isResume(request) && request.body != row.request.body);
    if (differs) {
        this->state.fail(turn, event.work, request.requestId,
                         makeFailure(RunState::NotRun, 422, "request_id_used",
                                     "the request id belongs to another call"));
        return;
    }
    if (!row.tail.retainsFrom(request.firstEvent)
        || (!this->state.settings.mechanisms.tails && row.isStarted())) {
        this->state.fail(turn, event.work, request.requestId,
                         makeFailure(RunState::Unknown, 410, "tail_gone",
                                     "the answer is no longer kept from that event on"));
        return;
    }
    if (row.work != 0) {
        this->state.workStreams.erase(row.work);
        this->state.fail(turn, row.work, request.requestId,
                         makeFailure(RunState::Running, 409, "taken_over",
                                     "another stream reads this answer"));
    }
    this->answers.attach(turn, row, event);
}

std::optional<WorkMessage::Failure>
WorkAdmission::checkRequest(const AgentTurn &turn, const WorkMessage::Request &request) const
{
    const AgentSettings &settings = this->state.settings;
    if (request.service != settings.service)
        return makeFailure(RunState::NotRun, 404, "other_service",
                           "this agent serves " + settings.service);
    if (!request.idempotent && request.idempotencyKey.empty())
        return makeFailure(RunState::NotRun, 400, "key_required",
                           "a call that is not idempotent needs an Idempotency-Key");
    if (settings.mechanisms.crashIsolation
        && this->state.crashes.isQuarantined(turn.now, fingerprintOf(request)))
        return quarantinedFailure();
    return std::nullopt;
}

std::optional<WorkMessage::Failure> WorkAdmission::checkBackend() const
{
    using Status = PeerMessage::BackendStatus::State;
    if (this->state.limit() > 0)
        return std::nullopt;
    switch (this->state.status()) {
    case Status::Leaving:
        return rejectNotRun("leaving", "the backend server is leaving");
    case Status::Out:
        return rejectNotRun("out", "the failure domain is out of service");
    default:
        return rejectNotRun("down", "the backend server is not reachable");
    }
}

std::optional<WorkMessage::Failure>
WorkAdmission::checkCapacity(const AgentTurn &turn, const WorkMessage::Request &request,
                             bool hasCredit) const
{
    if (!this->state.settings.mechanisms.arrivalCheck)
        return std::nullopt;
    if (this->state.isIsolating(turn.now)
        && !this->state.crashes.isSuspect(turn.now, fingerprintOf(request)))
        return rejectNotRun("isolating", "a suspect request runs alone");
    // Without a valid credit, slots that are granted to other links do not count as free.
    const std::uint64_t promised = hasCredit ? 0 : this->state.credits.outstanding(turn.now);
    if (this->state.active() + promised >= this->state.limit())
        return rejectNotRun("no_credit", "the backend server bears no more requests");
    const ServiceDeclaration *service = this->state.service();
    if (service == nullptr || service->kvBytes == 0)
        return std::nullopt;
    const std::uint64_t projected = this->state.projectedKvBytes(request);
    if (projected > service->kvBytes)
        return makeFailure(RunState::NotRun, 413, "exceeds_kv_memory",
                           "the answer may outgrow the memory of a backend server");
    if (this->state.projectedKvBytes() + projected > service->kvBytes)
        return rejectNotRun("kv_memory", "the backend server has no memory for the answer");
    return std::nullopt;
}

void WorkAdmission::admit(const AgentTurn &turn, const AgentEvent::WorkArrived &event,
                          std::uint64_t fingerprint)
{
    const std::string &id = event.request.requestId;
    RequestRow &row = this->state.requests[id];
    row.request = event.request;
    row.fingerprint = fingerprint;
    if (!event.request.idempotent)
        row.claimKey = ClaimKeeper::keyOf(event.request);
    this->answers.attach(turn, row, event);
    if (this->state.settings.mechanisms.crashIsolation
        && this->state.crashes.isSuspect(turn.now, fingerprint)) {
        row.phase = RequestRow::Phase::Alone;
        const bool limited = event.request.remaining.count() > 0;
        row.startDeadline = turn.now
                            + (limited ? std::min(event.request.remaining, MaxIsolationWait)
                                       : MaxIsolationWait);
        return;
    }
    this->begin(turn, row);
}

void WorkAdmission::begin(const AgentTurn &turn, RequestRow &row)
{
    if (row.isClaimed() && this->state.settings.mechanisms.claims) {
        this->claims.begin(turn, row);
        return;
    }
    this->state.callBackend(turn, row);
}

} // namespace Nutmegrill
