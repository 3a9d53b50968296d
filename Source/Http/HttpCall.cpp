#include "Http/HttpCall.h"

#include "Http/ClientConnection.h"
#include "Net/EventLoop.h"

#include <utility>

namespace Nutmegrill {

namespace {

struct PendingCall
{
    EventLoop &loop;
    std::shared_ptr<ClientConnection> connection;
    HttpCall::Callback callback;
    HttpCall::Response response;

    /// Only the first of response, failure and timeout has an effect.
    void finish(bool isComplete)
    {
        if (!this->callback)
            return;
        const HttpCall::Callback done = std::exchange(this->callback, nullptr);
        if (!isComplete) {
            this->connection->close();
            // The handlers of the connection own this call, so it must not own the connection any
            // more. Freed from the event loop, because the connection may be inside a handler.
            this->loop.after(std::chrono::milliseconds(0),
                             [closed = std::exchange(this->connection, nullptr)] {});
            this->response = {};
        }
        done(this->response);
    }
};

} // namespace

void HttpCall::send(EventLoop &loop, const std::shared_ptr<ClientConnection> &connection,
                    std::string_view request, const Limits &limits, Callback callback)
{
    const auto pending =
            std::make_shared<PendingCall>(PendingCall{loop, connection, std::move(callback), {}});
    ClientConnection::Handlers handlers;
    handlers.onHead = [pending](const HttpHead &head) {
        pending->response.status = head.status;
        pending->response.head = head;
        return true;
    };
    handlers.onData = [pending, limit = limits.bodyBytes](std::string_view data) {
        if (std::string &body = pending->response.body; body.size() + data.size() <= limit)
            body.append(data);
        else
            pending->finish(false);
    };
    handlers.onEnd = [pending] { pending->finish(true); };
    handlers.onFailure = [pending](ClientConnection::Failure) { pending->finish(false); };
    loop.after(limits.timeout, [pending] { pending->finish(false); });
    connection->send(request, std::move(handlers));
}

} // namespace Nutmegrill
