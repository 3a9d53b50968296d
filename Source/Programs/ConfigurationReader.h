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
    /// The configuration, or null when the store gave no answer or holds none that can be read.
    using Done = std::function<void(const ConfigurationPtr &configuration)>;

    ConfigurationReader(EventLoop &loop, StoreClient &store) : loop(loop), store(store) {}

    void read(const Done &done);

    /// Reads now and after each change of the head until the watch breaks; then \a done gets null
    /// once.
    void watch(const Done &done);

    bool isWatching() const { return this->watching; }

private:
    void readChunks(const std::string &head, const Done &done);

    EventLoop &loop;
    StoreClient &store;
    bool watching = false;
};

} // namespace Nutmegrill
