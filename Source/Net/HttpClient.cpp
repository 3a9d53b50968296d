#include "Net/HttpClient.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Nutmegrill {

namespace {

/// Answers of the known services have a few headers.
constexpr ev_ssize_t MaxHeadBytes = 64 << 10;
/// Bytes that evhttp holds back in all calls of a client, such as unfinished lines and chunks.
constexpr std::size_t MaxHeldBytes = 48U << 20U;

evhttp_cmd_type evhttpCommand(const std::string &method)
{
    static const std::map<std::string, evhttp_cmd_type> commands = {
            {"GET", EVHTTP_REQ_GET},        {"POST", EVHTTP_REQ_POST}, {"PUT", EVHTTP_REQ_PUT},
            {"DELETE", EVHTTP_REQ_DELETE},  {"HEAD", EVHTTP_REQ_HEAD}, {"PATCH", EVHTTP_REQ_PATCH},
            {"OPTIONS", EVHTTP_REQ_OPTIONS}};
    const auto found = commands.find(method);
    return found == commands.end() ? EVHTTP_REQ_GET : found->second;
}

bool splitAddress(const std::string &address, std::string &host, std::uint16_t &port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    host = address.substr(0, colon);
    const int number = std::atoi(address.c_str() + colon + 1);
    port = static_cast<std::uint16_t>(number);
    return number > 0 && number <= 65535;
}

} // namespace

struct HttpClient::Call
{
    HttpClient *client = nullptr;
    CallId id = 0;
    Handlers handlers;
    evhttp_connection *connection = nullptr;
    bool headSeen = false;
    bool written = false;
    bool paused = false;

    ~Call()
    {
        if (this->connection != nullptr)
            evhttp_connection_free(this->connection);
    }

    static void outputChanged(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        if (info->n_deleted > 0)
            static_cast<Call *>(argument)->written = true;
    }

    static void inputChanged(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        if (info->n_added > 0)
            static_cast<Call *>(argument)->client->limitHeldBytes();
    }

    std::size_t heldBytes() const
    {
        return evbuffer_get_length(
                bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)));
    }

    static int head(evhttp_request *request, void *argument)
    {
        auto *call = static_cast<Call *>(argument);
        call->headSeen = true;
        Headers headers;
        const evkeyvalq *fields = evhttp_request_get_input_headers(request);
        for (const evkeyval *field = fields->tqh_first; field != nullptr;
             field = field->next.tqe_next) {
            std::string name = field->key;
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            headers.emplace_back(std::move(name), field->value);
        }
        if (call->handlers.onHead)
            call->handlers.onHead(evhttp_request_get_response_code(request), headers);
        return 0;
    }

    static void chunk(evhttp_request *request, void *argument)
    {
        auto *call = static_cast<Call *>(argument);
        evbuffer *input = evhttp_request_get_input_buffer(request);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        if (call->handlers.onData && !data.empty())
            call->handlers.onData(data);
    }

    // evhttp passes a null request or response code 0 when the call has failed.
    static void done(evhttp_request *request, void *argument)
    {
        auto *call = static_cast<Call *>(argument);
        const bool complete = request != nullptr && evhttp_request_get_response_code(request) != 0;
        const Handlers handlers = std::move(call->handlers);
        const bool written = call->written;
        HttpClient *client = call->client;
        client->remove(call->id);
        if (complete && handlers.onEnd)
            handlers.onEnd();
        if (!complete && handlers.onFailure)
            handlers.onFailure(written ? Failure::Broken : Failure::NotConnected);
    }
};

HttpClient::HttpClient(EventLoop &loop) : loop(loop) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::call(const std::string &address, const Request &request,
                                    Handlers handlers)
{
    const CallId id = this->nextId++;
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(address, host, port)) {
        this->loop.after(std::chrono::milliseconds(0),
                         [handlers] { handlers.onFailure(Failure::NotConnected); });
        return id;
    }
    auto call = std::make_unique<Call>();
    call->client = this;
    call->id = id;
    call->handlers = std::move(handlers);
    call->connection = evhttp_connection_base_bufferevent_new(this->loop.base(), nullptr, nullptr,
                                                              host.c_str(), port);
    evhttp_connection_set_timeout(call->connection, static_cast<int>(request.idleTimeout.count()));
    evhttp_connection_set_max_headers_size(call->connection, MaxHeadBytes);
    bufferevent *stream = evhttp_connection_get_bufferevent(call->connection);
    evbuffer_add_cb(bufferevent_get_output(stream), &Call::outputChanged, call.get());
    evbuffer_add_cb(bufferevent_get_input(stream), &Call::inputChanged, call.get());

    evhttp_request *raw = evhttp_request_new(&Call::done, call.get());
    evhttp_request_set_header_cb(raw, &Call::head);
    evhttp_request_set_chunked_cb(raw, &Call::chunk);
    evkeyvalq *headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto &[name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());

    Call *pending = call.get();
    this->calls[id] = std::move(call);
    // On failure evhttp frees the request, and done() may already have run.
    if (evhttp_make_request(pending->connection, raw, evhttpCommand(request.method),
                            request.path.c_str())
                != 0
        && this->calls.count(id) != 0) {
        const Handlers failed = std::move(pending->handlers);
        this->remove(id);
        this->loop.after(std::chrono::milliseconds(0),
                         [failed] { failed.onFailure(Failure::NotConnected); });
    }
    return id;
}

void HttpClient::fetch(const std::string &address, const Request &request,
                       std::function<void(int status, std::string body)> done)
{
    struct Result
    {
        CallId call = 0;
        int status = 0;
        std::string body;
    };
    auto result = std::make_shared<Result>();
    Handlers handlers;
    handlers.onHead = [result](int status, const Headers &) { result->status = status; };
    handlers.onData = [this, result, limit = request.maxBodyBytes](std::string_view data) {
        if (result->body.size() + data.size() <= limit)
            result->body.append(data);
        else
            this->failOversized(result->call);
    };
    handlers.onEnd = [result, done] { done(result->status, std::move(result->body)); };
    handlers.onFailure = [done](Failure) { done(0, {}); };
    result->call = this->call(address, request, std::move(handlers));
}

void HttpClient::limitHeldBytes()
{
    std::size_t held = 0;
    const Call *largest = nullptr;
    for (const auto &[id, call] : this->calls) {
        held += call->heldBytes();
        if (largest == nullptr || call->heldBytes() > largest->heldBytes())
            largest = call.get();
    }
    if (held <= MaxHeldBytes)
        return;
    // Deferred, because evhttp may be inside a callback of this connection.
    this->loop.after(std::chrono::milliseconds(0),
                     [this, call = largest->id] { this->failOversized(call); });
}

void HttpClient::failOversized(CallId call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    const Handlers handlers = std::move(found->second->handlers);
    this->remove(call);
    if (handlers.onFailure)
        handlers.onFailure(Failure::Broken);
}

void HttpClient::cancel(CallId call)
{
    this->remove(call);
}

void HttpClient::pause(CallId call, bool paused)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end() || found->second->paused == paused)
        return;
    found->second->paused = paused;
    // Deferred to the event loop, because evhttp enables reading again after a data callback.
    this->loop.after(std::chrono::milliseconds(0), [this, call] {
        const auto current = this->calls.find(call);
        if (current == this->calls.end())
            return;
        bufferevent *stream = evhttp_connection_get_bufferevent(current->second->connection);
        if (current->second->paused)
            bufferevent_disable(stream, EV_READ);
        else
            bufferevent_enable(stream, EV_READ);
    });
}

void HttpClient::remove(CallId call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    // Freed from the event loop, because evhttp may be inside a callback of this connection.
    std::shared_ptr<Call> removed = std::move(found->second);
    this->calls.erase(found);
    removed->handlers = Handlers{};
    this->loop.after(std::chrono::milliseconds(0), [removed] {});
}

} // namespace Nutmegrill
