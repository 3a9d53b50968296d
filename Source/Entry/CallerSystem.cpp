#include "Entry/CallerSystem.h"

#include "Entry/EntryLog.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace Nutmegrill {

namespace {

// Events are acknowledged one to two periods after they were written to the connection, so that the
// agent still holds the events in transit when the entry crashes.
constexpr std::chrono::seconds AckPeriod(1);
// Time for a caller to reconnect after its connection broke.
constexpr std::chrono::seconds ReconnectTimeout(10);
// While other requests wait, an answer is aborted to free its slot at the backend server when its
// caller has a backlog and reads less than MinBytesPerWindow in one window. A slow mobile
// connection reads several times as much.
constexpr std::chrono::seconds BacklogWindow(2);
constexpr std::uint64_t MinBytesPerWindow = 2048;
// Unread bytes are a backlog from this fraction of the stream buffer limit on.
constexpr std::uint64_t BacklogDivisor = 4;

} // namespace

StreamBudget::Limits CallerSystem::limitsOf(const RequestTable::Row &row) const
{
    const EntrySettings &settings = this->tables.settings;
    const std::uint64_t account =
            row.accountBufferBytes == 0 ? settings.processBufferBytes : row.accountBufferBytes;
    // During a planned stop, any buffered byte counts as a shortage, so that stalled readers do not
    // delay the stop.
    const std::uint64_t process = this->tables.stopping ? 0 : settings.processBufferBytes;
    return {settings.streamBufferBytes, account, process};
}

void CallerSystem::updateBuffered(const EntryEvent::CallerBuffered &event)
{
    RequestTable::Row *row = this->tables.requests.find(event.caller);
    if (row == nullptr)
        return;
    this->tables.buffers.update(this->tables.now, event.caller, row->request.account, event.bytes);
    this->applyPause(*row);
}

void CallerSystem::applyPause(RequestTable::Row &row)
{
    if (row.work == 0 || !this->tables.settings.switches.backpressure)
        return;
    const bool pause =
            this->tables.buffers.shouldPause(row.caller, row.paused, this->limitsOf(row));
    if (pause == row.paused)
        return;
    row.paused = pause;
    this->tables.addCommand(EntryCommand::PauseWork{row.work, pause});
}

bool CallerSystem::isTooSlow(RequestTable::Row &row) const
{
    const std::uint64_t held = this->tables.buffers.bytesOf(row.caller);
    if (held < this->tables.settings.streamBufferBytes / BacklogDivisor) {
        row.backlogSince = NoDeadline;
        return false;
    }
    const std::uint64_t taken = row.sentBytes - std::min(row.sentBytes, held);
    const bool first = row.backlogSince == NoDeadline;
    if (!first && this->tables.now < row.backlogSince + BacklogWindow)
        return false;
    if (!first && taken < row.takenAtBacklogStart + MinBytesPerWindow)
        return true;
    row.backlogSince = this->tables.now;
    row.takenAtBacklogStart = taken;
    return false;
}

// A paused answer occupies a slot at its backend server. At most one is aborted in each tick, so
// that no more are aborted than the queue needs.
void CallerSystem::abortSlowReader()
{
    if (!this->tables.settings.switches.backpressure)
        return;
    for (auto &[caller, row] : this->tables.requests.all()) {
        if (row.phase != RequestTable::Phase::Running || row.work == 0 || !row.model
            || !row.request.idempotent || !this->isTooSlow(row)
            || !this->tables.service(row.request.service).queue.isBacklogged())
            continue;
        this->tables.log(EntryLog::ReaderTooSlow, LogRecord::Level::Warning,
                         row.request.requestId
                                 + ": the caller read too slowly while others waited");
        this->tables.addCommand(EntryCommand::CancelWork{row.work});
        this->releaseWork(row);
        this->admission.fail(
                row, AdmissionSystem::failure(RunState::Unknown, 503, "reader_too_slow",
                                              "the caller read too slowly while others waited"));
        return;
    }
}

void CallerSystem::limitBuffers()
{
    this->abortSlowReader();
    std::vector<EntryEvent::CallerId> stalled;
    const Instant since = this->tables.now - this->tables.settings.stallLimit;
    for (auto &[caller, row] : this->tables.requests.all()) {
        if (!row.paused && this->tables.buffers.bytesOf(caller) == 0)
            continue;
        this->applyPause(row);
        if ((row.paused || row.phase == RequestTable::Phase::Done)
            && this->tables.buffers.isStalled(caller, since, this->limitsOf(row)))
            stalled.push_back(caller);
    }
    for (const auto caller : stalled) {
        RequestTable::Row &row = *this->tables.requests.find(caller);
        // An earlier iteration may have ended the shortage.
        if (!this->tables.buffers.isStalled(caller, since, this->limitsOf(row)))
            continue;
        const bool answered = row.phase == RequestTable::Phase::Done;
        this->detachWork(row);
        // The final reply has been sent; the buffer is released with the connection.
        if (answered)
            continue;
        this->tables.log(EntryLog::ReaderStalled, LogRecord::Level::Warning,
                         row.request.requestId + ": the caller read nothing for too long");
        this->admission.fail(row,
                             AdmissionSystem::failure(RunState::Running, 503, "reader_stalled",
                                                      "the caller read nothing for too long; the "
                                                      "answer can be resumed"));
    }
}

void CallerSystem::detachWork(RequestTable::Row &row)
{
    if (row.work == 0)
        return;
    if (!row.paused)
        this->tables.addCommand(EntryCommand::PauseWork{row.work, true});
    this->tables.requests.detachedWorks()[row.work] = {row.workRequestId,
                                                       this->tables.now + ReconnectTimeout};
    this->releaseWork(row);
}

void CallerSystem::releaseWork(RequestTable::Row &row)
{
    BackendTable::Row *backend = this->tables.backends.find(row.agent);
    if (row.work != 0 && backend != nullptr && backend->ownRunning > 0)
        --backend->ownRunning;
    this->tables.requests.endWork(row);
}

void CallerSystem::callerDisconnected(EntryEvent::CallerId caller)
{
    RequestTable::Row *row = this->tables.requests.find(caller);
    if (row == nullptr)
        return;
    if (row->phase == RequestTable::Phase::Queued)
        this->admission.leaveQueue(*row);
    if (row->phase != RequestTable::Phase::Done)
        this->tables.recent.add(row->request, row->attemptAgents, "caller_gone",
                                row->attemptAgents.empty() && !row->mayHaveRun ? RunState::NotRun
                                                                               : RunState::Unknown);
    // A stream can be resumed. A non-idempotent call continues to run, so that its outcome is
    // recorded.
    if (row->work != 0 && row->request.stream)
        this->detachWork(*row);
    else if (row->work != 0 && row->request.idempotent)
        this->tables.addCommand(EntryCommand::CancelWork{row->work});
    this->releaseWork(*row);
    this->tables.buffers.remove(caller);
    this->tables.requests.erase(caller);
}

std::uint64_t CallerSystem::firstUnreadEvent(RequestTable::Row &row) const
{
    const std::uint64_t held = this->tables.buffers.bytesOf(row.caller);
    const std::uint64_t taken = row.sentBytes - std::min(row.sentBytes, held);
    while (!row.unread.empty() && row.unread.front().second <= taken)
        row.unread.pop_front();
    return row.unread.empty() ? row.nextEvent : row.unread.front().first;
}

void CallerSystem::acknowledge(RequestTable::Row &row)
{
    const BackendTable::Row *backend = this->tables.backends.find(row.agent);
    if (row.nextAckIndex > row.acked && row.nextAckIndex > row.offset && backend != nullptr
        && backend->welcomed)
        this->tables.addCommand(EntryCommand::SendPeer{
                row.agent, PeerMessage::Ack{row.workRequestId, row.nextAckIndex - row.offset}});
    row.acked = row.nextAckIndex;
    row.nextAckIndex = this->firstUnreadEvent(row);
    row.nextAckTime = this->tables.now + AckPeriod;
}

void CallerSystem::sendAcks()
{
    std::vector<EntryEvent::CallerId> complete;
    for (auto &[caller, row] : this->tables.requests.all()) {
        const bool done = row.phase == RequestTable::Phase::Done;
        if ((row.phase != RequestTable::Phase::Running && !done)
            || this->tables.now < row.nextAckTime)
            continue;
        const bool first = row.nextAckTime == Instant();
        this->acknowledge(row);
        if (done && !first && row.acked == row.nextEvent)
            complete.push_back(caller);
    }
    for (const auto caller : complete) {
        this->tables.buffers.remove(caller);
        this->tables.requests.erase(caller);
    }
}

void CallerSystem::cancelDetached()
{
    auto &detached = this->tables.requests.detachedWorks();
    for (auto work = detached.begin(); work != detached.end();) {
        if (this->tables.now < work->second.deadline) {
            ++work;
            continue;
        }
        this->tables.addCommand(EntryCommand::CancelWork{work->first});
        work = detached.erase(work);
    }
}

} // namespace Nutmegrill
