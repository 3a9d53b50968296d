#pragma once

#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationPublisher.h"
#include "Config/PublishCommand.h"

#include <functional>
#include <memory>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Executes the commands of one ConfigurationPublisher on the store.
class PublishRunner : public std::enable_shared_from_this<PublishRunner>
{
public:
    /// Receives one of Done, Conflict, Failed and OutcomeUnknown.
    using Done = std::function<void(const PublishCommand::Any &result)>;

    /// Starts publishing; the runner exists until \a done has been called.
    static void start(EventLoop &loop, StoreClient &store, ConfigurationChange change, Done done);

    PublishRunner(EventLoop &loop, StoreClient &store, ConfigurationChange change, Done done);

private:
    void handle(const PublishEvent::Any &event);
    void execute(const PublishCommand::List &commands);
    void execute(const PublishCommand::ReadHead &command);
    void execute(const PublishCommand::ReadChunk &command);
    void execute(const PublishCommand::WriteChunk &command);
    void execute(const PublishCommand::SwapHead &command);

    EventLoop &loop;
    StoreClient &store;
    ConfigurationPublisher publisher;
    Done done;
};

} // namespace Nutmegrill
