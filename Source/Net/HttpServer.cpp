#include "Net/HttpServer.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Nutmegrill {

namespace {

// A response may pause for long between two chunks, so only idle connections get the short timeout.
constexpr int BusyTimeoutSeconds = 3600;
constexpr int DefaultIdleSeconds = 50;

constexpr std::pair<evhttp_cmd_type, const char *> Methods[] = {
        {EVHTTP_REQ_GET, "GET"},        {EVHTTP_REQ_POST, "POST"}, {EVHTTP_REQ_PUT, "PUT"},
        {EVHTTP_REQ_DELETE, "DELETE"},  {EVHTTP_REQ_HEAD, "HEAD"}, {EVHTTP_REQ_PATCH, "PATCH"},
        {EVHTTP_REQ_OPTIONS, "OPTIONS"}};

std::string methodName(evhttp_cmd_type type)
{
    for (const auto &[command, name] : Methods) {
        if (command == type)
            return name;
    }
    return "UNKNOWN";
}

std::string takeContent(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

std::string decodePath(const char *path)
{
    if (path == nullptr)
        return "/";
    std::size_t length = 0;
    char *decoded = evhttp_uridecode(path, 0, &length);
    if (decoded == nullptr)
        return path;
    std::string text(decoded, length);
    std::free(decoded);
    return text;
}

void addHeaders(evhttp_request *request, const HttpServer::Headers &headers)
{
    for (const auto &[name, value] : headers)
        evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
}

} // namespace

std::string_view HttpServer::Request::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string_view() : std::string_view(found->second);
}

// C callbacks of evhttp, which receive the HttpServer as their context.
struct HttpServer::Callbacks
{
    static void request(evhttp_request *request, void *argument)
    {
        auto *server = static_cast<HttpServer *>(argument);
        Request parsed;
        parsed.id = server->nextId++;
        parsed.method = methodName(evhttp_request_get_command(request));
        if (const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request)) {
            parsed.path = decodePath(evhttp_uri_get_path(uri));
            if (const char *query = evhttp_uri_get_query(uri))
                parsed.query = query;
        }
        parsed.body = takeContent(evhttp_request_get_input_buffer(request));
        const evkeyvalq *headers = evhttp_request_get_input_headers(request);
        for (const evkeyval *field = headers->tqh_first; field != nullptr;
             field = field->next.tqe_next) {
            std::string name = field->key;
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            parsed.headers[name] = field->value;
        }
        evhttp_connection *connection = evhttp_request_get_connection(request);
        char *peer = nullptr;
        std::uint16_t port = 0;
        evhttp_connection_get_peer(connection, &peer, &port);
        if (peer != nullptr)
            parsed.peerAddress = peer;
        // Nagle's algorithm would delay a chunk until the previous one is acknowledged.
        const int on = 1;
        setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), IPPROTO_TCP,
                   TCP_NODELAY, &on, sizeof on);
        evhttp_connection_set_timeout(connection, BusyTimeoutSeconds);
        evhttp_connection_set_closecb(connection, &Callbacks::closed, server);
        detectDisconnect(evhttp_connection_get_bufferevent(connection));
        server->requests[parsed.id] = OpenRequest{request, false};
        server->handler(parsed);
    }

    // evhttp does not read until the response starts, so it would not detect that the caller
    // disconnects before. Without a read callback, bytes of the next request stay in the buffer.
    static void detectDisconnect(bufferevent *stream)
    {
        bufferevent_data_cb writeCallback = nullptr;
        bufferevent_event_cb eventCallback = nullptr;
        void *context = nullptr;
        bufferevent_getcb(stream, nullptr, &writeCallback, &eventCallback, &context);
        bufferevent_setcb(stream, nullptr, writeCallback, eventCallback, context);
        bufferevent_enable(stream, EV_READ);
    }

    static void closed(evhttp_connection *, void *argument)
    {
        // evhttp has detached the closed connection from its request.
        auto *server = static_cast<HttpServer *>(argument);
        std::vector<RequestId> disconnected;
        for (const auto &[id, openRequest] : server->requests) {
            if (evhttp_request_get_connection(openRequest.request) == nullptr)
                disconnected.push_back(id);
        }
        for (RequestId id : disconnected) {
            const OpenRequest openRequest = server->requests[id];
            evhttp_request_free(openRequest.request);
            server->requests.erase(id);
            if (!openRequest.aborted && server->disconnectHandler)
                server->disconnectHandler(id);
        }
    }

    static void drained(evhttp_connection *connection, void *argument)
    {
        auto *server = static_cast<HttpServer *>(argument);
        if (!server->drainHandler)
            return;
        for (const auto &[id, openRequest] : server->requests) {
            if (evhttp_request_get_connection(openRequest.request) == connection) {
                server->drainHandler(id, server->pendingBytes(id));
                return;
            }
        }
    }
};

HttpServer::HttpServer(EventLoop &loop, const std::string &address, const Limits &limits,
                       Handler handler)
    : loop(loop), server(evhttp_new(loop.base())), handler(std::move(handler))
{
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(limits.headerBytes));
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(limits.bodyBytes));
    // Closing while the caller still sends would reset the connection and lose the answer.
    evhttp_set_flags(this->server, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_timeout(this->server,
                       limits.idleSeconds > 0 ? limits.idleSeconds : DefaultIdleSeconds);
    unsigned methods = 0;
    for (const auto &[command, name] : Methods)
        methods |= command;
    evhttp_set_allowed_methods(this->server, static_cast<std::uint16_t>(methods));
    evhttp_set_gencb(this->server, &Callbacks::request, this);

    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&storage), &length)
        != 0)
        return;
    evconnlistener *listener = evconnlistener_new_bind(
            loop.base(), nullptr, nullptr,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, SOMAXCONN,
            reinterpret_cast<sockaddr *>(&storage), length);
    if (listener == nullptr)
        return;
    this->socket = evhttp_bind_listener(this->server, listener);
    this->listening = this->socket != nullptr;
}

HttpServer::~HttpServer()
{
    for (const auto &[id, openRequest] : this->requests) {
        if (evhttp_connection *connection = evhttp_request_get_connection(openRequest.request))
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    evhttp_free(this->server);
}

void HttpServer::reply(RequestId request, int status, const Headers &headers, std::string_view body)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    evhttp_request *raw = found->second.request;
    this->requests.erase(found);
    evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
    evhttp_connection_set_timeout(evhttp_request_get_connection(raw), DefaultIdleSeconds);
    addHeaders(raw, headers);
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(raw, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpServer::startReply(RequestId request, int status, const Headers &headers)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end() || found->second.streaming)
        return;
    found->second.streaming = true;
    addHeaders(found->second.request, headers);
    evhttp_send_reply_start(found->second.request, status, nullptr);
}

void HttpServer::sendChunk(RequestId request, std::string_view data)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end() || data.empty())
        return;
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(found->second.request, buffer, &Callbacks::drained, this);
    evbuffer_free(buffer);
}

void HttpServer::endReply(RequestId request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    evhttp_request *raw = found->second.request;
    this->requests.erase(found);
    evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
    evhttp_send_reply_end(raw);
}

void HttpServer::abort(RequestId request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    // Only shuts the socket down: evhttp may be inside a callback of the connection, and frees it
    // when it reads the end of the stream.
    found->second.aborted = true;
    evhttp_connection *connection = evhttp_request_get_connection(found->second.request);
    ::shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
}

std::size_t HttpServer::pendingBytes(RequestId request) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return 0;
    evhttp_connection *connection = evhttp_request_get_connection(found->second.request);
    return evbuffer_get_length(
            bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

void HttpServer::stopListening()
{
    if (this->socket != nullptr)
        evhttp_del_accept_socket(this->server, static_cast<evhttp_bound_socket *>(this->socket));
    this->socket = nullptr;
    this->listening = false;
}

} // namespace Nutmegrill
