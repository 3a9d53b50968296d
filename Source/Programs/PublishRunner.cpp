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

// Pause before an order that follows a failed one, so that an outage is not met with a tight loop.
constexpr std::chrono::milliseconds RetryDelay(200);

// Nothing when the store answered; otherwise what the publisher is told.
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
    PublishOrder::List orders;
    runner->publisher.start(orders);
    runner->execute(orders);
}

PublishRunner::PublishRunner(EventLoop &loop, StoreClient &store, ConfigurationChange change,
                             Done done)
    : loop(loop), store(store), publisher(std::move(change)), done(std::move(done))
{}

void PublishRunner::handle(const PublishEvent::Any &event)
{
    const bool failed = std::holds_alternative<PublishEvent::AnswerLost>(event)
                        || std::holds_alternative<PublishEvent::StoreUnreachable>(event);
    PublishOrder::List orders;
    this->publisher.handle(event, orders);
    if (!failed) {
        this->execute(orders);
        return;
    }
    this->loop.after(RetryDelay,
                     [self = this->shared_from_this(), orders] { self->execute(orders); });
}

void PublishRunner::execute(const PublishOrder::List &orders)
{
    for (const PublishOrder::Any &order : orders) {
        if (const auto *readHead = std::get_if<PublishOrder::ReadHead>(&order))
            this->execute(*readHead);
        else if (const auto *readChunk = std::get_if<PublishOrder::ReadChunk>(&order))
            this->execute(*readChunk);
        else if (const auto *writeChunk = std::get_if<PublishOrder::WriteChunk>(&order))
            this->execute(*writeChunk);
        else if (const auto *swapHead = std::get_if<PublishOrder::SwapHead>(&order))
            this->execute(*swapHead);
        else
            this->done(order);
    }
}

void PublishRunner::execute(const PublishOrder::ReadHead &)
{
    this->store.read(std::string(ConfigurationHead::Key),
                     [self = this->shared_from_this()](const StoreResult &result) {
                         if (const auto failure = failureOf(result)) {
                             self->handle(*failure);
                             return;
                         }
                         PublishEvent::HeadRead event;
                         if (!result.found.empty()) {
                             event.revision =
                                     static_cast<std::uint64_t>(result.found.front().modRevision);
                             event.head = result.found.front().value;
                         }
                         self->handle(event);
                     });
}

void PublishRunner::execute(const PublishOrder::ReadChunk &order)
{
    this->store.read(chunkKey(order.hash), [self = this->shared_from_this(),
                                            hash = order.hash](const StoreResult &result) {
        if (const auto failure = failureOf(result)) {
            self->handle(*failure);
            return;
        }
        PublishEvent::ChunkRead event;
        event.hash = hash;
        if (!result.found.empty())
            event.text = result.found.front().value;
        self->handle(event);
    });
}

void PublishRunner::execute(const PublishOrder::WriteChunk &order)
{
    StoreTransaction transaction;
    transaction.onSuccess.push_back(putOperation(chunkKey(order.hash), order.text));
    this->store.transact(transaction, [self = this->shared_from_this(),
                                       hash = order.hash](const StoreResult &result) {
        const auto failure = failureOf(result);
        self->handle(failure.value_or(PublishEvent::ChunkWritten{hash}));
    });
}

void PublishRunner::execute(const PublishOrder::SwapHead &order)
{
    StoreTransaction transaction;
    const auto revision = order.expectedRevision == 0
                                  ? std::optional<std::int64_t>()
                                  : std::optional<std::int64_t>(
                                          static_cast<std::int64_t>(order.expectedRevision));
    // Without value and revision the comparison asks for an absent key.
    transaction.compares.push_back({std::string(ConfigurationHead::Key), std::nullopt, revision});
    transaction.onSuccess.push_back(putOperation(std::string(ConfigurationHead::Key), order.head));
    for (const std::string &hash : order.retiredChunks) {
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
