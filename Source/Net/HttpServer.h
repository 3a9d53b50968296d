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

/// HTTP/1.1 server on evhttp. Each request has a number; its answer may come at any later time.
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

        /// Empty when there is no such header.
        std::string_view header(const std::string &name) const;
    };

    struct Limits
    {
        std::size_t headerBytes = 16U << 10U;
        std::size_t bodyBytes = 4U << 20U;
        /// Connections that send nothing for this long are closed; 0 means the libevent default.
        int idleSeconds = 0;
    };

    using Handler = std::function<void(const Request &)>;
    using GoneHandler = std::function<void(RequestId)>;
    using DrainHandler = std::function<void(RequestId, std::size_t pendingBytes)>;

    /// Listens on \a address ("IP:port"); isListening() tells whether that worked.
    HttpServer(EventLoop &loop, const std::string &address, const Limits &limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool isListening() const { return this->listening; }

    /// Called when a caller closes its connection before its answer ended.
    void onGone(GoneHandler handler) { this->goneHandler = std::move(handler); }

    /// Called when bytes of a streamed answer have been taken by the connection.
    void onDrained(DrainHandler handler) { this->drainHandler = std::move(handler); }

    /// Whole answer.
    void reply(RequestId request, int status, const Headers &headers, std::string_view body);

    /// Streamed answer (chunked).
    void startReply(RequestId request, int status, const Headers &headers);
    void sendChunk(RequestId request, std::string_view data);
    void endReply(RequestId request);

    /// Closes the connection without ending the answer.
    void abort(RequestId request);

    /// Bytes of the answer that the connection has not taken.
    std::size_t pendingBytes(RequestId request) const;

    std::size_t openRequests() const { return this->open.size(); }

    /// Stops accepting connections; open ones go on.
    void stopListening();

private:
    struct Open
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
    GoneHandler goneHandler;
    DrainHandler drainHandler;
    std::map<RequestId, Open> open;
    RequestId nextId = 1;
};

} // namespace Nutmegrill
