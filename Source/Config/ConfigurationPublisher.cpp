#include "Config/ConfigurationPublisher.h"

#include "Config/ConfigurationCodec.h"
#include "Core/Hash.h"

#include <utility>

namespace Nutmegrill {

namespace {

// Limits of one publication: an operator waits for its result, and each request loads the store.
constexpr std::size_t MaxLostAnswers = 5;
constexpr std::size_t MaxAttempts = 8;

const char *describe(ConfigurationChange::Verdict verdict)
{
    return verdict == ConfigurationChange::Verdict::UnknownFailureDomain
                   ? "the stored configuration has no such failure domain"
                   : "the epoch of the failure domain has reached its highest value";
}

} // namespace

ConfigurationPublisher::ConfigurationPublisher(ConfigurationChange change, Switches switches)
    : change(std::move(change)), switches(switches)
{}

void ConfigurationPublisher::start(Commands &commands)
{
    if (this->current == State::Idle)
        this->send(State::ReadingHead, PublishCommand::ReadHead{}, commands);
}

void ConfigurationPublisher::handle(const PublishEvent::Any &event, Commands &commands)
{
    if (this->current == State::Idle || this->current == State::Ended)
        return;
    std::visit([this, &commands](const auto &answer) { this->on(answer, commands); }, event);
}

void ConfigurationPublisher::on(const PublishEvent::HeadRead &event, Commands &commands)
{
    this->lostAnswers = 0;
    if (this->current == State::ReadingHead)
        this->evaluateHead(event, commands);
    else if (this->current == State::ReadingBack)
        this->readBack(event, commands);
}

void ConfigurationPublisher::on(const PublishEvent::ChunkRead &event, Commands &commands)
{
    if (this->current != State::ReadingChunk)
        return;
    this->lostAnswers = 0;
    // A later version may have deleted the chunk since the head was read, so the head is read again
    // once before the store counts as damaged.
    if (!event.text.has_value() && this->incompleteRevision != this->revision) {
        this->incompleteRevision = this->revision;
        if (this->consumeAttempt(commands))
            this->send(State::ReadingHead, PublishCommand::ReadHead{}, commands);
        return;
    }
    if (!event.text.has_value() || sha256Hex(*event.text) != event.hash)
        return this->fail(PublishError::StoredConfigurationDamaged,
                          "chunk " + event.hash + " is missing or damaged", commands);
    this->storedChunks[event.hash] = *event.text;
    this->readNextChunk(commands);
}

void ConfigurationPublisher::on(const PublishEvent::ChunkWritten &event, Commands &commands)
{
    if (this->current != State::WritingChunk
        || event.hash != this->nextChunks[this->chunksWritten].first)
        return;
    this->lostAnswers = 0;
    ++this->chunksWritten;
    this->writeNextChunk(commands);
}

void ConfigurationPublisher::on(const PublishEvent::SwapAnswered &event, Commands &commands)
{
    if (this->current != State::Swapping)
        return;
    this->lostAnswers = 0;
    if (event.swapped)
        this->finish(PublishCommand::Done{this->next.version, true}, commands);
    else
        this->send(State::ReadingBack, PublishCommand::ReadHead{}, commands);
}

void ConfigurationPublisher::on(const PublishEvent::AnswerLost &, Commands &commands)
{
    if (this->current == State::Swapping)
        this->isSwapUncertain = true;
    if (++this->lostAnswers > MaxLostAnswers)
        return this->fail(PublishError::StoreUnreachable, "the store does not answer", commands);
    if (this->current != State::Swapping)
        commands.push_back(this->pendingCommand);
    else if (this->switches.readBack)
        this->send(State::ReadingBack, PublishCommand::ReadHead{}, commands);
    else
        this->send(State::ReadingHead, PublishCommand::ReadHead{}, commands);
}

void ConfigurationPublisher::on(const PublishEvent::StoreUnreachable &, Commands &commands)
{
    this->fail(PublishError::StoreUnreachable, "the store cannot be reached", commands);
}

void ConfigurationPublisher::evaluateHead(const PublishEvent::HeadRead &event, Commands &commands)
{
    this->revision = event.revision;
    this->stored.reset();
    // A store that lost its configuration must not silently restart at version 1, because every
    // process ignores versions below the one it runs.
    if (!event.head.has_value() && !this->acceptsVersion(0))
        return this->fail(PublishError::StoredConfigurationDamaged,
                          "the store holds no configuration", commands);
    if (!event.head.has_value())
        return this->applyChange(Configuration{}, commands);
    this->stored = decodeHead(*event.head);
    if (!this->stored.has_value())
        return this->fail(PublishError::StoredConfigurationDamaged, "the head is malformed",
                          commands);
    const auto done = this->stored->versionOf(this->change.changeId);
    if (done.has_value() && this->switches.readBack)
        return this->finish(PublishCommand::Done{*done, true}, commands);
    if (!this->acceptsVersion(this->stored->version))
        return this->finish(PublishCommand::Conflict{this->stored->version, this->stored->changeId,
                                                     this->stored->author},
                            commands);
    this->readNextChunk(commands);
}

void ConfigurationPublisher::readNextChunk(Commands &commands)
{
    for (const std::string &hash : this->stored->chunks) {
        if (this->storedChunks.count(hash) == 0)
            return this->send(State::ReadingChunk, PublishCommand::ReadChunk{hash}, commands);
    }
    const auto configuration = joinChunks(*this->stored, this->storedChunks);
    if (!configuration.has_value())
        return this->fail(PublishError::StoredConfigurationDamaged,
                          "the stored document does not match its head", commands);
    this->applyChange(*configuration, commands);
}

void ConfigurationPublisher::applyChange(const Configuration &base, Commands &commands)
{
    using Verdict = ConfigurationChange::Verdict;
    const ConfigurationChange::Outcome outcome = this->change.applyTo(base);
    if (outcome.verdict == Verdict::Unchanged)
        return this->finish(PublishCommand::Done{base.version, false}, commands);
    if (outcome.verdict == Verdict::UnknownFailureDomain)
        return this->fail(PublishError::UnknownFailureDomain, describe(outcome.verdict), commands);
    if (outcome.verdict == Verdict::EpochExhausted)
        return this->fail(PublishError::EpochExhausted, describe(outcome.verdict), commands);
    this->prepareNextVersion(outcome.configuration);
    this->writeNextChunk(commands);
}

void ConfigurationPublisher::prepareNextVersion(const Configuration &configuration)
{
    const std::string document = encodeConfiguration(configuration);
    this->nextChunks = splitDocument(document);
    this->chunksWritten = 0;
    this->next = ConfigurationHead{};
    this->next.version = configuration.version;
    this->next.digest = sha256Hex(document);
    for (const auto &[hash, text] : this->nextChunks)
        this->next.chunks.push_back(hash);
    this->next.changeId = this->change.changeId;
    this->next.author = this->change.author;
    if (!this->stored.has_value())
        return;
    auto &previous = this->next.previousChangeIds;
    previous = this->stored->previousChangeIds;
    previous.insert(previous.begin(), this->stored->changeId);
    if (previous.size() > ConfigurationHead::MaxPreviousChanges)
        previous.resize(ConfigurationHead::MaxPreviousChanges);
    this->retireChunks();
}

void ConfigurationPublisher::retireChunks()
{
    auto &lists = this->next.previousChunks;
    lists = this->stored->previousChunks;
    lists.insert(lists.begin(), this->stored->chunks);
    while (lists.size() > ConfigurationHead::MaxPreviousChunkLists) {
        this->retiredChunks.insert(this->retiredChunks.end(), lists.back().begin(),
                                   lists.back().end());
        lists.pop_back();
    }
    std::erase_if(this->retiredChunks,
                  [this](const std::string &hash) { return this->next.needsChunk(hash); });
}

void ConfigurationPublisher::writeNextChunk(Commands &commands)
{
    if (this->chunksWritten == this->nextChunks.size())
        return this->sendSwap(commands);
    const auto &[hash, text] = this->nextChunks[this->chunksWritten];
    this->send(State::WritingChunk, PublishCommand::WriteChunk{hash, text}, commands);
}

void ConfigurationPublisher::sendSwap(Commands &commands)
{
    this->send(
            State::Swapping,
            PublishCommand::SwapHead{this->revision, encodeHead(this->next), this->retiredChunks},
            commands);
}

void ConfigurationPublisher::readBack(const PublishEvent::HeadRead &event, Commands &commands)
{
    // The swap has not taken effect but may still be in flight. Sending it again with the same
    // expected revision is safe: at most one of the two can succeed.
    if (event.revision == this->revision)
        return this->consumeAttempt(commands) ? this->sendSwap(commands) : void();
    const auto found = event.head.has_value() ? decodeHead(*event.head) : std::nullopt;
    if (!found.has_value())
        return this->fail(PublishError::StoredConfigurationDamaged,
                          "the head disappeared or is malformed", commands);
    this->resolveSwap(event, *found, commands);
}

void ConfigurationPublisher::resolveSwap(const PublishEvent::HeadRead &event,
                                         const ConfigurationHead &found, Commands &commands)
{
    if (const auto version = found.versionOf(this->change.changeId))
        return this->finish(PublishCommand::Done{*version, true}, commands);
    // Versions are consecutive, so the change stored under the intended version shows whether this
    // one lost. When the head no longer lists that version, the outcome of an unanswered swap stays
    // unknown.
    if (!found.changeIdOf(this->next.version).has_value() && this->isSwapUncertain)
        return this->fail(PublishError::TooManyAttempts,
                          "the head no longer lists version " + std::to_string(this->next.version),
                          commands);
    this->isSwapUncertain = false;
    this->handleLostRace(event, found, commands);
}

void ConfigurationPublisher::handleLostRace(const PublishEvent::HeadRead &event,
                                            const ConfigurationHead &winner, Commands &commands)
{
    // An apply was validated against the configuration that its author read, so it ends in a
    // conflict. Other changes are evaluated again on top of the winning version.
    if (std::holds_alternative<ConfigurationChange::Apply>(this->change.action))
        return this->finish(
                PublishCommand::Conflict{winner.version, winner.changeId, winner.author}, commands);
    this->retiredChunks = this->next.chunks;
    if (this->consumeAttempt(commands))
        this->evaluateHead(event, commands);
}

bool ConfigurationPublisher::consumeAttempt(Commands &commands)
{
    if (++this->attempts < MaxAttempts)
        return true;
    this->fail(PublishError::TooManyAttempts,
               "gave up after " + std::to_string(MaxAttempts) + " attempts", commands);
    return false;
}

bool ConfigurationPublisher::acceptsVersion(std::uint64_t version) const
{
    const auto *apply = std::get_if<ConfigurationChange::Apply>(&this->change.action);
    return apply == nullptr || !apply->expectedVersion.has_value()
           || *apply->expectedVersion == version;
}

void ConfigurationPublisher::send(State state, const PublishCommand::Any &command,
                                  Commands &commands)
{
    this->current = state;
    this->pendingCommand = command;
    commands.push_back(command);
}

void ConfigurationPublisher::finish(const PublishCommand::Any &result, Commands &commands)
{
    this->current = State::Ended;
    commands.push_back(result);
}

void ConfigurationPublisher::fail(PublishError error, const std::string &text, Commands &commands)
{
    if (this->isSwapUncertain)
        this->finish(PublishCommand::OutcomeUnknown{this->change.changeId, text}, commands);
    else
        this->finish(PublishCommand::Failed{error, text}, commands);
}

} // namespace Nutmegrill
