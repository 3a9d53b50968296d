#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Nutmegrill {

class EventLoop;

/// HTTP/1.1 client on evhttp. Each call uses a connection of its own.
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
        /// Limit on silence of the connection.
        std::chrono::seconds silenceLimit{30};
    };

    enum class Failure {
        NotConnected, ///< no byte of the request was written
        Broken        ///< the connection broke afterwards
    };

    struct Handlers
    {
        /// Status and headers (names in lower case) of the answer.
        std::function<void(int status, const Headers &headers)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void()> onEnd;
        std::function<void(Failure failure)> onFailure;
    };

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request to \a address ("IP:port"). Exactly one of onEnd and onFailure is called,
    /// from the loop, unless the call is cancelled.
    CallId call(const std::string &address, const Request &request, Handlers handlers);

    /// Whole answer; status 0 when there was none.
    void fetch(const std::string &address, const Request &request,
               std::function<void(int status, std::string body)> done);

    void cancel(CallId call);

    /// While paused, no byte of the answer is read; TCP holds back the server.
    void pause(CallId call, bool paused);

private:
    struct Call;

    void remove(CallId call);

    EventLoop &loop;
    std::map<CallId, std::unique_ptr<Call>> calls;
    CallId nextId = 1;
};

} // namespace Nutmegrill
