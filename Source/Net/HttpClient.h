#pragma once

#include "Net/EventLoop.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// HTTP/1.1 client for calls that use a connection each. A server that sends bytes without end, in
/// a head or anywhere else, fails its call: what is kept of one call is bounded.
class HttpClient
{
public:
    using CallId = std::uint64_t;
    using Headers = std::vector<std::pair<std::string, std::string>>;

    struct Request
    {
        std::string method = "GET";
        std::string path = "/";
        Headers headers;
        std::string body;
        /// Idle timeout of the connection.
        std::chrono::seconds idleTimeout{30};
        /// Longest body that fetch() collects, in bytes.
        std::size_t maxBodyBytes = 8U << 20U;
    };

    enum class Failure {
        NotConnected, ///< no byte of the request was sent
        Broken        ///< the call failed after part of the request may have been sent
    };

    struct Handlers
    {
        /// Status and headers of the response. Header names are in lower case.
        std::function<void(int status, const Headers &headers)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void()> onEnd;
        std::function<void(Failure failure)> onFailure;
    };

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request to \a address ("IP:port"). Unless the call is cancelled,
    /// exactly one of onEnd and onFailure is called from the event loop.
    CallId call(const std::string &address, const Request &request, Handlers handlers);

    /// Sends a request and passes the complete response to \a done; status 0 means that there is
    /// none.
    void fetch(const std::string &address, const Request &request,
               std::function<void(int status, std::string body)> done);

    void cancel(CallId call);

    /// Stops reading the response while \a paused, so that TCP flow control stops the server.
    void pause(CallId call, bool paused);

private:
    struct Call;

    std::shared_ptr<Call> find(CallId call) const;
    /// Ends a call and reports the failure to its handler.
    void fail(CallId call, Failure failure);
    /// Closes the connection and forgets the call.
    void remove(CallId call);
    void failIdleCalls();

    EventLoop &loop;
    std::map<CallId, std::shared_ptr<Call>> calls;
    CallId nextId = 1;
    /// Runs from the first call on.
    std::unique_ptr<EventLoop::Timer> idleTimer;
};

} // namespace Nutmegrill
