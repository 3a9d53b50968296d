#pragma once

#include "Agent/AgentCommand.h"
#include "Agent/ClaimRecord.h"
#include "Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The agent's own claims on non-idempotent requests, and the writes that bring the store to their
/// desired state. One batch of writes is in flight at a time. An unanswered write is repeated as
/// the same compare-and-swap: a record with the agent's claim id then shows that it took effect.
class ClaimTable
{
public:
    /// Result of an answered write for its request.
    struct Outcome
    {
        enum class Kind {
            Claimed, ///< the request may be sent to the backend server
            Lost,    ///< the key holds another claim, see record
            Recorded ///< the final state is stored, or the claim no longer exists in the store
        };
        std::string key;
        std::string requestId;
        Kind kind = Kind::Lost;
        std::string record;
    };

    struct Row
    {
        std::string requestId;
        ClaimRecord record;
        /// Value that the store is known to hold for this claim; empty if absent.
        std::string current;
        /// Value that the store should hold; empty if the claim is to be deleted.
        std::string desired;
        /// Write that is in flight or whose response was lost.
        std::optional<AgentCommand::ClaimWrite> pendingWrite;
        bool inBatch = false;
    };

    explicit ClaimTable(std::string claimIdPrefix);

    const Row *find(const std::string &key) const;
    bool empty() const { return this->rows.empty(); }
    std::size_t size() const { return this->rows.size(); }

    /// Starts to claim \a key. Assigns the claim id of \a record.
    void claim(const std::string &key, const std::string &requestId, ClaimRecord record);

    /// Replaces the claim of an ended request by \a state and the answer in \a answer.
    void finish(const std::string &key, ClaimRecord::State state, const ClaimRecord &answer);

    /// Removes the claim of a request that was definitely not sent to the backend server, also from
    /// the store if it may be there.
    void withdraw(const std::string &key);

    /// Returns the next batch to send, if one is due.
    std::optional<AgentCommand::WriteClaims> nextBatch(Instant now);

    std::vector<Outcome> receiveResults(Instant now, const AgentEvent::ClaimsAnswered &answer);

private:
    void scheduleRetry(Instant now);
    std::optional<AgentCommand::ClaimWrite> nextWrite(const std::string &key, const Row &row) const;
    void applyResult(const std::string &key, const AgentEvent::ClaimResult &result,
                     std::vector<Outcome> &outcomes);
    void applyConfirmedWrite(const std::string &key, Row &row, std::vector<Outcome> &outcomes);

    std::string claimIdPrefix;
    std::uint64_t lastClaim = 0;
    std::uint64_t lastBatch = 0;
    /// Last key of the last batch.
    std::string lastKey;
    bool isBatchInFlight = false;
    Instant batchDeadline;
    Instant retryAt;
    Instant::duration retryBackoff{0};
    std::map<std::string, Row> rows;
};

} // namespace Nutmegrill
