#include "Agent/ClaimTable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds BatchTimeout(2);
// The store accepts 128 operations in a transaction, including the enclosing one, and 1.5 MB in a
// request. Base64 adds a third, and each write contains the expected and the new record.
constexpr std::size_t MaxWritesPerBatch = 100;
constexpr std::size_t MaxBytesPerBatch = 512U << 10U;
constexpr std::chrono::milliseconds MinRetryBackoff(250);
constexpr std::chrono::seconds MaxRetryBackoff(1);

} // namespace

ClaimTable::ClaimTable(std::string claimIdPrefix) : claimIdPrefix(std::move(claimIdPrefix)) {}

const ClaimTable::Row *ClaimTable::find(const std::string &key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? nullptr : &found->second;
}

void ClaimTable::claim(const std::string &key, const std::string &requestId, ClaimRecord record)
{
    record.claimId = this->claimIdPrefix + "-" + std::to_string(++this->lastClaim);
    record.state = ClaimRecord::State::Running;
    Row row;
    row.requestId = requestId;
    row.desired = encodeClaimRecord(record);
    row.record = std::move(record);
    this->rows[key] = std::move(row);
}

void ClaimTable::finish(const std::string &key, ClaimRecord::State state, const ClaimRecord &answer)
{
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    ClaimRecord record = found->second.record;
    record.state = state;
    record.status = answer.status;
    record.headers = answer.headers;
    record.body = answer.body;
    record.hasBody = answer.hasBody;
    found->second.desired = encodeClaimRecord(record);
}

void ClaimTable::withdraw(const std::string &key)
{
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    found->second.desired.clear();
    if (found->second.current.empty() && !found->second.pendingWrite.has_value())
        this->rows.erase(found);
}

std::optional<AgentCommand::WriteClaims> ClaimTable::nextBatch(Instant now)
{
    if (this->isBatchInFlight && now >= this->batchDeadline)
        this->scheduleRetry(now);
    if (this->isBatchInFlight || now < this->retryAt)
        return std::nullopt;
    AgentCommand::WriteClaims batch;
    std::size_t bytes = 0;
    // Continues after the last batch, so that full batches do not starve the same keys.
    auto next = this->rows.upper_bound(this->lastKey);
    for (std::size_t visited = 0; visited < this->rows.size(); ++visited, ++next) {
        if (next == this->rows.end())
            next = this->rows.begin();
        auto &[key, row] = *next;
        auto write = this->nextWrite(key, row);
        if (!write.has_value())
            continue;
        const std::size_t size = write->expected.size() + write->record.size();
        const bool fits =
                batch.writes.size() < MaxWritesPerBatch && bytes + size <= MaxBytesPerBatch;
        if (!fits && !batch.writes.empty())
            break;
        bytes += size;
        this->lastKey = key;
        row.inBatch = true;
        row.pendingWrite = write;
        batch.writes.push_back(std::move(*write));
    }
    if (batch.writes.empty())
        return std::nullopt;
    batch.batch = ++this->lastBatch;
    this->isBatchInFlight = true;
    this->batchDeadline = now + BatchTimeout;
    return batch;
}

std::vector<ClaimTable::Outcome>
ClaimTable::receiveResults(Instant now, const AgentEvent::ClaimsAnswered &answer)
{
    std::vector<Outcome> outcomes;
    // Ignores the response to an earlier batch, whose writes are repeated in a later one.
    if (!this->isBatchInFlight || answer.batch != this->lastBatch)
        return outcomes;
    if (!answer.reached) {
        this->scheduleRetry(now);
        return outcomes;
    }
    this->isBatchInFlight = false;
    this->retryBackoff = Instant::duration(0);
    for (const AgentEvent::ClaimResult &result : answer.results)
        this->applyResult(result.key, result, outcomes);
    for (auto &[key, row] : this->rows)
        row.inBatch = false;
    return outcomes;
}

// Schedules a retry with backoff. It is unknown whether the writes of the batch took effect, so
// they stay pending and are sent again unchanged, except that a withdrawn claim is deleted.
void ClaimTable::scheduleRetry(Instant now)
{
    this->isBatchInFlight = false;
    this->retryBackoff =
            std::clamp<Instant::duration>(2 * this->retryBackoff, MinRetryBackoff, MaxRetryBackoff);
    this->retryAt = now + this->retryBackoff;
    for (auto &[key, row] : this->rows)
        row.inBatch = false;
}

std::optional<AgentCommand::ClaimWrite> ClaimTable::nextWrite(const std::string &key,
                                                              const Row &row) const
{
    if (row.pendingWrite.has_value()) {
        // A withdrawn claim is deleted instead of being written again.
        const bool isClaim = row.current.empty() && !row.pendingWrite->record.empty();
        if (isClaim && row.desired.empty())
            return AgentCommand::ClaimWrite{key, row.pendingWrite->record, {}};
        return row.pendingWrite;
    }
    if (row.current == row.desired)
        return std::nullopt;
    return AgentCommand::ClaimWrite{key, row.current, row.desired};
}

void ClaimTable::applyResult(const std::string &key, const AgentEvent::ClaimResult &result,
                             std::vector<Outcome> &outcomes)
{
    const auto found = this->rows.find(key);
    if (found == this->rows.end() || !found->second.inBatch)
        return;
    Row &row = found->second;
    const AgentCommand::ClaimWrite write = *row.pendingWrite;
    row.pendingWrite.reset();
    row.inBatch = false;
    if (result.kind == AgentEvent::ClaimResult::Kind::Written || result.record == write.record) {
        row.current = write.record;
        this->applyConfirmedWrite(key, row, outcomes);
        return;
    }
    const auto record = decodeClaimRecord(result.record);
    if (record.has_value() && record->claimId == row.record.claimId) {
        row.current = result.record;
        this->applyConfirmedWrite(key, row, outcomes);
        return;
    }
    const bool claiming = write.expected.empty();
    outcomes.push_back({key, row.requestId,
                        claiming ? Outcome::Kind::Lost : Outcome::Kind::Recorded, result.record});
    this->rows.erase(found);
}

// Handles a confirmed write: the store holds row.current. If that is not the desired state, the
// next batch contains another write.
void ClaimTable::applyConfirmedWrite(const std::string &key, Row &row,
                                     std::vector<Outcome> &outcomes)
{
    if (row.current != row.desired)
        return;
    if (row.current == encodeClaimRecord(row.record)) {
        outcomes.push_back({key, row.requestId, Outcome::Kind::Claimed, {}});
        return;
    }
    outcomes.push_back({key, row.requestId, Outcome::Kind::Recorded, {}});
    this->rows.erase(key);
}

} // namespace Nutmegrill
