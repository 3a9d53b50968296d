#pragma once

#include "Config/ConfigurationHead.h"
#include "Config/PublishEvent.h"
#include "Config/PublishOrder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// A store of one head and its chunks that can lose answers and carry requests out late.
class FakeConfigurationStore
{
public:
    enum class Fault { None, LostBefore, LostAfter, Delayed };

    PublishEvent::Any execute(const PublishOrder::Any &order, Fault fault)
    {
        if (fault == Fault::LostBefore)
            return PublishEvent::AnswerLost{};
        if (fault == Fault::Delayed) {
            this->delayed.push_back(order);
            return PublishEvent::AnswerLost{};
        }
        const PublishEvent::Any answer = this->run(order);
        return fault == Fault::LostAfter ? PublishEvent::Any(PublishEvent::AnswerLost{}) : answer;
    }

    /// Carries out the requests that were under way.
    void deliverDelayed()
    {
        const auto orders = std::exchange(this->delayed, {});
        for (const PublishOrder::Any &order : orders)
            this->run(order);
    }

    std::optional<Configuration> latest() const
    {
        const auto head = this->heads.empty() ? std::nullopt : decodeHead(this->heads.back());
        return head.has_value() ? joinChunks(*head, this->chunks) : std::nullopt;
    }

    /// Every accepted head, oldest first.
    std::vector<std::string> heads;
    std::map<std::string, std::string> chunks;
    /// Switch: false makes the store ignore the expected revision.
    bool comparesRevision = true;

private:
    PublishEvent::Any run(const PublishOrder::Any &order)
    {
        if (const auto *read = std::get_if<PublishOrder::ReadChunk>(&order)) {
            const auto found = this->chunks.find(read->hash);
            if (found == this->chunks.end())
                return PublishEvent::ChunkRead{read->hash, std::nullopt};
            return PublishEvent::ChunkRead{read->hash, found->second};
        }
        if (const auto *write = std::get_if<PublishOrder::WriteChunk>(&order)) {
            this->chunks[write->hash] = write->text;
            return PublishEvent::ChunkWritten{write->hash};
        }
        if (const auto *swap = std::get_if<PublishOrder::SwapHead>(&order)) {
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
    std::vector<PublishOrder::Any> delayed;
};

} // namespace Nutmegrill
