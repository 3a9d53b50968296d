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

} // namespace

std::shared_ptr<ClientConnection> BackendPool::acquire(const std::string &backend,
                                                       const std::string &address,
                                                       std::size_t maxConnections)
{
    BackendConnections &pooled = this->backends[backend];
    if (pooled.address != address) {
        // Busy connections to the previous address are closed after their current exchange.
        std::erase_if(pooled.connections,
                      [](const auto &connection) { return !connection->isBusy(); });
        pooled.address = address;
    }
    const Instant now = this->loop.now();
    const auto candidate = std::max_element(
            pooled.connections.begin(), pooled.connections.end(),
            [](const auto &left, const auto &right) {
                return std::make_pair(left->isReusable(), left->idleDeadline())
                       < std::make_pair(right->isReusable(), right->idleDeadline());
            });
    if (candidate != pooled.connections.end() && (*candidate)->isReusable()
        && (*candidate)->idleDeadline() > now)
        return *candidate;
    const auto openCount =
            std::count_if(pooled.connections.begin(), pooled.connections.end(),
                          [](const auto &connection) { return connection->isOpen(); });
    if (maxConnections > 0 && static_cast<std::size_t>(openCount) >= maxConnections)
        return nullptr;
    ++this->openedCount;
    pooled.connections.push_back(
            std::make_shared<ClientConnection>(this->loop, address, ConnectTimeout));
    return pooled.connections.back();
}

void BackendPool::tick(Instant now)
{
    for (auto backendIt = this->backends.begin(); backendIt != this->backends.end();) {
        auto &connections = backendIt->second.connections;
        for (const auto &connection : connections) {
            if (!connection->isBusy() && connection->idleDeadline() <= now)
                connection->close();
        }
        std::erase_if(connections, [](const auto &connection) {
            return !connection->isOpen() && !connection->isBusy();
        });
        backendIt = connections.empty() ? this->backends.erase(backendIt) : std::next(backendIt);
    }
}

} // namespace Nutmegrill
