#include "Programs/PublishRunner.h"

#include "Net/EventLoop.h"
#include "Net/StoreClient.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Nutmegrill {

namespace {

// Backoff after a failed store call, so that an outage causes no busy loop.
constexpr std::chrono::milliseconds RetryDelay(200);

// Event that reports a failed store call to the publisher; nullopt when the store answered.
std::optional<PublishEvent::Any> failureOf(const StoreResult &result)
{
    switch (result.error) {
    case StoreError::None:
        return std::nullopt;
    case StoreError::Unreachable:
    case StoreError::Rejected:
        return PublishEvent::StoreUnreachable{};
    case StoreError::AnswerLost:
    case StoreError::Malformed:
        break;
    }
    return PublishEvent::AnswerLost{};
}

StoreTransaction::Operation putOperation(std::string key, std::string value)
{
    StoreTransaction::Operation operation;
    operation.kind = StoreTransaction::Operation::Kind::Put;
    operation.key = std::move(key);
    operation.value = std::move(value);
    return operation;
}

} // namespace

void PublishRunner::start(EventLoop &loop, StoreClient &store, ConfigurationChange change,
                          Done done)
{
    const auto runner =
            std::make_shared<PublishRunner>(loop, store, std::move(change), std::move(done));
    PublishCommand::List commands;
    runner->publisher.start(commands);
    runner->execute(commands);
}

PublishRunner::PublishRunner(EventLoop &loop, StoreClient &store, ConfigurationChange change,
                             Done done)
    : loop(loop), store(store), publisher(std::move(change)), done(std::move(done))
{}

void PublishRunner::handle(const PublishEvent::Any &event)
{
    const bool failed = std::holds_alternative<PublishEvent::AnswerLost>(event)
                        || std::holds_alternative<PublishEvent::StoreUnreachable>(event);
    PublishCommand::List commands;
    this->publisher.handle(event, commands);
    if (!failed) {
        this->execute(commands);
        return;
    }
    this->loop.after(RetryDelay,
                     [self = this->shared_from_this(), commands] { self->execute(commands); });
}

void PublishRunner::execute(const PublishCommand::List &commands)
{
    for (const PublishCommand::Any &command : commands) {
        if (const auto *readHead = std::get_if<PublishCommand::ReadHead>(&command))
            this->execute(*readHead);
        else if (const auto *readChunk = std::get_if<PublishCommand::ReadChunk>(&command))
            this->execute(*readChunk);
        else if (const auto *writeChunk = std::get_if<PublishCommand::WriteChunk>(&command))
            this->execute(*writeChunk);
        else if (const auto *swapHead = std::get_if<PublishCommand::SwapHead>(&command))
            this->execute(*swapHead);
        else
            this->done(command);
    }
}

void PublishRunner::execute(const PublishCommand::ReadHead &)
{
    this->store.read(std::string(ConfigurationHead::Key), [self = this->shared_from_this()](
                                                                  const StoreResult &result) {
        if (const auto failure = failureOf(result)) {
            self->handle(*failure);
            return;
        }
        PublishEvent::HeadRead event;
        if (!result.keyValues.empty()) {
            event.revision = static_cast<std::uint64_t>(result.keyValues.front().modRevision);
            event.head = result.keyValues.front().value;
        }
        self->handle(event);
    });
}

void PublishRunner::execute(const PublishCommand::ReadChunk &command)
{
    this->store.read(chunkKey(command.hash), [self = this->shared_from_this(),
                                              hash = command.hash](const StoreResult &result) {
        if (const auto failure = failureOf(result)) {
            self->handle(*failure);
            return;
        }
        PublishEvent::ChunkRead event;
        event.hash = hash;
        if (!result.keyValues.empty())
            event.text = result.keyValues.front().value;
        self->handle(event);
    });
}

void PublishRunner::execute(const PublishCommand::WriteChunk &command)
{
    StoreTransaction transaction;
    transaction.onSuccess.push_back(putOperation(chunkKey(command.hash), command.text));
    this->store.transact(transaction, [self = this->shared_from_this(),
                                       hash = command.hash](const StoreResult &result) {
        const auto failure = failureOf(result);
        self->handle(failure.value_or(PublishEvent::ChunkWritten{hash}));
    });
}

void PublishRunner::execute(const PublishCommand::SwapHead &command)
{
    StoreTransaction transaction;
    const auto revision = command.expectedRevision == 0
                                  ? std::optional<std::int64_t>()
                                  : std::optional<std::int64_t>(
                                          static_cast<std::int64_t>(command.expectedRevision));
    // Without value and revision the comparison requires that the key is absent.
    transaction.compares.push_back({std::string(ConfigurationHead::Key), std::nullopt, revision});
    transaction.onSuccess.push_back(
            putOperation(std::string(ConfigurationHead::Key), command.head));
    for (const std::string &hash : command.retiredChunks) {
        StoreTransaction::Operation operation;
        operation.kind = StoreTransaction::Operation::Kind::Delete;
        operation.key = chunkKey(hash);
        transaction.onSuccess.push_back(std::move(operation));
    }
    this->store.transact(transaction, [self = this->shared_from_this()](const StoreResult &result) {
        const auto failure = failureOf(result);
        self->handle(failure.value_or(PublishEvent::SwapAnswered{result.succeeded}));
    });
}

} // namespace Nutmegrill
