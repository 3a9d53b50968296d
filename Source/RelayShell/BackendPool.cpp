#include "RelayShell/BackendPool.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

/// Backend servers are in the same region and accept within milliseconds. Half a second is enough
/// to detect a dead one; it covers one lost handshake packet only if the retransmission comes
/// early.
constexpr std::chrono::milliseconds ConnectTimeout{500};
/// Refused requests that are remembered for a connection; beyond that it is closed.
constexpr std::size_t MaxRefusals = 64;

} // namespace

std::shared_ptr<ClientConnection> BackendPool::acquire(const std::string &backend,
                                                       const std::string &address,
                                                       std::size_t maxConnections,
                                                       const std::string &requestId)
{
    BackendConnections &pooled = this->backends[backend];
    if (pooled.address != address) {
        // Busy connections to the previous address are closed after their current exchange.
        std::erase_if(pooled.connections,
                      [](const Pooled &row) { return !row.connection->isBusy(); });
        pooled.address = address;
    }
    const Instant now = this->loop.now();
    const auto isIdle = [now](const Pooled &row) {
        return row.connection->isReusable() && row.connection->idleDeadline() > now;
    };
    const Pooled *candidate = nullptr;
    for (const Pooled &row : pooled.connections) {
        if (isIdle(row) && row.refused.count(requestId) == 0
            && (candidate == nullptr
                || candidate->connection->idleDeadline() < row.connection->idleDeadline()))
            candidate = &row;
    }
    if (candidate != nullptr)
        return candidate->connection;
    const auto openCount =
            std::count_if(pooled.connections.begin(), pooled.connections.end(),
                          [](const Pooled &row) { return row.connection->isOpen(); });
    if (maxConnections > 0 && static_cast<std::size_t>(openCount) >= maxConnections) {
        const auto replaced =
                std::find_if(pooled.connections.begin(), pooled.connections.end(), isIdle);
        if (replaced == pooled.connections.end())
            return nullptr;
        replaced->connection->close();
    }
    ++this->openedCount;
    pooled.connections.push_back(
            {std::make_shared<ClientConnection>(this->loop, address, ConnectTimeout), {}});
    return pooled.connections.back().connection;
}

void BackendPool::recordRefusal(const std::string &backend, const ClientConnection *connection,
                                const std::string &requestId)
{
    const auto found = this->backends.find(backend);
    if (found == this->backends.end())
        return;
    for (Pooled &row : found->second.connections) {
        if (row.connection.get() != connection)
            continue;
        row.refused.insert(requestId);
        if (row.refused.size() > MaxRefusals && !row.connection->isBusy())
            row.connection->close();
    }
}

void BackendPool::tick(Instant now)
{
    for (auto backendIt = this->backends.begin(); backendIt != this->backends.end();) {
        auto &connections = backendIt->second.connections;
        for (const Pooled &row : connections) {
            if (!row.connection->isBusy() && row.connection->idleDeadline() <= now)
                row.connection->close();
        }
        std::erase_if(connections, [](const Pooled &row) {
            return !row.connection->isOpen() && !row.connection->isBusy();
        });
        backendIt = connections.empty() ? this->backends.erase(backendIt) : std::next(backendIt);
    }
}

} // namespace Nutmegrill
