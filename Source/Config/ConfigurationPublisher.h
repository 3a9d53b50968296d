#pragma once

#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationHead.h"
#include "Config/PublishEvent.h"
#include "Config/PublishOrder.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Decision logic of bringing one change into the store: reads the stored configuration, writes
/// the chunks of the next one and swaps the head by compare-and-swap on its revision. A swap whose
/// answer is lost is read back by change id, so a change is never applied twice.
class ConfigurationPublisher
{
public:
    enum class State {
        Idle,
        ReadingHead,
        ReadingChunk,
        WritingChunk,
        Swapping,
        ReadingBack,
        Ended
    };

    /// Mechanisms that tests turn off to show that their proofs notice.
    struct Switches
    {
        bool readBack = true;
    };

    explicit ConfigurationPublisher(ConfigurationChange change)
        : ConfigurationPublisher(std::move(change), Switches{})
    {}
    ConfigurationPublisher(ConfigurationChange change, Switches switches);

    void start(PublishOrder::List &orders);

    /// The answer to the last order. An answer that does not fit the state is ignored.
    void handle(const PublishEvent::Any &event, PublishOrder::List &orders);

    State state() const { return this->current; }

private:
    using Orders = PublishOrder::List;

    void on(const PublishEvent::HeadRead &event, Orders &orders);
    void on(const PublishEvent::ChunkRead &event, Orders &orders);
    void on(const PublishEvent::ChunkWritten &event, Orders &orders);
    void on(const PublishEvent::SwapAnswered &event, Orders &orders);
    void on(const PublishEvent::AnswerLost &event, Orders &orders);
    void on(const PublishEvent::StoreUnreachable &event, Orders &orders);

    void begin(const PublishEvent::HeadRead &event, Orders &orders);
    void readNextChunk(Orders &orders);
    void decide(const Configuration &stored, Orders &orders);
    void prepare(const Configuration &next);
    void retireChunks();
    void writeNextChunk(Orders &orders);
    void swap(Orders &orders);
    void readBack(const PublishEvent::HeadRead &event, Orders &orders);
    void settle(const PublishEvent::HeadRead &event, const ConfigurationHead &found,
                Orders &orders);
    void lose(const PublishEvent::HeadRead &event, const ConfigurationHead &winner, Orders &orders);
    /// Whether the change may follow this stored version.
    bool expects(std::uint64_t version) const;
    bool spendAttempt(Orders &orders);

    void send(State next, const PublishOrder::Any &order, Orders &orders);
    void finish(const PublishOrder::Any &result, Orders &orders);
    /// Ends without a new version, as unknown when a swap may have been carried out.
    void giveUp(PublishError error, const std::string &text, Orders &orders);

    ConfigurationChange change;
    Switches switches;
    State current = State::Idle;
    /// The order that waits for its answer, repeated when the answer is lost.
    PublishOrder::Any pending;
    std::size_t lostAnswers = 0;
    std::size_t attempts = 0;
    /// A swap was sent whose effect is not known.
    bool isSwapUncertain = false;

    std::uint64_t revision = 0;
    std::optional<ConfigurationHead> stored;
    std::map<std::string, std::string> storedChunks;
    ConfigurationHead next;
    std::vector<ConfigurationChunk> nextChunks;
    std::size_t chunksWritten = 0;
    /// Chunks that no head needs once the swap is done: those of old versions and of attempts of
    /// this publisher that lost.
    std::vector<std::string> retired;
    /// Revision of the head that named a chunk which was absent; 0: none.
    std::uint64_t incompleteRevision = 0;
};

} // namespace Nutmegrill
