#include "Config/ConfigurationPublisher.h"

#include "Config/ConfigurationCodec.h"
#include "Core/Hash.h"

#include <utility>

namespace Nutmegrill {

namespace {

// Bounds of one publication: the operator waits for it, and every call counts at the store.
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

void ConfigurationPublisher::start(Orders &orders)
{
    if (this->current == State::Idle)
        this->send(State::ReadingHead, PublishOrder::ReadHead{}, orders);
}

void ConfigurationPublisher::handle(const PublishEvent::Any &event, Orders &orders)
{
    if (this->current == State::Idle || this->current == State::Ended)
        return;
    std::visit([this, &orders](const auto &answer) { this->on(answer, orders); }, event);
}

void ConfigurationPublisher::on(const PublishEvent::HeadRead &event, Orders &orders)
{
    this->lostAnswers = 0;
    if (this->current == State::ReadingHead)
        this->begin(event, orders);
    else if (this->current == State::ReadingBack)
        this->readBack(event, orders);
}

void ConfigurationPublisher::on(const PublishEvent::ChunkRead &event, Orders &orders)
{
    if (this->current != State::ReadingChunk)
        return;
    this->lostAnswers = 0;
    // A later version may have retired the chunk since the head was read.
    if (!event.text.has_value() && this->incompleteRevision != this->revision) {
        this->incompleteRevision = this->revision;
        if (this->spendAttempt(orders))
            this->send(State::ReadingHead, PublishOrder::ReadHead{}, orders);
        return;
    }
    if (!event.text.has_value() || sha256Hex(*event.text) != event.hash)
        return this->giveUp(PublishError::StoredConfigurationDamaged,
                            "chunk " + event.hash + " is missing or damaged", orders);
    this->storedChunks[event.hash] = *event.text;
    this->readNextChunk(orders);
}

void ConfigurationPublisher::on(const PublishEvent::ChunkWritten &event, Orders &orders)
{
    if (this->current != State::WritingChunk
        || event.hash != this->nextChunks[this->chunksWritten].first)
        return;
    this->lostAnswers = 0;
    ++this->chunksWritten;
    this->writeNextChunk(orders);
}

void ConfigurationPublisher::on(const PublishEvent::SwapAnswered &event, Orders &orders)
{
    if (this->current != State::Swapping)
        return;
    this->lostAnswers = 0;
    if (event.swapped)
        this->finish(PublishOrder::Done{this->next.version, true}, orders);
    else
        this->send(State::ReadingBack, PublishOrder::ReadHead{}, orders);
}

void ConfigurationPublisher::on(const PublishEvent::AnswerLost &, Orders &orders)
{
    if (this->current == State::Swapping)
        this->isSwapUncertain = true;
    if (++this->lostAnswers > MaxLostAnswers)
        return this->giveUp(PublishError::StoreUnreachable, "the store does not answer", orders);
    if (this->current != State::Swapping)
        orders.push_back(this->pending);
    else if (this->switches.readBack)
        this->send(State::ReadingBack, PublishOrder::ReadHead{}, orders);
    else
        this->send(State::ReadingHead, PublishOrder::ReadHead{}, orders);
}

void ConfigurationPublisher::on(const PublishEvent::StoreUnreachable &, Orders &orders)
{
    this->giveUp(PublishError::StoreUnreachable, "the store cannot be reached", orders);
}

void ConfigurationPublisher::begin(const PublishEvent::HeadRead &event, Orders &orders)
{
    this->revision = event.revision;
    this->stored.reset();
    // A store that lost the configuration must not begin again at version 1 unasked: every process
    // ignores versions below the one in force.
    if (!event.head.has_value() && !this->expects(0))
        return this->giveUp(PublishError::StoredConfigurationDamaged,
                            "the store holds no configuration", orders);
    if (!event.head.has_value())
        return this->decide(Configuration{}, orders);
    this->stored = decodeHead(*event.head);
    if (!this->stored.has_value())
        return this->giveUp(PublishError::StoredConfigurationDamaged, "the head is malformed",
                            orders);
    const auto done = this->stored->versionOf(this->change.changeId);
    if (done.has_value() && this->switches.readBack)
        return this->finish(PublishOrder::Done{*done, true}, orders);
    if (!this->expects(this->stored->version))
        return this->finish(PublishOrder::Conflict{this->stored->version, this->stored->changeId,
                                                   this->stored->author},
                            orders);
    this->readNextChunk(orders);
}

void ConfigurationPublisher::readNextChunk(Orders &orders)
{
    for (const std::string &hash : this->stored->chunks) {
        if (this->storedChunks.count(hash) == 0)
            return this->send(State::ReadingChunk, PublishOrder::ReadChunk{hash}, orders);
    }
    const auto configuration = joinChunks(*this->stored, this->storedChunks);
    if (!configuration.has_value())
        return this->giveUp(PublishError::StoredConfigurationDamaged,
                            "the stored document does not match its head", orders);
    this->decide(*configuration, orders);
}

void ConfigurationPublisher::decide(const Configuration &base, Orders &orders)
{
    using Verdict = ConfigurationChange::Verdict;
    const ConfigurationChange::Outcome outcome = this->change.applyTo(base);
    if (outcome.verdict == Verdict::Unchanged)
        return this->finish(PublishOrder::Done{base.version, false}, orders);
    if (outcome.verdict == Verdict::UnknownFailureDomain)
        return this->giveUp(PublishError::UnknownFailureDomain, describe(outcome.verdict), orders);
    if (outcome.verdict == Verdict::EpochExhausted)
        return this->giveUp(PublishError::EpochExhausted, describe(outcome.verdict), orders);
    this->prepare(outcome.configuration);
    this->writeNextChunk(orders);
}

void ConfigurationPublisher::prepare(const Configuration &configuration)
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
        this->retired.insert(this->retired.end(), lists.back().begin(), lists.back().end());
        lists.pop_back();
    }
    std::erase_if(this->retired,
                  [this](const std::string &hash) { return this->next.needsChunk(hash); });
}

void ConfigurationPublisher::writeNextChunk(Orders &orders)
{
    if (this->chunksWritten == this->nextChunks.size())
        return this->swap(orders);
    const auto &[hash, text] = this->nextChunks[this->chunksWritten];
    this->send(State::WritingChunk, PublishOrder::WriteChunk{hash, text}, orders);
}

void ConfigurationPublisher::swap(Orders &orders)
{
    this->send(State::Swapping,
               PublishOrder::SwapHead{this->revision, encodeHead(this->next), this->retired},
               orders);
}

void ConfigurationPublisher::readBack(const PublishEvent::HeadRead &event, Orders &orders)
{
    // The swap has not been carried out but may still be under way. A repeat under the same
    // revision is safe: at most one of the two can succeed.
    if (event.revision == this->revision)
        return this->spendAttempt(orders) ? this->swap(orders) : void();
    const auto found = event.head.has_value() ? decodeHead(*event.head) : std::nullopt;
    if (!found.has_value())
        return this->giveUp(PublishError::StoredConfigurationDamaged,
                            "the head disappeared or is malformed", orders);
    this->settle(event, *found, orders);
}

void ConfigurationPublisher::settle(const PublishEvent::HeadRead &event,
                                    const ConfigurationHead &found, Orders &orders)
{
    if (const auto version = found.versionOf(this->change.changeId))
        return this->finish(PublishOrder::Done{*version, true}, orders);
    // Versions rise by one, so the change that took the place of this one decides. When the head
    // no longer remembers it, the effect of a swap without an answer stays unknown.
    if (!found.changeIdOf(this->next.version).has_value() && this->isSwapUncertain)
        return this->giveUp(PublishError::TooManyAttempts,
                            "the head no longer remembers version "
                                    + std::to_string(this->next.version),
                            orders);
    this->isSwapUncertain = false;
    this->lose(event, found, orders);
}

void ConfigurationPublisher::lose(const PublishEvent::HeadRead &event,
                                  const ConfigurationHead &winner, Orders &orders)
{
    // An apply was checked against the configuration that its author saw. Take-out and bring-back
    // are decided anew on what the winner left.
    if (std::holds_alternative<ConfigurationChange::Apply>(this->change.action))
        return this->finish(PublishOrder::Conflict{winner.version, winner.changeId, winner.author},
                            orders);
    this->retired = this->next.chunks;
    if (this->spendAttempt(orders))
        this->begin(event, orders);
}

bool ConfigurationPublisher::spendAttempt(Orders &orders)
{
    if (++this->attempts < MaxAttempts)
        return true;
    this->giveUp(PublishError::TooManyAttempts,
                 "gave up after " + std::to_string(MaxAttempts) + " attempts", orders);
    return false;
}

bool ConfigurationPublisher::expects(std::uint64_t version) const
{
    const auto *apply = std::get_if<ConfigurationChange::Apply>(&this->change.action);
    return apply == nullptr || !apply->expectedVersion.has_value()
           || *apply->expectedVersion == version;
}

void ConfigurationPublisher::send(State state, const PublishOrder::Any &order, Orders &orders)
{
    this->current = state;
    this->pending = order;
    orders.push_back(order);
}

void ConfigurationPublisher::finish(const PublishOrder::Any &result, Orders &orders)
{
    this->current = State::Ended;
    orders.push_back(result);
}

void ConfigurationPublisher::giveUp(PublishError error, const std::string &text, Orders &orders)
{
    if (this->isSwapUncertain)
        this->finish(PublishOrder::OutcomeUnknown{this->change.changeId, text}, orders);
    else
        this->finish(PublishOrder::Failed{error, text}, orders);
}

} // namespace Nutmegrill
