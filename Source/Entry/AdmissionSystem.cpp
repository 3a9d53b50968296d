#include "Entry/AdmissionSystem.h"

#include "Entry/Continuation.h"
#include "Entry/EntryLog.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

// Used when the caller sets no deadline.
constexpr std::chrono::seconds DefaultRequestTimeout(60);
// Time to connect to an agent that holds the tail of an answer and is outside the subset.
constexpr std::chrono::seconds ResumeConnectTimeout(2);
constexpr milliseconds MinRetryAfter(1000);
// A request may wait in the queue for 1/QueueTimeDivisor of its time limit. The rest is for the
// answer: a longer queue adds delay but no throughput, and an early rejection leaves the caller
// time to try elsewhere.
constexpr int QueueTimeDivisor = 4;

std::uint64_t costOf(const WorkMessage::Request &request)
{
    return request.promptTokens + request.maxTokens;
}

} // namespace

WorkMessage::Failure AdmissionSystem::failure(RunState run, int status, std::string code,
                                              std::string message)
{
    WorkMessage::Failure failure;
    failure.run = run;
    failure.status = status;
    failure.code = std::move(code);
    failure.message = std::move(message);
    if (status == 429 || status == 503)
        failure.retryAfter = MinRetryAfter;
    return failure;
}

void AdmissionSystem::fail(RequestTable::Row &row, const WorkMessage::Failure &failure)
{
    if (failure.code == "quarantined")
        this->tables.log(EntryLog::Quarantined, LogRecord::Level::Warning,
                         row.request.requestId + ": quarantined, not run again");
    this->tables.addCommand(EntryCommand::ReplyFailure{row.caller, failure});
    this->tables.recent.add(row.request, row.attemptAgents, failure.code, failure.run);
    this->tables.buffers.remove(row.caller);
    this->tables.requests.erase(row.caller);
}

bool AdmissionSystem::isSuspect(const WorkMessage::Request &request) const
{
    return request.fingerprint != 0
           && this->tables.crashes.isSuspect(this->tables.now, request.fingerprint);
}

std::uint32_t AdmissionSystem::weightOf(const std::string &account) const
{
    const ClientAccount *declared = this->tables.spread.current() == nullptr
                                            ? nullptr
                                            : this->tables.spread.current()->findAccount(account);
    return declared == nullptr ? 1 : declared->weight;
}

// Returns the flow of the fair queue in which the request waits. Suspects have a separate flow,
// because they may wait long for an idle agent and must not block other requests. The choice is
// stored in the row, because the fingerprint can become a suspect while the request waits.
std::string AdmissionSystem::flowOf(const RequestTable::Row &row) const
{
    return (row.queuedAsSuspect ? "suspects of " : "") + row.request.account;
}

std::optional<WorkMessage::Failure> AdmissionSystem::rejection(const RequestTable::Row &row,
                                                               bool ready, bool resumes)
{
    const WorkMessage::Request &request = row.request;
    if (this->tables.stopping && this->tables.settings.switches.gracefulStop
        && this->tables.now >= this->tables.stopNotBefore)
        return failure(RunState::NotRun, 503, "stopping", "this entry is stopping");
    if (!ready)
        return failure(RunState::NotRun, 503, "not_ready", "no configuration is in force here");
    if (this->tables.spread.current()->findService(request.service) == nullptr)
        return failure(RunState::NotRun, 404, "unknown_service", "no such service");
    if (this->tables.settings.switches.quarantine && request.fingerprint != 0
        && this->tables.crashes.isQuarantined(this->tables.now, request.fingerprint))
        return failure(RunState::NotRun, 422, "quarantined",
                       "this request crashed backend servers and is not run for some minutes");
    if (resumes)
        return std::nullopt;
    const FairQueue &queue = this->tables.service(request.service).queue;
    const ClientAccount *account = this->tables.spread.current()->findAccount(request.account);
    if (account != nullptr && queue.sizeOf(this->flowOf(row)) >= account->maxQueued)
        return failure(RunState::NotRun, 429, "too_many_queued",
                       "too many requests of this client account wait");
    const milliseconds wait =
            queue.expectedWait(this->flowOf(row), this->weightOf(request.account), costOf(request));
    if (this->tables.now + wait > row.startBy) {
        auto rejected = failure(RunState::NotRun, 503, "overloaded",
                                "the expected wait is too long for the deadline");
        rejected.retryAfter = std::max(wait, MinRetryAfter);
        return rejected;
    }
    return std::nullopt;
}

void AdmissionSystem::accept(const EntryEvent::CallerRequest &event, bool ready)
{
    RequestTable::Row &row = this->tables.requests.add(event.caller);
    row.caller = event.caller;
    row.request = event.request;
    row.deadline = this->tables.now
                   + (event.timeLimit > milliseconds(0) ? event.timeLimit : DefaultRequestTimeout);
    row.startBy = this->tables.now + (row.deadline - this->tables.now) / QueueTimeDivisor;
    row.queuedAsSuspect = this->isSuspect(event.request);
    if (const auto rejected = this->rejection(row, ready, !event.resumeAgent.empty())) {
        this->fail(row, *rejected);
        return;
    }
    row.model = this->tables.spread.current()->findService(row.request.service)->kind
                == ServiceDeclaration::Kind::Model;
    if (const auto *account = this->tables.spread.current()->findAccount(row.request.account))
        row.accountBufferBytes = account->bufferBytes;
    if (!event.resumeAgent.empty()) {
        this->resumeFrom(row, event.resumeAgent);
        return;
    }
    if (row.request.firstEvent > 0 && !this->replayFrom(row)) {
        this->fail(row, failure(RunState::Unknown, 410, "cannot_resume",
                                "the rest of this answer is lost; send the request anew"));
        return;
    }
    row.request.firstEvent = 0;
    row.request.resumeOnly = false;
    ServiceRow &service = this->tables.service(row.request.service);
    service.retries.recordFirstAttempt();
    service.queue.push(this->flowOf(row), this->weightOf(row.request.account), row.caller,
                       costOf(row.request));
}

// Regenerates the answer for a caller that has a part of it which no single agent holds. Returns
// false when the answer cannot be reproduced.
bool AdmissionSystem::replayFrom(RequestTable::Row &row)
{
    if (!row.model || !row.request.stream || !Continuation::isReproducible(row.request.body))
        return false;
    row.nextEvent = row.request.firstEvent;
    row.acked = row.nextEvent;
    row.nextAckIndex = row.nextEvent;
    row.replay = true;
    row.continuations = 1;
    row.resumable = false;
    return true;
}

void AdmissionSystem::resumeFrom(RequestTable::Row &row, const std::string &agent)
{
    row.phase = RequestTable::Phase::Resuming;
    row.agent = agent;
    row.workRequestId = row.request.requestId;
    row.mayHaveRun = true;
    std::erase_if(this->tables.requests.detachedWorks(), [&](const auto &detached) {
        return detached.second.requestId == row.workRequestId;
    });
    row.nextEvent = row.request.firstEvent;
    row.acked = row.nextEvent;
    row.nextAckIndex = row.nextEvent;
    // The text before the first event is unknown here, so no other agent can continue the answer.
    row.textUnavailable = true;
    row.resumeUntil = this->tables.now + ResumeConnectTimeout;
    if (BackendTable::Row *backend = this->tables.backends.find(agent))
        backend->linkNeededUntil = row.deadline;
}

void AdmissionSystem::requeue(RequestTable::Row &row)
{
    this->tables.requests.endWork(row);
    row.phase = RequestTable::Phase::Queued;
    row.tailOnly = false;
    row.queuedAsSuspect = this->isSuspect(row.request);
    this->tables.service(row.request.service)
            .queue.pushFront(this->flowOf(row), this->weightOf(row.request.account), row.caller,
                             costOf(row.request));
}

void AdmissionSystem::leaveQueue(const RequestTable::Row &row)
{
    this->tables.service(row.request.service).queue.remove(this->flowOf(row), row.caller);
}

void AdmissionSystem::startQueued()
{
    for (auto &[name, service] : this->tables.services) {
        service.queue.tick(this->tables.now);
        while (service.queue.size() > 0
               && this->tables.router.hasCredit(this->tables.now, name, this->tables.backends,
                                                this->tables.spread)
               && service.queue.startNext(
                       [this](EntryEvent::CallerId caller) { return this->tryStart(caller); })) {
        }
    }
}

bool AdmissionSystem::tryStart(EntryEvent::CallerId caller)
{
    RequestTable::Row &row = *this->tables.requests.find(caller);
    BackendTable::Row *backend =
            this->tables.router.choose(this->tables.now, row, this->isSuspect(row.request),
                                       this->tables.backends, this->tables.spread);
    if (backend == nullptr)
        return false;
    WorkMessage::Request request = row.request;
    row.offset = row.replay ? 0 : row.nextEvent;
    if (row.nextEvent > 0 && !row.replay)
        request = Continuation::next(row).value_or(row.request);
    if (row.nextEvent > 0) {
        // The agent may still hold the tail of the earlier part under the original id.
        request.requestId += "~" + std::to_string(row.continuations);
        row.textEvents = row.replay ? 0 : row.textEvents;
    }
    request.firstEvent = 0;
    this->start(row, *backend, std::move(request), false);
    return true;
}

void AdmissionSystem::start(RequestTable::Row &row, BackendTable::Row &backend,
                            WorkMessage::Request request, bool tailOnly)
{
    row.phase = RequestTable::Phase::Running;
    row.agent = backend.agent;
    row.tailOnly = tailOnly;
    row.paused = false;
    request.resumeOnly = tailOnly;
    request.configurationVersion = this->tables.spread.version();
    request.remaining =
            std::max(milliseconds(1),
                     std::chrono::duration_cast<milliseconds>(row.deadline - this->tables.now));
    row.workRequestId = request.requestId;
    if (tailOnly) {
        ++row.resumes;
        ++backend.ownRunning;
        // Acknowledges again from the start: the earlier ones may be lost with the link, and the
        // agent pauses an answer that is not acknowledged.
        row.acked = 0;
    } else {
        ++row.attempts;
        row.attemptAgents.push_back(backend.agent);
        backend.takeCredit(Router::projectedKvBytes(request, this->tables.spread));
    }
    const auto work = this->tables.requests.startWork(row);
    this->tables.addCommand(EntryCommand::StartWork{work, backend.agent, std::move(request)});
}

void AdmissionSystem::checkQueued()
{
    std::vector<EntryEvent::CallerId> queued;
    for (const auto &[caller, row] : this->tables.requests.all()) {
        if (row.phase == RequestTable::Phase::Queued)
            queued.push_back(caller);
    }
    for (const auto caller : queued)
        this->checkQueued(*this->tables.requests.find(caller));
}

void AdmissionSystem::checkQueued(RequestTable::Row &row)
{
    // A request that waits for a repeated attempt may have run in part.
    const RunState run = row.mayHaveRun ? RunState::Unknown : RunState::NotRun;
    const std::uint64_t fingerprint = row.request.fingerprint;
    // A request that was started before may use its whole time limit for further attempts.
    const Instant limit = row.attempts == 0 && !row.mayHaveRun && !row.queuedAsSuspect
                                  ? row.startBy
                                  : row.deadline;
    if (this->tables.now >= limit) {
        this->leaveQueue(row);
        this->fail(row, failure(run, 503, "queue_timeout",
                                "no backend server was free before the deadline"));
    } else if (this->tables.settings.switches.quarantine && fingerprint != 0
               && this->tables.crashes.isQuarantined(this->tables.now, fingerprint)) {
        this->leaveQueue(row);
        this->fail(row, failure(run, 422, "quarantined",
                                "this request crashed backend servers and is not run again"));
    } else if (this->isSuspect(row.request) != row.queuedAsSuspect) {
        this->leaveQueue(row);
        this->requeue(row);
    }
}

} // namespace Nutmegrill
