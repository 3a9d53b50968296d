#include "RelayShell/BackendPool.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

/// A backend server in the same region answers within some milliseconds. Half a second covers one
/// lost packet of the handshake only when the retransmission comes early, which is enough to tell a
/// dead one.
constexpr std::chrono::milliseconds ConnectLimit{500};

} // namespace

std::shared_ptr<ClientConnection> BackendPool::take(const std::string &backend,
                                                    const std::string &address, std::size_t limit)
{
    Row &row = this->rows[backend];
    if (row.address != address) {
        // Connections to the earlier address end with their present exchange.
        std::erase_if(row.connections,
                      [](const auto &connection) { return !connection->isBusy(); });
        row.address = address;
    }
    const Instant now = this->loop.now();
    const auto best = std::max_element(
            row.connections.begin(), row.connections.end(),
            [](const auto &left, const auto &right) {
                return std::make_pair(left->isReusable(), left->idleDeadline())
                       < std::make_pair(right->isReusable(), right->idleDeadline());
            });
    if (best != row.connections.end() && (*best)->isReusable() && (*best)->idleDeadline() > now)
        return *best;
    const auto open = std::count_if(row.connections.begin(), row.connections.end(),
                                    [](const auto &connection) { return connection->isOpen(); });
    if (limit > 0 && static_cast<std::size_t>(open) >= limit)
        return nullptr;
    ++this->made;
    row.connections.push_back(
            std::make_shared<ClientConnection>(this->loop, address, ConnectLimit));
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
