#pragma once

#include "Core/Time.h"
#include "Http/ClientConnection.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

class EventLoop;

/// Pool of keep-alive connections to backend servers, by backend server id. Reuses the most
/// recently used connection first, so that surplus connections reach their idle timeout.
class BackendPool
{
public:
    explicit BackendPool(EventLoop &loop) : loop(loop) {}

    /// An idle connection, or a new one; null if \a maxConnections (0: unlimited) are open and none
    /// is idle.
    std::shared_ptr<ClientConnection>
    acquire(const std::string &backend, const std::string &address, std::size_t maxConnections);

    /// Closes connections whose idle timeout has passed and removes closed ones.
    void tick(Instant now);

    /// Connections opened since the start.
    std::uint64_t connectionsOpened() const { return this->openedCount; }

private:
    struct BackendConnections
    {
        std::string address;
        std::vector<std::shared_ptr<ClientConnection>> connections;
    };

    EventLoop &loop;
    std::map<std::string, BackendConnections> backends;
    std::uint64_t openedCount = 0;
};

} // namespace Nutmegrill
