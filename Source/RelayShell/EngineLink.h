#pragma once

#include "RelayShell/EngineProtocol.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Nutmegrill {

class ClientConnection;
class EventLoop;

/// Calls to one model engine over a kept connection.
class EngineLink
{
public:
    using Answered = std::function<void(int status, const std::string &body)>;

    EngineLink(EventLoop &loop, std::string address);
    ~EngineLink();
    EngineLink(const EngineLink &) = delete;
    EngineLink &operator=(const EngineLink &) = delete;

    /// \a answered gets status 0 when there was no whole answer within \a limit.
    void ask(const EngineProtocol::Request &request, std::chrono::milliseconds limit,
             Answered answered);

    bool isBusy() const { return this->callsOpen > 0; }
    const std::string &address() const { return this->engineAddress; }

private:
    EventLoop &loop;
    std::string engineAddress;
    std::shared_ptr<ClientConnection> connection;
    std::uint32_t callsOpen = 0;
    /// Guards callbacks against the end of this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
