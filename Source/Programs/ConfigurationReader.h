#pragma once

#include "Config/Configuration.h"
#include "Net/EventLoop.h"
#include "Net/StoreResult.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Nutmegrill {

class StoreClient;

/// Reads the published configuration from the store: the head, then its chunks.
class ConfigurationReader
{
public:
    /// Receives the configuration, or null when the store did not answer or has no readable one.
    using Done = std::function<void(const ConfigurationPtr &configuration)>;

    ConfigurationReader(EventLoop &loop, StoreClient &store) : loop(loop), store(store) {}

    void read(const Done &done);

    /// Reads the configuration now and after each change of the head. When the watch breaks,
    /// \a done is called once with null. A change that the watch does not report, because the store
    /// never received it, is found within seconds.
    void watch(const Done &done);

    bool isWatching() const { return this->watching; }

private:
    void readChunks(const std::string &head, const Done &done);
    void checkHead(const Done &done);
    /// Reads the chunks of a head unless it is known.
    void headChanged(const StoreResult &result, const Done &done);

    EventLoop &loop;
    StoreClient &store;
    bool watching = false;
    /// Revision of the head that was read last.
    std::int64_t headRevision = 0;
    std::unique_ptr<EventLoop::Timer> checkTimer;
};

} // namespace Nutmegrill
