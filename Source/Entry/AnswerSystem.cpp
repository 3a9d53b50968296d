#include "Entry/AnswerSystem.h"

#include "Entry/Continuation.h"
#include "Entry/EntryLog.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace Nutmegrill {

namespace {

constexpr std::uint32_t MaxAttempts = 3;
// Consecutive attempts to resume from the same agent without a new event.
constexpr std::uint32_t MaxResumes = 5;
// A lost link to a live agent is open again within this time; later, another agent
// continues.
constexpr std::chrono::seconds IdempotentResumeTimeout(1);
// Agents keep the tail of an answer for 30 s after the link closed.
constexpr std::chrono::seconds TailLifetime(30);
// Time to find another agent for a stream that is past the caller's deadline.
constexpr std::chrono::seconds MinContinuationTime(5);

WorkMessage::Failure connectionLost()
{
    return AdmissionSystem::failure(RunState::Unknown, 502, "connection_lost",
                                    "the connection to the backend server was lost");
}

} // namespace

bool AnswerSystem::mayRetry(const RequestTable::Row &row) const
{
    return row.request.idempotent || !this->tables.settings.switches.atMostOnce;
}

void AnswerSystem::receive(const EntryEvent::WorkReceived &event)
{
    RequestTable::Row *row = this->tables.requests.findByWork(event.work);
    if (row == nullptr) {
        if (std::holds_alternative<WorkMessage::End>(event.message)
            || std::holds_alternative<WorkMessage::Failure>(event.message))
            this->tables.requests.detachedWorks().erase(event.work);
        return;
    }
    if (const auto *head = std::get_if<WorkMessage::Head>(&event.message))
        this->handleHead(*row, *head);
    else if (const auto *part = std::get_if<WorkMessage::Event>(&event.message))
        this->handleEvent(*row, *part);
    else if (const auto *end = std::get_if<WorkMessage::End>(&event.message))
        this->handleEnd(*row, *end);
    else if (const auto *failure = std::get_if<WorkMessage::Failure>(&event.message))
        this->handleFailure(*row, *failure);
}

void AnswerSystem::handleHead(RequestTable::Row &row, const WorkMessage::Head &message)
{
    if (row.headSent)
        return;
    row.headSent = true;
    this->tables.addCommand(EntryCommand::ReplyHead{row.caller, message});
}

void AnswerSystem::handleEvent(RequestTable::Row &row, const WorkMessage::Event &message)
{
    const std::uint64_t index = message.index + row.offset;
    if (index < row.nextEvent && this->tables.settings.switches.dropDuplicates) {
        if (row.replay && index == row.replayIndex) {
            ++row.replayIndex;
            this->readText(row, message.data);
        }
        return;
    }
    if (index > row.nextEvent) {
        // Events are missing; resume from the tail at the agent.
        this->releaseWork(row);
        this->awaitResume(row);
        return;
    }
    this->handleHead(row, WorkMessage::Head{});
    row.resumes = 0;
    this->readText(row, message.data);
    row.nextEvent = index;
    this->reply(row, message.data);
}

void AnswerSystem::reply(RequestTable::Row &row, const std::string &data)
{
    this->tables.addCommand(EntryCommand::ReplyEvent{row.caller, row.nextEvent, data,
                                                     row.resumable ? row.agent : std::string()});
    row.sentBytes += data.size();
    row.unread.emplace_back(row.nextEvent, row.sentBytes);
    ++row.nextEvent;
}

void AnswerSystem::readText(RequestTable::Row &row, const std::string &data)
{
    if (!row.model || !row.request.stream || row.textUnavailable)
        return;
    const Continuation::Part part = Continuation::read(data);
    row.finished = row.finished || part.finished;
    row.doneSent = row.doneSent || part.done;
    if (!part.understood
        || row.text.size() + part.text.size() > this->tables.settings.streamBufferBytes) {
        row.textUnavailable = true;
        row.text = std::string();
        return;
    }
    row.text += part.text;
    row.textEvents += part.text.empty() ? 0 : 1;
}

void AnswerSystem::handleEnd(RequestTable::Row &row, const WorkMessage::End &message)
{
    this->releaseWork(row);
    if (message.events + row.offset > row.nextEvent)
        this->awaitResume(row);
    else
        this->finish(row);
}

void AnswerSystem::finish(RequestTable::Row &row)
{
    this->tables.addCommand(EntryCommand::ReplyEnd{row.caller});
    this->tables.recent.add(row.request, row.attemptAgents, RecentRequests::Ok,
                            RunState::Completed);
    this->tables.crashes.clearSuspect(row.request.fingerprint);
    row.phase = RequestTable::Phase::Done;
    row.text = std::string();
}

void AnswerSystem::releaseWork(RequestTable::Row &row)
{
    BackendTable::Row *backend = this->tables.backends.find(row.agent);
    if (row.work != 0 && backend != nullptr && backend->ownRunning > 0)
        --backend->ownRunning;
    this->tables.requests.endWork(row);
}

void AnswerSystem::handleFailure(RequestTable::Row &row, WorkMessage::Failure failure)
{
    if (failure.configurationVersion > this->tables.spread.version())
        this->tables.addCommand(EntryCommand::SendPeer{
                row.agent, PeerMessage::ConfigurationWanted{this->tables.spread.version()}});
    this->releaseWork(row);
    const bool rejected = failure.status < 500 && failure.status != 429;
    if (row.tailOnly) {
        // The agent has dropped the tail or has restarted. Its "not run" does not apply to the
        // earlier attempt.
        if (failure.run == RunState::NotRun)
            failure.run = RunState::Unknown;
        if (failure.run == RunState::Unknown)
            this->continueOnOtherAgent(row, std::move(failure));
        else
            this->admission.fail(row, failure);
    } else if (failure.run == RunState::NotRun) {
        if (rejected)
            row.attempts = MaxAttempts;
        this->retryNotRun(row, std::move(failure));
    } else if (failure.run == RunState::Unknown && !rejected) {
        this->continueOnOtherAgent(row, std::move(failure));
    } else {
        this->admission.fail(row, failure);
    }
}

void AnswerSystem::retryNotRun(RequestTable::Row &row, WorkMessage::Failure failure)
{
    ServiceRow &service = this->tables.service(row.request.service);
    if (row.attempts < MaxAttempts && this->tables.now < row.deadline
        && service.retries.tryAcquire()) {
        row.avoidedAgent = row.agent;
        this->admission.requeue(row);
        return;
    }
    // An earlier attempt may have run although this one did not.
    if (row.mayHaveRun)
        failure.run = RunState::Unknown;
    this->admission.fail(row, failure);
}

void AnswerSystem::workClosed(EntryEvent::WorkId work, RunState run)
{
    this->tables.requests.detachedWorks().erase(work);
    RequestTable::Row *row = this->tables.requests.findByWork(work);
    if (row == nullptr)
        return;
    this->releaseWork(*row);
    if (run != RunState::NotRun || row->tailOnly) {
        this->awaitResume(*row);
        return;
    }
    // The agent has not received the start, so its cumulative grant does not count it.
    if (BackendTable::Row *backend = this->tables.backends.find(row->agent);
        backend != nullptr && backend->startsUsed > 0)
        --backend->startsUsed;
    this->retryNotRun(*row, AdmissionSystem::failure(RunState::NotRun, 503, "stream_refused",
                                                     "the agent did not take the request"));
}

void AnswerSystem::linkClosed(const std::string &agent)
{
    std::vector<EntryEvent::WorkId> openWorks;
    for (const auto &[caller, row] : this->tables.requests.all()) {
        if (row.work != 0 && row.agent == agent)
            openWorks.push_back(row.work);
    }
    for (const auto work : openWorks)
        this->workClosed(work, RunState::Unknown);
}

void AnswerSystem::awaitResume(RequestTable::Row &row)
{
    row.mayHaveRun = true;
    if (!this->tables.settings.switches.resume) {
        this->continueOnOtherAgent(row, connectionLost());
        return;
    }
    row.phase = RequestTable::Phase::Resuming;
    const auto limit = this->mayRetry(row) ? IdempotentResumeTimeout : TailLifetime;
    row.resumeUntil = this->tables.now + limit;
    if (!row.headSent)
        row.resumeUntil = std::min(row.resumeUntil, row.deadline);
    if (BackendTable::Row *backend = this->tables.backends.find(row.agent))
        backend->linkNeededUntil = row.resumeUntil;
}

void AnswerSystem::resumeBroken()
{
    std::vector<EntryEvent::CallerId> resuming;
    for (const auto &[caller, row] : this->tables.requests.all()) {
        if (row.phase == RequestTable::Phase::Resuming)
            resuming.push_back(caller);
    }
    for (const auto caller : resuming)
        this->resume(*this->tables.requests.find(caller));
}

void AnswerSystem::resume(RequestTable::Row &row)
{
    BackendTable::Row *backend = this->tables.backends.find(row.agent);
    const bool linked = backend != nullptr && backend->welcomed;
    if (linked && row.resumes < MaxResumes) {
        WorkMessage::Request request = row.request;
        request.requestId = row.workRequestId;
        request.firstEvent = row.nextEvent - row.offset;
        this->admission.start(row, *backend, std::move(request), true);
        return;
    }
    // A refused connection means that the agent process has ended.
    const bool agentGone = backend == nullptr || (!linked && backend->openFailures > 0);
    if (linked || this->tables.now >= row.resumeUntil || (agentGone && this->mayRetry(row)))
        this->continueOnOtherAgent(row, connectionLost());
}

void AnswerSystem::continueOnOtherAgent(RequestTable::Row &row, WorkMessage::Failure failure)
{
    row.mayHaveRun = true;
    if (row.finished) {
        // The text is complete; at most the "[DONE]" event is missing.
        if (!row.doneSent)
            this->reply(row, "data: [DONE]\n\n");
        this->finish(row);
        return;
    }
    const bool canAppendText = this->tables.settings.switches.continuation && row.model
                               && row.request.stream && !row.textUnavailable;
    const bool continues = canAppendText && Continuation::next(row).has_value();
    const bool replays = !continues && this->tables.settings.switches.continuation && row.model
                         && row.request.stream && Continuation::isReproducible(row.request.body);
    const bool possible = row.nextEvent == 0 || continues || replays;
    if (!this->mayRetry(row) || !possible || row.attempts >= MaxAttempts) {
        if (!row.request.idempotent)
            this->tables.log(EntryLog::OutcomeUnknown, LogRecord::Level::Warning,
                             row.request.requestId + ": outcome of a call is unknown");
        this->admission.fail(row, failure);
        return;
    }
    row.avoidedAgent = row.agent;
    row.resumes = 0;
    if (row.nextEvent > 0) {
        row.replay = replays;
        row.replayIndex = 0;
        if (replays) {
            row.text = std::string();
            row.textUnavailable = false;
        }
        // No single agent holds all events any more.
        row.resumable = false;
        ++row.continuations;
        this->tables.log(EntryLog::Continued, LogRecord::Level::Info,
                         row.request.requestId + ": continues on another agent");
        row.deadline = std::max(row.deadline, this->tables.now + MinContinuationTime);
    }
    this->admission.requeue(row);
}

void AnswerSystem::expireRunning()
{
    std::vector<EntryEvent::CallerId> expired;
    for (const auto &[caller, row] : this->tables.requests.all()) {
        if (row.phase == RequestTable::Phase::Running && !row.headSent
            && this->tables.now >= row.deadline)
            expired.push_back(caller);
    }
    for (const auto caller : expired) {
        RequestTable::Row &row = *this->tables.requests.find(caller);
        // A non-idempotent call continues to run, so that its outcome is recorded.
        if (row.request.idempotent)
            this->tables.addCommand(EntryCommand::CancelWork{row.work});
        this->releaseWork(row);
        this->admission.fail(row, AdmissionSystem::failure(RunState::Unknown, 504, "deadline",
                                                           "no answer before the deadline"));
    }
}

} // namespace Nutmegrill
