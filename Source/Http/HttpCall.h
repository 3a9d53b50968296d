#pragma once

#include "Http/HttpHead.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Nutmegrill {

class ClientConnection;
class EventLoop;

/// One request whose whole response is collected in memory.
class HttpCall
{
public:
    struct Limits
    {
        std::chrono::milliseconds timeout{0};
        /// A longer body fails the call: a faulty peer may send bytes without end.
        std::size_t bodyBytes = 0;
    };

    struct Response
    {
        /// 0, with an empty head and body, without a complete response within the limits.
        int status = 0;
        HttpHead head;
        std::string body;
    };

    using Callback = std::function<void(const Response &response)>;

    /// Sends \a request on an idle connection. The callback is called exactly once, and the
    /// connection is closed if the call fails.
    static void send(EventLoop &loop, const std::shared_ptr<ClientConnection> &connection,
                     std::string_view request, const Limits &limits, Callback callback);
};

} // namespace Nutmegrill
