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

/// Kept connections to backend servers, by id of the backend server. The connection that was used
/// last is taken first, so that surplus ones reach their idle limit.
class BackendPool
{
public:
    explicit BackendPool(EventLoop &loop) : loop(loop) {}

    /// An idle or a new connection; null when \a limit connections (0: any number) are busy.
    std::shared_ptr<ClientConnection> take(const std::string &backend, const std::string &address,
                                           std::size_t limit);

    /// Closes idle connections whose limit has passed and forgets closed ones.
    void tick(Instant now);

    /// Connections made since the start.
    std::uint64_t connectionsMade() const { return this->made; }

private:
    struct Row
    {
        std::string address;
        std::vector<std::shared_ptr<ClientConnection>> connections;
    };

    EventLoop &loop;
    std::map<std::string, Row> rows;
    std::uint64_t made = 0;
};

} // namespace Nutmegrill
