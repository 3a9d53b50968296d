#pragma once

#include "Config/ConfigurationHead.h"
#include "Config/PublishCommand.h"
#include "Config/PublishEvent.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// In-memory store of one head and its chunks that can lose answers and execute requests late.
class FakeConfigurationStore
{
public:
    enum class Fault { None, LostBefore, LostAfter, Delayed };

    PublishEvent::Any execute(const PublishCommand::Any &command, Fault fault)
    {
        if (fault == Fault::LostBefore)
            return PublishEvent::AnswerLost{};
        if (fault == Fault::Delayed) {
            this->delayed.push_back(command);
            return PublishEvent::AnswerLost{};
        }
        const PublishEvent::Any answer = this->run(command);
        return fault == Fault::LostAfter ? PublishEvent::Any(PublishEvent::AnswerLost{}) : answer;
    }

    /// Executes the delayed requests.
    void deliverDelayed()
    {
        const auto commands = std::exchange(this->delayed, {});
        for (const PublishCommand::Any &command : commands)
            this->run(command);
    }

    std::optional<Configuration> latest() const
    {
        const auto head = this->heads.empty() ? std::nullopt : decodeHead(this->heads.back());
        return head.has_value() ? joinChunks(*head, this->chunks) : std::nullopt;
    }

    /// Every accepted head, oldest first.
    std::vector<std::string> heads;
    std::map<std::string, std::string> chunks;
    /// False makes the store ignore the expected revision of a swap.
    bool comparesRevision = true;

private:
    PublishEvent::Any run(const PublishCommand::Any &command)
    {
        if (const auto *read = std::get_if<PublishCommand::ReadChunk>(&command)) {
            const auto found = this->chunks.find(read->hash);
            if (found == this->chunks.end())
                return PublishEvent::ChunkRead{read->hash, std::nullopt};
            return PublishEvent::ChunkRead{read->hash, found->second};
        }
        if (const auto *write = std::get_if<PublishCommand::WriteChunk>(&command)) {
            this->chunks[write->hash] = write->text;
            return PublishEvent::ChunkWritten{write->hash};
        }
        if (const auto *swap = std::get_if<PublishCommand::SwapHead>(&command)) {
            if (this->comparesRevision && swap->expectedRevision != this->revision)
                return PublishEvent::SwapAnswered{false};
            this->heads.push_back(swap->head);
            for (const std::string &hash : swap->retiredChunks)
                this->chunks.erase(hash);
            this->revision += 3;
            return PublishEvent::SwapAnswered{true};
        }
        if (this->heads.empty())
            return PublishEvent::HeadRead{};
        return PublishEvent::HeadRead{this->revision, this->heads.back()};
    }

    std::uint64_t revision = 0;
    std::vector<PublishCommand::Any> delayed;
};

} // namespace Nutmegrill
