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

std::shared_ptr<ClientConnection> BackendPool::take(const std::string &backend,
                                                    const std::string &address,
                                                    std::size_t maxConnections)
{
    Row &row = this->rows[backend];
    if (row.address != address) {
        // Busy connections to the previous address are closed after their current exchange.
        std::erase_if(row.connections,
                      [](const auto &connection) { return !connection->isBusy(); });
        row.address = address;
    }
    const Instant now = this->loop.now();
    const auto candidate = std::max_element(
            row.connections.begin(), row.connections.end(),
            [](const auto &left, const auto &right) {
                return std::make_pair(left->isReusable(), left->idleDeadline())
                       < std::make_pair(right->isReusable(), right->idleDeadline());
            });
    if (candidate != row.connections.end() && (*candidate)->isReusable()
        && (*candidate)->idleDeadline() > now)
        return *candidate;
    const auto openCount =
            std::count_if(row.connections.begin(), row.connections.end(),
                          [](const auto &connection) { return connection->isOpen(); });
    if (maxConnections > 0 && static_cast<std::size_t>(openCount) >= maxConnections)
        return nullptr;
    ++this->made;
    row.connections.push_back(
            std::make_shared<ClientConnection>(this->loop, address, ConnectTimeout));
    return row.connections.back();
}

void BackendPool::tick(Instant now)
{
    for (auto entry = this->rows.begin(); entry != this->rows.end();) {
        auto &connections = entry->second.connections;
        for (const auto &connection : connections) {
            if (!connection->isBusy() && connection->idleDeadline() <= now)
                connection->close();
        }
        std::erase_if(connections, [](const auto &connection) {
            return !connection->isOpen() && !connection->isBusy();
        });
        entry = connections.empty() ? this->rows.erase(entry) : std::next(entry);
    }
}

} // namespace Nutmegrill
