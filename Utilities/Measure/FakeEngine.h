#pragma once

#include "Agent/AgentCommand.h"
#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Simulates a model engine with continuous batching in virtual time. The step time grows with the
/// batch. A cold engine has a small batch capacity that grows as it warms up; beyond the capacity
/// it slows down, above twice the capacity it crashes. It also crashes when it runs out of KV
/// memory.
class FakeEngine
{
public:
    static constexpr std::uint32_t MaxBatch = 24;
    static constexpr std::uint32_t ColdBatchCapacity = 4;
    static constexpr std::uint32_t WarmBatchCapacity = 16;
    static constexpr std::uint64_t KvMemoryTokens = 16 * 1024;

    void start(const WorkMessage::Request &request);
    void cancel(const std::string &requestId);
    void pause(const std::string &requestId, bool paused);

    /// Makes the engine cold and clears its prefix cache.
    void beginColdStart(Instant now);
    /// Skips the cold start, for runs that begin with warm engines.
    void skipColdStart() { this->coldSince = Instant(std::chrono::hours(-1)); }

    bool isUp(Instant now) const { return now >= this->downUntil; }
    bool isIdle() const { return this->sequences.empty() && this->waiting.empty(); }
    std::string incarnation() const { return std::to_string(this->starts); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(this->sequences.size()); }

    /// Starts a step and returns its duration.
    Instant::duration beginStep(Instant now);
    /// Completes the step and returns its events.
    std::vector<AgentEvent::Any> endStep(Instant now);

    std::chrono::microseconds stepBase{8000};
    std::chrono::microseconds stepPerSequence{750};
    std::uint32_t coldBatchCapacity = ColdBatchCapacity;

    std::uint32_t crashes = 0;
    std::uint64_t tokens = 0;
    /// Highest ratio of batch size to batch capacity during a cold start.
    double maxColdLoad = 0;

private:
    struct Sequence
    {
        WorkMessage::Request request;
        std::uint64_t prefillLeft = 0;
        std::uint64_t generated = 0;
        bool headSent = false;
        bool paused = false;
    };

    double batchCapacity(Instant now) const;
    bool isCold(Instant now) const;
    std::uint64_t kvTokensUsed() const;
    void lookUpPrefix(Sequence &row);
    void crash(Instant now, std::vector<AgentEvent::Any> &events);
    static std::string tokenOf(const Sequence &row);

    std::map<std::string, Sequence> sequences;
    std::deque<WorkMessage::Request> waiting;
    std::deque<std::string> prefixes;
    Instant coldSince;
    Instant downUntil;
    std::uint32_t starts = 1;
};

} // namespace Nutmegrill
