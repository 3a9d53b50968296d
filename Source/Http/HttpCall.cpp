#include "Http/HttpCall.h"

#include "Http/ClientConnection.h"
#include "Net/EventLoop.h"

#include <utility>

namespace Nutmegrill {

namespace {

struct PendingCall
{
    std::shared_ptr<ClientConnection> connection;
    HttpCall::Callback callback;
    int status = 0;
    std::string body;

    /// Only the first of response, failure and timeout has an effect.
    void finish(bool isComplete)
    {
        if (!this->callback)
            return;
        const HttpCall::Callback done = std::exchange(this->callback, nullptr);
        if (!isComplete)
            this->connection->close();
        done(isComplete ? this->status : 0, this->body);
    }
};

} // namespace

void HttpCall::send(EventLoop &loop, const std::shared_ptr<ClientConnection> &connection,
                    std::string_view request, const Limits &limits, Callback callback)
{
    const auto pending = std::make_shared<PendingCall>();
    pending->connection = connection;
    pending->callback = std::move(callback);
    ClientConnection::Handlers handlers;
    handlers.onHead = [pending](const HttpHead &head) {
        pending->status = head.status;
        return true;
    };
    handlers.onData = [pending, limit = limits.bodyBytes](std::string_view data) {
        if (pending->body.size() + data.size() <= limit)
            pending->body.append(data);
        else
            pending->finish(false);
    };
    handlers.onEnd = [pending] { pending->finish(true); };
    handlers.onFailure = [pending](ClientConnection::Failure) { pending->finish(false); };
    loop.after(limits.timeout, [pending] { pending->finish(false); });
    connection->send(request, std::move(handlers));
}

} // namespace Nutmegrill
