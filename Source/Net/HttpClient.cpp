#include "Net/HttpClient.h"

#include "Http/ClientConnection.h"
#include "Http/HttpHead.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Nutmegrill {

namespace {

/// How often connections are checked for having been idle; short compared with every idle timeout.
constexpr std::chrono::milliseconds IdleCheckPeriod{250};

constexpr unsigned char Blank = 0x20;
constexpr unsigned char Delete = 0x7f;

bool isControl(char letter)
{
    const auto byte = static_cast<unsigned char>(letter);
    return byte < Blank || byte == Delete;
}

/// Encodes bytes that would end the path in a request line.
std::string encodePath(const std::string &path)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : path) {
        if (!isControl(letter) && letter != ' ') {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += {'%', Digits[byte / Digits.size()], Digits[byte % Digits.size()]};
    }
    return encoded;
}

void addHeader(std::string &text, const std::string &name, std::string value)
{
    // Otherwise a value could add a header.
    std::replace_if(value.begin(), value.end(), isControl, ' ');
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string requestText(const std::string &address, const HttpClient::Request &request)
{
    std::string text = request.method + " " + encodePath(request.path) + " HTTP/1.1\r\n";
    addHeader(text, "Host", address);
    addHeader(text, "Connection", "close");
    for (const auto &[name, value] : request.headers)
        addHeader(text, name, value);
    const bool mayHaveBody =
            request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (mayHaveBody || !request.body.empty())
        addHeader(text, "Content-Length", std::to_string(request.body.size()));
    return text + "\r\n" + request.body;
}

HttpClient::Headers withLowerCaseNames(HttpClient::Headers headers)
{
    for (auto &[name, value] : headers)
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
    return headers;
}

} // namespace

struct HttpClient::Call
{
    Handlers handlers;
    std::shared_ptr<ClientConnection> connection;
    /// Sets a new idle deadline after progress.
    std::function<void()> progressed;
    Instant idleDeadline = NoDeadline;
    /// Bytes of the request that were not sent at the last check.
    std::size_t unsentBytes = 0;
    bool paused = false;
};

HttpClient::HttpClient(EventLoop &loop) : loop(loop) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::call(const std::string &address, const Request &request,
                                    Handlers handlers)
{
    const CallId id = this->nextId++;
    const auto call = std::make_shared<Call>();
    call->handlers = std::move(handlers);
    call->connection = std::make_shared<ClientConnection>(this->loop, address, request.idleTimeout,
                                                          ClientConnection::SilentPeer::Wait);
    call->progressed = [this, id, idleTimeout = request.idleTimeout] {
        if (const auto found = this->calls.find(id); found != this->calls.end())
            found->second->idleDeadline = this->loop.now() + idleTimeout;
    };
    this->calls.emplace(id, call);
    call->progressed();

    ClientConnection::Handlers events;
    events.onConnected = call->progressed;
    events.onHead = [this, id](const HttpHead &head) {
        if (const auto open = this->find(id)) {
            open->progressed();
            if (open->handlers.onHead)
                open->handlers.onHead(head.status, withLowerCaseNames(head.headers));
        }
        return true;
    };
    events.onData = [this, id](std::string_view data) {
        if (const auto open = this->find(id)) {
            open->progressed();
            if (open->handlers.onData)
                open->handlers.onData(data);
        }
    };
    events.onEnd = [this, id] {
        const auto ended = this->find(id);
        this->remove(id);
        if (ended != nullptr && ended->handlers.onEnd)
            ended->handlers.onEnd();
    };
    events.onFailure = [this, id](ClientConnection::Failure failure) {
        const bool isUnsent = failure == ClientConnection::Failure::NotConnected
                              || failure == ClientConnection::Failure::Refused;
        this->fail(id, isUnsent ? Failure::NotConnected : Failure::Broken);
    };
    call->connection->send(requestText(address, request), std::move(events));
    call->unsentBytes = call->connection->unsentBytes();
    if (this->idleTimer == nullptr)
        this->idleTimer = this->loop.every(IdleCheckPeriod, [this] { this->failIdleCalls(); });
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
            this->fail(result->call, Failure::Broken);
    };
    handlers.onEnd = [result, done] { done(result->status, std::move(result->body)); };
    handlers.onFailure = [done](Failure) { done(0, {}); };
    result->call = this->call(address, request, std::move(handlers));
}

void HttpClient::failIdleCalls()
{
    const Instant now = this->loop.now();
    std::vector<CallId> idle;
    for (const auto &[id, call] : this->calls) {
        const std::size_t unsent = call->connection->unsentBytes();
        if (call->paused || unsent < call->unsentBytes)
            call->progressed();
        call->unsentBytes = unsent;
        if (call->idleDeadline <= now)
            idle.push_back(id);
    }
    for (const CallId id : idle) {
        // A handler may have cancelled the call.
        if (const auto call = this->find(id))
            this->fail(id,
                       call->connection->isConnected() ? Failure::Broken : Failure::NotConnected);
    }
}

std::shared_ptr<HttpClient::Call> HttpClient::find(CallId call) const
{
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : found->second;
}

void HttpClient::fail(CallId call, Failure failure)
{
    const auto failed = this->find(call);
    this->remove(call);
    if (failed != nullptr && failed->handlers.onFailure)
        failed->handlers.onFailure(failure);
}

void HttpClient::cancel(CallId call)
{
    this->remove(call);
}

void HttpClient::pause(CallId call, bool paused)
{
    if (const auto found = this->find(call); found != nullptr && found->paused != paused) {
        found->paused = paused;
        found->connection->pauseReading(paused);
    }
}

void HttpClient::remove(CallId call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    const std::shared_ptr<Call> removed = std::move(found->second);
    this->calls.erase(found);
    removed->connection->close();
    // Freed from the event loop, because the connection may be inside a handler.
    this->loop.after(std::chrono::milliseconds(0), [removed] {});
}

} // namespace Nutmegrill
