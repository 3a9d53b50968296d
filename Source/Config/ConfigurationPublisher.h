#pragma once

#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationHead.h"
#include "Config/PublishCommand.h"
#include "Config/PublishEvent.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Decision logic that publishes one change to the store: reads the stored configuration, writes
/// the chunks of the next version and replaces the head by compare-and-swap on its revision. When
/// the answer to a swap is lost, the head is read back and searched for the change id, so that a
/// change is never applied twice.
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

    /// Mechanisms that tests disable to show that a property test detects their absence.
    struct Switches
    {
        bool readBack = true;
    };

    explicit ConfigurationPublisher(ConfigurationChange change)
        : ConfigurationPublisher(std::move(change), Switches{})
    {}
    ConfigurationPublisher(ConfigurationChange change, Switches switches);

    void start(PublishCommand::List &commands);

    /// Handles the answer to the last command. An answer that does not match the state is ignored.
    void handle(const PublishEvent::Any &event, PublishCommand::List &commands);

    State state() const { return this->current; }

private:
    using Commands = PublishCommand::List;

    void on(const PublishEvent::HeadRead &event, Commands &commands);
    void on(const PublishEvent::ChunkRead &event, Commands &commands);
    void on(const PublishEvent::ChunkWritten &event, Commands &commands);
    void on(const PublishEvent::SwapAnswered &event, Commands &commands);
    void on(const PublishEvent::AnswerLost &event, Commands &commands);
    void on(const PublishEvent::StoreUnreachable &event, Commands &commands);

    void evaluateHead(const PublishEvent::HeadRead &event, Commands &commands);
    void readNextChunk(Commands &commands);
    void applyChange(const Configuration &stored, Commands &commands);
    void prepareNextVersion(const Configuration &next);
    void retireChunks();
    void writeNextChunk(Commands &commands);
    void sendSwap(Commands &commands);
    void readBack(const PublishEvent::HeadRead &event, Commands &commands);
    void resolveSwap(const PublishEvent::HeadRead &event, const ConfigurationHead &found,
                     Commands &commands);
    void handleLostRace(const PublishEvent::HeadRead &event, const ConfigurationHead &winner,
                        Commands &commands);
    /// Whether the change may be applied to this stored version.
    bool acceptsVersion(std::uint64_t version) const;
    bool consumeAttempt(Commands &commands);

    void send(State next, const PublishCommand::Any &command, Commands &commands);
    void finish(const PublishCommand::Any &result, Commands &commands);
    /// Ends without a confirmed new version: OutcomeUnknown when a swap may have taken effect,
    /// Failed otherwise.
    void fail(PublishError error, const std::string &text, Commands &commands);

    ConfigurationChange change;
    Switches switches;
    State current = State::Idle;
    /// The command whose answer is outstanding; sent again when the answer is lost.
    PublishCommand::Any pendingCommand;
    std::size_t lostAnswers = 0;
    std::size_t attempts = 0;
    /// Whether the outcome of a swap that was sent is unknown.
    bool isSwapUncertain = false;

    std::uint64_t revision = 0;
    std::optional<ConfigurationHead> stored;
    std::map<std::string, std::string> storedChunks;
    ConfigurationHead next;
    std::vector<ConfigurationChunk> nextChunks;
    std::size_t chunksWritten = 0;
    /// Chunks that no head references after the swap: those of old versions, and those written for
    /// earlier swaps of this publisher that lost the race.
    std::vector<std::string> retiredChunks;
    /// Revision of the head that referenced a missing chunk; 0: none.
    std::uint64_t incompleteRevision = 0;
};

} // namespace Nutmegrill
