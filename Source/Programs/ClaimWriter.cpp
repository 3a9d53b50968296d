#include "Programs/ClaimWriter.h"

#include "Net/EventLoop.h"
#include "Net/StoreClient.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace Nutmegrill {

namespace {

// A claim must outlive every repeat of its call; callers repeat a call for at most a day.
constexpr std::chrono::hours ClaimLifetime(25);
constexpr std::chrono::hours LeaseReplacePeriod(1);

StoreTransaction::Operation claimTransaction(const AgentCommand::ClaimWrite &write,
                                             std::int64_t lease)
{
    using Operation = StoreTransaction::Operation;
    StoreTransaction transaction;
    const auto expected = write.expected.empty() ? std::optional<std::string>()
                                                 : std::optional<std::string>(write.expected);
    transaction.compares.push_back({write.key, expected, std::nullopt});

    Operation change;
    change.kind = write.record.empty() ? Operation::Kind::Delete : Operation::Kind::Put;
    change.key = write.key;
    change.value = write.record;
    change.lease = write.record.empty() ? 0 : lease;
    transaction.onSuccess.push_back(change);

    Operation read;
    read.kind = Operation::Kind::Get;
    read.key = write.key;
    transaction.onFailure.push_back(read);

    Operation nested;
    nested.kind = Operation::Kind::Nested;
    nested.nested.push_back(transaction);
    return nested;
}

AgentEvent::ClaimResult readClaim(const AgentCommand::ClaimWrite &write, const StoreResult &part)
{
    AgentEvent::ClaimResult result;
    result.key = write.key;
    if (part.succeeded) {
        result.kind = AgentEvent::ClaimResult::Kind::Written;
        result.record = write.record;
    } else if (!part.operationResults.empty() && !part.operationResults.front().keyValues.empty()) {
        result.record = part.operationResults.front().keyValues.front().value;
    }
    return result;
}

} // namespace

ClaimWriter::ClaimWriter(EventLoop &loop, StoreClient &store, AnswerHandler handler)
    : loop(loop), store(store), onAnswer(std::move(handler))
{}

void ClaimWriter::write(const AgentCommand::WriteClaims &batch)
{
    if (this->lease != 0 && this->loop.now() < this->leaseReplaceDeadline) {
        this->writeUnderLease(batch);
        return;
    }
    this->store.grantLease(ClaimLifetime, [this, batch](const StoreResult &result) {
        if (!result.isOk() || result.lease == 0) {
            this->fail(batch.batch);
            return;
        }
        this->lease = result.lease;
        this->leaseReplaceDeadline = this->loop.now() + LeaseReplacePeriod;
        this->writeUnderLease(batch);
    });
}

void ClaimWriter::writeUnderLease(const AgentCommand::WriteClaims &batch)
{
    StoreTransaction transaction;
    for (const AgentCommand::ClaimWrite &write : batch.writes)
        transaction.onSuccess.push_back(claimTransaction(write, this->lease));
    this->store.transact(transaction, [this, batch](const StoreResult &result) {
        if (!result.isOk() || result.operationResults.size() != batch.writes.size()) {
            // A store that was restarted empty does not know the lease.
            this->lease = 0;
            this->fail(batch.batch);
            return;
        }
        AgentEvent::ClaimsAnswered answer;
        answer.batch = batch.batch;
        answer.reached = true;
        for (std::size_t index = 0; index < batch.writes.size(); ++index)
            answer.results.push_back(
                    readClaim(batch.writes[index], result.operationResults[index]));
        this->onAnswer(answer);
    });
}

void ClaimWriter::fail(std::uint64_t batch)
{
    AgentEvent::ClaimsAnswered answer;
    answer.batch = batch;
    answer.reached = false;
    this->onAnswer(answer);
}

} // namespace Nutmegrill
