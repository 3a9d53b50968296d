#pragma once

#include "Agent/AgentOrder.h"
#include "Agent/ClaimRecord.h"
#include "Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The agent's own claims on non-idempotent calls, and the writes that bring the store to what they
/// should say. One batch of writes is under way at a time. A write without an answer is repeated
/// as the same compare-and-swap: a record with the own claim id then means that it took effect.
class ClaimTable
{
public:
    /// What an answered write means for the request.
    struct Outcome
    {
        enum class Kind {
            Claimed, ///< the call may be handed over
            Lost,    ///< another record is there; see record
            Recorded ///< the last state of the claim is in the store, or the claim is gone from it
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
        /// What the store is known to hold for this claim; empty: nothing.
        std::string current;
        /// What it should hold.
        std::string desired;
        /// Write whose answer is awaited or was lost.
        std::optional<AgentOrder::ClaimWrite> attempt;
        bool inBatch = false;
    };

    explicit ClaimTable(std::string claimIdPrefix);

    const Row *find(const std::string &key) const;
    bool empty() const { return this->rows.empty(); }
    std::size_t size() const { return this->rows.size(); }

    /// Begins to claim \a key. \a record lacks the claim id.
    void claim(const std::string &key, const std::string &requestId, ClaimRecord record);

    /// The call has ended; \a state and the answer in \a answer replace the claim.
    void finish(const std::string &key, ClaimRecord::State state, const ClaimRecord &answer);

    /// The call was certainly not handed over. A claim that may be in the store is deleted there.
    void withdraw(const std::string &key);

    /// The next batch to send, if one is due.
    std::optional<AgentOrder::WriteClaims> nextBatch(Instant now);

    std::vector<Outcome> answered(Instant now, const AgentEvent::ClaimsAnswered &answer);

private:
    void fallBack(Instant now);
    std::optional<AgentOrder::ClaimWrite> nextWrite(const std::string &key, const Row &row) const;
    void settle(const std::string &key, const AgentEvent::ClaimResult &result,
                std::vector<Outcome> &outcomes);
    void settleTaken(const std::string &key, Row &row, std::vector<Outcome> &outcomes);

    std::string claimIdPrefix;
    std::uint64_t lastClaim = 0;
    std::uint64_t lastBatch = 0;
    /// Last key of the last batch.
    std::string lastKey;
    bool batchOpen = false;
    Instant batchDeadline;
    Instant retryAt;
    Instant::duration retryPause{0};
    std::map<std::string, Row> rows;
};

} // namespace Nutmegrill
