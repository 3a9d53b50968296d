#pragma once

#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationPublisher.h"
#include "Config/PublishOrder.h"

#include <functional>
#include <memory>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Carries out the orders of one ConfigurationPublisher against the store.
class PublishRunner : public std::enable_shared_from_this<PublishRunner>
{
public:
    /// One of Done, Conflict, Failed and OutcomeUnknown.
    using Done = std::function<void(const PublishOrder::Any &result)>;

    /// Starts publishing; the runner lives until \a done has been called.
    static void start(EventLoop &loop, StoreClient &store, ConfigurationChange change, Done done);

    PublishRunner(EventLoop &loop, StoreClient &store, ConfigurationChange change, Done done);

private:
    void handle(const PublishEvent::Any &event);
    void execute(const PublishOrder::List &orders);
    void execute(const PublishOrder::ReadHead &order);
    void execute(const PublishOrder::ReadChunk &order);
    void execute(const PublishOrder::WriteChunk &order);
    void execute(const PublishOrder::SwapHead &order);

    EventLoop &loop;
    StoreClient &store;
    ConfigurationPublisher publisher;
    Done done;
};

} // namespace Nutmegrill
