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

/// HTTP client for one model engine over a keep-alive connection.
class EngineLink
{
public:
    using AnswerCallback = std::function<void(int status, const std::string &body)>;

    EngineLink(EventLoop &loop, std::string address);
    ~EngineLink();
    EngineLink(const EngineLink &) = delete;
    EngineLink &operator=(const EngineLink &) = delete;

    /// Calls \a onAnswer with status 0 if no complete answer arrived within \a timeout.
    void call(const EngineProtocol::Request &request, std::chrono::milliseconds timeout,
              AnswerCallback onAnswer);

    bool isBusy() const { return this->openCalls > 0; }
    const std::string &address() const { return this->engineAddress; }

private:
    EventLoop &loop;
    std::string engineAddress;
    std::shared_ptr<ClientConnection> connection;
    std::uint32_t openCalls = 0;
    /// Expires with this object, so that late callbacks do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
