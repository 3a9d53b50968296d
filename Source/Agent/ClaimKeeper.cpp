#include "Agent/ClaimKeeper.h"

#include "Agent/WorkFailure.h"
#include "Core/Hash.h"

#include <chrono>
#include <utility>
#include <vector>

namespace Nutmegrill {

namespace {

using namespace std::chrono_literals;

constexpr auto ClaimTimeout = 2s;
constexpr std::chrono::milliseconds MaxRunTime = 60s;
// Margin for clock rate differences between processes and for late reads of the record.
constexpr auto ObservedClaimRetention = 10min;
constexpr std::size_t MaxObservedClaims = 4096;

std::string bodyHashOf(const WorkMessage::Request &request)
{
    return sha256Hex(request.method + " " + request.path + "\n" + request.body);
}

WorkMessage::Failure keyReusedFailure()
{
    return makeFailure(RunState::NotRun, 422, "key_reused",
                       "the Idempotency-Key was used with another body");
}

WorkMessage::Failure runningElsewhereFailure()
{
    return makeFailure(RunState::Running, 409, "running", "the call is being run");
}

WorkMessage::Failure unknownOutcomeFailure()
{
    return makeFailure(RunState::Unknown, 409, "unknown", "the outcome of the call is not known");
}

} // namespace

std::string ClaimKeeper::keyOf(const WorkMessage::Request &request)
{
    return "nutmegrill/claims/" + request.service + "/" + request.account + "/"
           + request.idempotencyKey;
}

std::optional<WorkMessage::Failure>
ClaimKeeper::checkOwnClaim(const AgentTurn &, const WorkMessage::Request &request) const
{
    if (request.idempotent || !this->state.settings.mechanisms.claims)
        return std::nullopt;
    const ClaimTable::Row *own = this->state.claims.find(keyOf(request));
    if (own == nullptr)
        return std::nullopt;
    if (own->record.bodyHash != bodyHashOf(request))
        return keyReusedFailure();
    if (own->desired.empty())
        return rejectNotRun("claim_pending", "an earlier claim of the call is being withdrawn");
    return runningElsewhereFailure();
}

void ClaimKeeper::begin(const AgentTurn &turn, RequestRow &row)
{
    ClaimRecord record;
    record.agent = this->state.settings.name;
    record.bodyHash = bodyHashOf(row.request);
    record.runLimit = row.request.remaining.count() > 0
                              ? std::min(row.request.remaining, MaxRunTime)
                              : MaxRunTime;
    row.phase = RequestRow::Phase::Claiming;
    row.startDeadline = turn.now + ClaimTimeout;
    this->state.claims.claim(row.claimKey, row.request.requestId, std::move(record));
}

void ClaimKeeper::receiveAnswer(const AgentTurn &turn, const AgentEvent::ClaimsAnswered &answer)
{
    for (const ClaimTable::Outcome &outcome : this->state.claims.receiveResults(turn.now, answer)) {
        switch (outcome.kind) {
        case ClaimTable::Outcome::Kind::Claimed:
            this->start(turn, outcome);
            break;
        case ClaimTable::Outcome::Kind::Lost:
            this->answerFromRecord(turn, outcome);
            break;
        case ClaimTable::Outcome::Kind::Recorded:
            this->releaseRecordedAnswer(turn, outcome);
            break;
        }
    }
}

void ClaimKeeper::checkDeadlines(const AgentTurn &turn)
{
    std::vector<std::string> timedOut;
    std::vector<std::string> overdue;
    for (const auto &[id, row] : this->state.requests) {
        if (row.phase == RequestRow::Phase::Claiming && row.startDeadline <= turn.now)
            timedOut.push_back(id);
        if (row.phase == RequestRow::Phase::Running && row.runDeadline <= turn.now)
            overdue.push_back(id);
    }
    for (const std::string &id : timedOut) {
        this->state.claims.withdraw(this->state.requests[id].claimKey);
        this->state.failRequest(turn, id, rejectNotRun("no_claim", "the store does not answer"));
    }
    for (const std::string &id : overdue) {
        this->state.claims.finish(this->state.requests[id].claimKey, ClaimRecord::State::Unknown,
                                  {});
        turn.commands.emplace_back(AgentCommand::CancelBackend{id});
        this->state.failRequest(
                turn, id,
                makeFailure(RunState::Unknown, 504, "run_limit", "the call did not end in time"));
    }
    std::erase_if(this->observedClaims,
                  [&turn](const auto &entry) { return entry.second.expiresAt <= turn.now; });
}

void ClaimKeeper::writeClaims(const AgentTurn &turn)
{
    if (auto batch = this->state.claims.nextBatch(turn.now); batch.has_value())
        turn.commands.emplace_back(std::move(*batch));
}

// Sends the request once its claim is stored, after checking again what may have changed since its
// arrival.
void ClaimKeeper::start(const AgentTurn &turn, const ClaimTable::Outcome &outcome)
{
    RequestRow *row = this->state.findRequest(outcome.requestId);
    const bool wanted = row != nullptr && row->phase == RequestRow::Phase::Claiming
                        && row->claimKey == outcome.key && turn.now < row->startDeadline;
    if (!wanted) {
        this->state.claims.withdraw(outcome.key);
        return;
    }
    if (const auto failure = this->checkStart(turn, *row); failure.has_value()) {
        this->state.claims.withdraw(outcome.key);
        this->state.failRequest(turn, outcome.requestId, *failure);
        return;
    }
    row->runDeadline = turn.now + this->state.claims.find(outcome.key)->record.runLimit;
    this->state.callBackend(turn, *row);
}

std::optional<WorkMessage::Failure> ClaimKeeper::checkStart(const AgentTurn &turn,
                                                            const RequestRow &row) const
{
    if (this->state.running() >= this->state.limit())
        return rejectNotRun("no_credit", "the limit fell during the claim");
    if (!this->state.settings.mechanisms.crashIsolation)
        return std::nullopt;
    if (this->state.crashes.isQuarantined(turn.now, row.fingerprint))
        return quarantinedFailure();
    // A peer's crash notice may have marked this or a running request as suspect meanwhile.
    const bool crowded = this->state.crashes.isSuspect(turn.now, row.fingerprint)
                                 ? this->state.running() > 0
                                 : this->state.isSuspectRunning(turn.now);
    if (crowded)
        return rejectNotRun("isolating", "a suspect request runs alone");
    return std::nullopt;
}

void ClaimKeeper::answerFromRecord(const AgentTurn &turn, const ClaimTable::Outcome &outcome)
{
    const RequestRow *row = this->state.findRequest(outcome.requestId);
    if (row == nullptr || row->phase != RequestRow::Phase::Claiming || row->claimKey != outcome.key)
        return;
    const auto record = decodeClaimRecord(outcome.record);
    WorkMessage::Failure failure = unknownOutcomeFailure();
    if (!record.has_value()) {
        this->state.failRequest(turn, outcome.requestId, failure);
        return;
    }
    if (record->bodyHash != bodyHashOf(row->request)) {
        failure = keyReusedFailure();
    } else if (record->state == ClaimRecord::State::Completed && record->hasBody) {
        this->replay(turn, *row, *record);
        this->state.recordRecent(row->request, "recorded_answer", RunState::Completed);
        this->state.workStreams.erase(row->work);
        this->state.requests.erase(outcome.requestId);
        return;
    } else if (record->state == ClaimRecord::State::Completed) {
        failure = makeFailure(RunState::Completed, 409, "completed",
                              "the call was run; its answer is too large to be kept");
    } else if (record->state == ClaimRecord::State::Running
               && !this->isOverdue(turn, outcome.key, *record)) {
        failure = runningElsewhereFailure();
    }
    this->state.failRequest(turn, outcome.requestId, failure);
}

void ClaimKeeper::releaseRecordedAnswer(const AgentTurn &turn, const ClaimTable::Outcome &outcome)
{
    RequestRow *row = this->state.findRequest(outcome.requestId);
    if (row == nullptr || row->phase != RequestRow::Phase::Ended || row->claimKey != outcome.key)
        return;
    row->recordDeadline = NoDeadline;
    row->withheld = false;
    this->answers.flush(turn, *row);
}

bool ClaimKeeper::isOverdue(const AgentTurn &turn, const std::string &key,
                            const ClaimRecord &record)
{
    const auto found = this->observedClaims.find(key);
    if (found != this->observedClaims.end() && found->second.claimId == record.claimId)
        return found->second.deadline <= turn.now;
    // Evicting an entry only makes its claim count as running for longer.
    if (this->observedClaims.size() >= MaxObservedClaims)
        this->observedClaims.erase(this->observedClaims.begin());
    const Instant deadline = turn.now + record.runLimit;
    this->observedClaims[key] = {record.claimId, deadline, deadline + ObservedClaimRetention};
    return false;
}

void ClaimKeeper::replay(const AgentTurn &turn, const RequestRow &row, const ClaimRecord &record)
{
    if (row.work == 0)
        return;
    this->state.send(turn, row.work, WorkMessage::Head{record.status, record.headers});
    const std::uint64_t events = record.body.empty() ? 0 : 1;
    if (events > 0)
        this->state.send(turn, row.work, WorkMessage::Event{0, record.body});
    this->state.send(turn, row.work, WorkMessage::End{events});
}

} // namespace Nutmegrill
