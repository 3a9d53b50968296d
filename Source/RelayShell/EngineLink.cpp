#include "RelayShell/EngineLink.h"

#include "Http/ClientConnection.h"
#include "Http/HttpCall.h"
#include "Net/EventLoop.h"

#include <utility>

namespace Nutmegrill {

namespace {

/// The engine is on the same machine or in the same region, where connecting takes milliseconds.
constexpr std::chrono::milliseconds ConnectTimeout{300};
/// The counts of 128 ranks take some 100 KB.
constexpr std::size_t MaxAnswerBytes = 4U << 20U;

} // namespace

EngineLink::EngineLink(EventLoop &loop, std::string address)
    : loop(loop), engineAddress(std::move(address))
{}

EngineLink::~EngineLink() = default;

void EngineLink::call(const EngineProtocol::Request &request, std::chrono::milliseconds timeout,
                      AnswerCallback onAnswer)
{
    if (this->connection == nullptr || !this->connection->isReusable()
        || this->connection->idleDeadline() <= this->loop.now())
        this->connection =
                std::make_shared<ClientConnection>(this->loop, this->engineAddress, ConnectTimeout);
    ++this->openCalls;
    std::string text = request.method + " " + request.target
                       + " HTTP/1.1\r\nHost: " + this->engineAddress + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(request.body.size()) + "\r\n";
    const std::weak_ptr<bool> guard = this->alive;
    HttpCall::send(this->loop, this->connection, text + "\r\n" + request.body,
                   {timeout, MaxAnswerBytes},
                   [this, guard, onAnswer](const HttpCall::Response &response) {
                       if (guard.expired())
                           return;
                       --this->openCalls;
                       onAnswer(response.status, response.body);
                   });
}

} // namespace Nutmegrill
