#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace Nutmegrill {

class EventLoop;

/// HTTP/1.1 server based on evhttp. Each request has an ID, by which it can be answered later.
class HttpServer
{
public:
    using RequestId = std::uint64_t;
    using Headers = std::vector<std::pair<std::string, std::string>>;

    struct Request
    {
        RequestId id = 0;
        std::string method;
        /// Path without the query, percent-decoded.
        std::string path;
        std::string query;
        std::string body;
        std::string peerAddress;
        /// Header names in lower case.
        std::map<std::string, std::string> headers;

        /// Value of a header; empty if there is none. \a name is in lower case.
        std::string_view header(const std::string &name) const;
    };

    struct Limits
    {
        std::size_t headerBytes = 16U << 10U;
        std::size_t bodyBytes = 4U << 20U;
        /// Idle timeout of a connection; 0 means 50 s, the default of libevent.
        int idleSeconds = 0;
    };

    using Handler = std::function<void(const Request &)>;
    using DisconnectHandler = std::function<void(RequestId)>;
    using DrainHandler = std::function<void(RequestId, std::size_t pendingBytes)>;

    /// Listens on \a address ("IP:port"); isListening() returns whether that succeeded.
    HttpServer(EventLoop &loop, const std::string &address, const Limits &limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool isListening() const { return this->listening; }

    /// Sets the handler for a caller that disconnects before its response has ended.
    void onCallerDisconnected(DisconnectHandler handler)
    {
        this->disconnectHandler = std::move(handler);
    }

    /// Sets the handler that is called when queued bytes of a streamed response have been sent.
    void onDrained(DrainHandler handler) { this->drainHandler = std::move(handler); }

    /// Sends a complete response.
    void reply(RequestId request, int status, const Headers &headers, std::string_view body);

    /// Starts a chunked response; sendChunk() and endReply() continue it.
    void startReply(RequestId request, int status, const Headers &headers);
    void sendChunk(RequestId request, std::string_view data);
    void endReply(RequestId request);

    /// Closes the connection without ending the response.
    void abort(RequestId request);

    /// Bytes of the response that have not been written to the socket.
    std::size_t pendingBytes(RequestId request) const;

    std::size_t openRequestCount() const { return this->requests.size(); }

    /// Stops accepting connections; open ones remain.
    void stopListening();

private:
    struct OpenRequest
    {
        evhttp_request *request = nullptr;
        bool streaming = false;
        bool aborted = false;
    };
    struct Callbacks;

    EventLoop &loop;
    evhttp *server;
    void *socket = nullptr;
    bool listening = false;
    Handler handler;
    DisconnectHandler disconnectHandler;
    DrainHandler drainHandler;
    std::map<RequestId, OpenRequest> requests;
    RequestId nextId = 1;
};

} // namespace Nutmegrill
