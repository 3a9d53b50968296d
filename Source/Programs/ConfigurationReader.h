#pragma once

#include "Config/Configuration.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Nutmegrill {

class EventLoop;
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
    /// \a done is called once with null.
    void watch(const Done &done);

    bool isWatching() const { return this->watching; }

private:
    void readChunks(const std::string &head, const Done &done);

    EventLoop &loop;
    StoreClient &store;
    bool watching = false;
};

} // namespace Nutmegrill
