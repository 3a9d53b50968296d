#include "Measure/FakeEngine.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;

constexpr microseconds PrefillPerToken(50);
// Prompt tokens per step; a long prompt is prefilled over several steps.
constexpr std::uint64_t PrefillTokensPerStep = 256;
constexpr std::uint64_t PrefixTokens = 200;
constexpr std::size_t MaxCachedPrefixes = 4;
constexpr std::chrono::seconds ColdStartDuration(8);
constexpr std::chrono::seconds RestartDuration(3);
constexpr double CrashLoadFactor = 2;

std::string prefixOf(const WorkMessage::Request &request)
{
    return request.account;
}

} // namespace

void FakeEngine::start(const WorkMessage::Request &request)
{
    this->waiting.push_back(request);
}

void FakeEngine::cancel(const std::string &requestId)
{
    this->sequences.erase(requestId);
    std::erase_if(this->waiting,
                  [&](const auto &request) { return request.requestId == requestId; });
}

void FakeEngine::pause(const std::string &requestId, bool paused)
{
    if (const auto row = this->sequences.find(requestId); row != this->sequences.end())
        row->second.paused = paused;
}

void FakeEngine::beginColdStart(Instant now)
{
    this->coldSince = now;
    this->prefixes.clear();
}

bool FakeEngine::isCold(Instant now) const
{
    return now < this->coldSince + ColdStartDuration;
}

double FakeEngine::batchCapacity(Instant now) const
{
    if (!this->isCold(now))
        return MaxBatch;
    const double part = std::chrono::duration<double>(now - this->coldSince) / ColdStartDuration;
    return this->coldBatchCapacity + (WarmBatchCapacity - this->coldBatchCapacity) * part;
}

std::uint64_t FakeEngine::kvTokensUsed() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, row] : this->sequences)
        sum += row.request.promptTokens + row.generated;
    return sum;
}

void FakeEngine::lookUpPrefix(Sequence &row)
{
    const std::string prefix = prefixOf(row.request);
    const auto found = std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
    row.prefillLeft = row.request.promptTokens;
    if (found != this->prefixes.end()) {
        row.prefillLeft -= std::min(row.prefillLeft, PrefixTokens);
        this->prefixes.erase(found);
    }
    this->prefixes.push_front(prefix);
    if (this->prefixes.size() > MaxCachedPrefixes)
        this->prefixes.pop_back();
}

Instant::duration FakeEngine::beginStep(Instant now)
{
    while (!this->waiting.empty() && this->sequences.size() < MaxBatch) {
        Sequence row;
        row.request = this->waiting.front();
        this->waiting.pop_front();
        this->lookUpPrefix(row);
        this->sequences[row.request.requestId] = std::move(row);
    }
    std::uint64_t prefillBudget = PrefillTokensPerStep;
    std::int64_t decoding = 0;
    for (auto &[id, row] : this->sequences) {
        const std::uint64_t read = std::min(prefillBudget, row.prefillLeft);
        row.prefillLeft -= read;
        prefillBudget -= read;
        decoding += row.paused ? 0 : 1;
    }
    const Instant::duration step =
            this->stepBase + decoding * this->stepPerSequence
            + static_cast<std::int64_t>(PrefillTokensPerStep - prefillBudget) * PrefillPerToken;
    const double load = static_cast<double>(this->sequences.size()) / this->batchCapacity(now);
    if (this->isCold(now))
        this->maxColdLoad = std::max(this->maxColdLoad, load);
    const double slowdown = std::max(1.0, load * load);
    return std::chrono::duration_cast<Instant::duration>(step * slowdown);
}

std::vector<AgentEvent::Any> FakeEngine::endStep(Instant now)
{
    std::vector<AgentEvent::Any> events;
    const bool overloaded = static_cast<double>(this->sequences.size())
                            > CrashLoadFactor * this->batchCapacity(now);
    if (overloaded || this->kvTokensUsed() > KvMemoryTokens) {
        this->crash(now, events);
        return events;
    }
    for (auto entry = this->sequences.begin(); entry != this->sequences.end();) {
        auto &[id, row] = *entry;
        if (row.paused || row.prefillLeft > 0) {
            ++entry;
            continue;
        }
        if (!row.headSent)
            events.emplace_back(AgentEvent::BackendHead{id, {200, {}}});
        row.headSent = true;
        events.emplace_back(AgentEvent::BackendData{id, tokenOf(row), 1});
        ++row.generated;
        ++this->tokens;
        if (row.generated < row.request.maxTokens) {
            ++entry;
            continue;
        }
        events.emplace_back(AgentEvent::BackendEnd{id});
        entry = this->sequences.erase(entry);
    }
    return events;
}

// The request id ends with the token limit of the whole answer, so that an attempt that continues
// an answer can compute the index of its next token. The path holds the size of one event in bytes.
std::string FakeEngine::tokenOf(const Sequence &row)
{
    const std::string &id = row.request.requestId;
    const std::uint64_t whole = std::stoull(id.substr(id.find('-') + 1));
    const std::uint64_t index = whole - row.request.maxTokens + row.generated;
    std::string text =
            R"(data: {"choices":[{"text":"t)" + std::to_string(index) + R"( "}]})" + "\n\n";
    const std::uint64_t size = std::stoull(row.request.path);
    if (text.size() < size)
        text.insert(text.size() - 6, size - text.size(), ' ');
    return text;
}

void FakeEngine::crash(Instant now, std::vector<AgentEvent::Any> &events)
{
    for (const auto &[id, row] : this->sequences)
        events.emplace_back(AgentEvent::BackendFailed{id, AgentEvent::BackendFailed::Kind::Broken});
    for (const auto &request : this->waiting)
        events.emplace_back(AgentEvent::BackendFailed{request.requestId,
                                                      AgentEvent::BackendFailed::Kind::Broken});
    this->sequences.clear();
    this->waiting.clear();
    ++this->crashes;
    ++this->starts;
    this->downUntil = now + RestartDuration;
    this->beginColdStart(this->downUntil);
}

} // namespace Nutmegrill
