#pragma once

#include "Core/Time.h"
#include "Http/ClientConnection.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
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
    /// is idle. A connection on which the request \a requestId was refused is not used: a faulty
    /// server may write the refusal again, which would pass for the answer to the repeat.
    std::shared_ptr<ClientConnection> acquire(const std::string &backend,
                                              const std::string &address,
                                              std::size_t maxConnections,
                                              const std::string &requestId);

    /// The backend server refused a request on the connection.
    void recordRefusal(const std::string &backend, const ClientConnection *connection,
                       const std::string &requestId);

    /// Closes connections whose idle timeout has passed and removes closed ones.
    void tick(Instant now);

    /// Connections opened since the start.
    std::uint64_t connectionsOpened() const { return this->openedCount; }

private:
    struct Pooled
    {
        std::shared_ptr<ClientConnection> connection;
        /// Ids of the requests that were refused on the connection.
        std::set<std::string> refused;
    };
    struct BackendConnections
    {
        std::string address;
        std::vector<Pooled> connections;
    };

    EventLoop &loop;
    std::map<std::string, BackendConnections> backends;
    std::uint64_t openedCount = 0;
};

} // namespace Nutmegrill
