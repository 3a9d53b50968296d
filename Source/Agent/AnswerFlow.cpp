#include "Agent/AnswerFlow.h"

#include "Agent/AgentLog.h"
#include "Agent/WorkFailure.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds TailLifetime(30);
constexpr std::chrono::seconds RecordTimeout(2);
constexpr std::size_t MaxRecordedBodyBytes = 64U << 10U;
// Above the limit at which StreamFlow pauses reading, so that a request without a reader is paused
// before its tail loses events. Both limits together stay below the 256 KiB budget of a stream.
constexpr std::uint64_t MaxTailBytes = 96U << 10U;
constexpr std::uint64_t MaxTotalTailBytes = 64U << 20U;

} // namespace

void AnswerFlow::receiveHead(const AgentTurn &turn, const AgentEvent::BackendHead &event)
{
    RequestRow *row = this->findRunning(event.requestId);
    if (row == nullptr)
        return;
    row->head = event.head;
    row->withheld = row->isClaimed();
    this->flush(turn, *row);
}

void AnswerFlow::receiveData(const AgentTurn &turn, const AgentEvent::BackendData &event)
{
    RequestRow *row = this->findRunning(event.requestId);
    if (row == nullptr)
        return;
    this->measureTokenInterval(turn, *row, event.tokens);
    row->tail.append(event.data);
    if (row->withheld && row->tail.bytes() > MaxRecordedBodyBytes)
        row->withheld = false;
    this->flush(turn, *row);
    if (!row->withheld)
        row->tail.trimTo(MaxTailBytes);
}

void AnswerFlow::receiveEnd(const AgentTurn &turn, const AgentEvent::BackendEnd &event)
{
    RequestRow *row = this->findRunning(event.requestId);
    if (row == nullptr)
        return;
    row->phase = RequestRow::Phase::Ended;
    row->runDeadline = NoDeadline;
    this->state.recordRecent(row->request, RecentRequests::Ok, RunState::Completed);
    if (!row->head.has_value())
        row->head = WorkMessage::Head{502, {}};
    // The retention period of a detached answer starts again when the answer ends.
    if (row->work == 0)
        row->keepDeadline = turn.now + TailLifetime;
    this->state.crashes.clearSuspect(row->fingerprint);
    if (!row->hasTokens)
        this->state.backend.warmup.addCompletion();
    if (row->isClaimed()) {
        row->recordDeadline = turn.now + RecordTimeout;
        this->recordAnswer(*row);
    }
    this->flush(turn, *row);
}

void AnswerFlow::acknowledge(const AgentTurn &turn, AgentCommand::LinkId link,
                             const PeerMessage::Ack &ack)
{
    RequestRow *row = this->state.findRequest(ack.requestId);
    if (row == nullptr || row->link != link)
        return;
    const bool moved = row->tail.acknowledge(std::min(ack.nextEvent, row->nextToSend));
    if (!row->endSent)
        return;
    if (ack.nextEvent >= row->tail.nextEvent())
        this->state.requests.erase(ack.requestId);
    else if (moved)
        row->keepDeadline = turn.now + TailLifetime;
}

void AnswerFlow::attach(const AgentTurn &turn, RequestRow &row,
                        const AgentEvent::WorkArrived &arrival)
{
    row.work = arrival.work;
    row.link = arrival.link;
    row.headSent = false;
    row.endSent = false;
    row.buffered = 0;
    row.nextToSend = arrival.request.firstEvent;
    row.keepDeadline = NoDeadline;
    this->state.workStreams[arrival.work] = row.request.requestId;
    this->flush(turn, row);
}

void AnswerFlow::detach(const AgentTurn &turn, RequestRow &row)
{
    if (row.work != 0)
        this->state.workStreams.erase(row.work);
    row.work = 0;
    row.buffered = 0;
    row.keepDeadline = turn.now + TailLifetime;
}

void AnswerFlow::flush(const AgentTurn &turn, RequestRow &row)
{
    if (row.work == 0 || row.withheld || !row.head.has_value())
        return;
    if (!row.headSent) {
        row.headSent = true;
        this->state.send(turn, row.work, *row.head);
    }
    for (; row.nextToSend < row.tail.nextEvent(); ++row.nextToSend)
        this->state.send(turn, row.work,
                         WorkMessage::Event{row.nextToSend, row.tail.at(row.nextToSend)});
    // End confirms that the answer is complete and recorded, so it is sent after the record.
    if (row.phase != RequestRow::Phase::Ended || row.recordDeadline != NoDeadline)
        return;
    this->state.send(turn, row.work, WorkMessage::End{row.tail.nextEvent()});
    this->state.workStreams.erase(row.work);
    row.work = 0;
    row.buffered = 0;
    row.endSent = true;
    row.keepDeadline = turn.now + TailLifetime;
}

void AnswerFlow::releaseAnswers(const AgentTurn &turn)
{
    for (auto &[id, row] : this->state.requests) {
        if (row.recordDeadline > turn.now)
            continue;
        this->state.log(turn, AgentLog::AnswerWithoutRecord, LogRecord::Level::Warning,
                        "answer of " + id + " is passed on before its record is in the store");
        row.recordDeadline = NoDeadline;
        row.withheld = false;
        this->flush(turn, row);
    }
}

void AnswerFlow::dropTails(const AgentTurn &turn)
{
    for (auto entry = this->state.requests.begin(); entry != this->state.requests.end();) {
        const auto next = std::next(entry);
        RequestRow &row = entry->second;
        const bool expired = row.work == 0 && row.keepDeadline <= turn.now;
        // A claimed request keeps running without a reader, because its answer must be recorded.
        if (expired && row.phase == RequestRow::Phase::Running && !row.isClaimed()) {
            turn.commands.emplace_back(AgentCommand::CancelBackend{entry->first});
            this->state.recordRecent(row.request, "abandoned", RunState::Unknown);
            this->state.requests.erase(entry);
        } else if (expired && row.phase == RequestRow::Phase::Ended) {
            this->state.requests.erase(entry);
        }
        entry = next;
    }
    std::erase_if(this->state.sentRequests,
                  [&turn](const auto &entry) { return entry.second <= turn.now; });
    this->limitTailBytes();
}

RequestRow *AnswerFlow::findRunning(const std::string &requestId)
{
    RequestRow *row = this->state.findRequest(requestId);
    return row != nullptr && row->phase == RequestRow::Phase::Running ? row : nullptr;
}

void AnswerFlow::measureTokenInterval(const AgentTurn &turn, RequestRow &row, std::uint32_t tokens)
{
    if (row.isIntervalValid && tokens > 0) {
        const bool good = this->state.backend.warmup.addTokenInterval(
                turn.now, (turn.now - row.lastData) / tokens);
        if (!good)
            this->state.log(turn, AgentLog::TurnedCold, LogRecord::Level::Warning,
                            "token intervals are several times the warm one");
    }
    row.hasTokens = row.hasTokens || tokens > 0;
    row.isIntervalValid = tokens > 0 && !row.paused;
    row.lastData = turn.now;
}

void AnswerFlow::recordAnswer(RequestRow &row)
{
    ClaimRecord answer;
    answer.status = row.head.has_value() ? row.head->status : 0;
    if (row.head.has_value())
        answer.headers = row.head->headers;
    answer.hasBody = row.tail.firstEvent() == 0 && row.tail.bytes() <= MaxRecordedBodyBytes;
    for (std::uint64_t index = 0; answer.hasBody && index < row.tail.nextEvent(); ++index)
        answer.body += row.tail.at(index);
    this->state.claims.finish(row.claimKey, ClaimRecord::State::Completed, answer);
}

// Above the process budget, drops the tails of ended answers, earliest deadline first.
void AnswerFlow::limitTailBytes()
{
    std::uint64_t sum = 0;
    for (const auto &[id, row] : this->state.requests)
        sum += row.tail.bytes();
    while (sum > MaxTotalTailBytes) {
        RequestRow *oldest = nullptr;
        for (auto &[id, row] : this->state.requests) {
            const bool candidate =
                    row.phase == RequestRow::Phase::Ended && row.work == 0 && row.tail.bytes() > 0;
            if (candidate && (oldest == nullptr || row.keepDeadline < oldest->keepDeadline))
                oldest = &row;
        }
        if (oldest == nullptr)
            return;
        sum -= oldest->tail.bytes();
        oldest->tail.trimTo(0);
    }
}

} // namespace Nutmegrill
