#pragma once

#include "Agent/AgentCommand.h"

#include <map>
#include <string>

namespace Nutmegrill {

/// In-memory key-value store with compare-and-swap that can be unreachable or lose its responses.
class FakeStore
{
public:
    enum class Mode {
        Up,
        Down, ///< no write takes effect, no response
        Lost  ///< the writes take effect, the response is lost
    };

    AgentEvent::ClaimsAnswered run(const AgentCommand::WriteClaims &batch)
    {
        AgentEvent::ClaimsAnswered answer;
        answer.batch = batch.batch;
        answer.reached = this->mode == Mode::Up;
        if (this->mode == Mode::Down)
            return answer;
        for (const AgentCommand::ClaimWrite &write : batch.writes)
            answer.results.push_back(this->swap(write));
        if (this->mode == Mode::Lost)
            answer.results.clear();
        return answer;
    }

    Mode mode = Mode::Up;
    std::map<std::string, std::string> records;

private:
    AgentEvent::ClaimResult swap(const AgentCommand::ClaimWrite &write)
    {
        const auto found = this->records.find(write.key);
        const std::string current = found == this->records.end() ? "" : found->second;
        if (current != write.expected)
            return {write.key, AgentEvent::ClaimResult::Kind::Conflict, current};
        if (write.record.empty())
            this->records.erase(write.key);
        else
            this->records[write.key] = write.record;
        return {write.key, AgentEvent::ClaimResult::Kind::Written, {}};
    }
};

} // namespace Nutmegrill
