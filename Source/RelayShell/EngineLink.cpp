#include "RelayShell/EngineLink.h"

#include "Http/ClientConnection.h"
#include "Net/EventLoop.h"

#include <utility>

namespace Nutmegrill {

namespace {

/// The engine is on the same machine or in the same region, where connecting takes milliseconds.
constexpr std::chrono::milliseconds ConnectTimeout{300};

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
    const auto callConnection = this->connection;
    const auto status = std::make_shared<int>(0);
    const auto body = std::make_shared<std::string>();
    // Reset by the first of answer, failure and timeout, so that the callback runs once.
    const auto pending = std::make_shared<AnswerCallback>(std::move(onAnswer));
    const std::weak_ptr<bool> guard = this->alive;
    const auto finish = [this, guard, pending, status, body](bool isComplete) {
        if (!*pending || guard.expired())
            return;
        --this->openCalls;
        const AnswerCallback callback = std::exchange(*pending, nullptr);
        callback(isComplete ? *status : 0, *body);
    };
    ++this->openCalls;
    ClientConnection::Handlers handlers;
    handlers.onHead = [status](const HttpHead &head) {
        *status = head.status;
        return true;
    };
    handlers.onData = [body](std::string_view data) { body->append(data); };
    handlers.onEnd = [finish] { finish(true); };
    handlers.onFailure = [finish](ClientConnection::Failure) { finish(false); };
    this->loop.after(timeout, [callConnection, pending, finish] {
        if (!*pending)
            return;
        callConnection->close();
        finish(false);
    });
    std::string text = request.method + " " + request.target
                       + " HTTP/1.1\r\nHost: " + this->engineAddress + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(request.body.size()) + "\r\n";
    callConnection->send(text + "\r\n" + request.body, std::move(handlers));
}

} // namespace Nutmegrill
