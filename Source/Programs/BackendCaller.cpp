#include "Programs/BackendCaller.h"

#include "Net/EventLoop.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds CallIdleTimeout(120);
constexpr std::chrono::seconds ProbeIdleTimeout(2);
// Flow control and the answer tail count whole parts, so a part is small compared with these
// budgets. The entry copies it into a buffer of libevent, whose sizes are powers of two with a
// header of their own.
constexpr std::size_t MaxPartBytes = (16U << 10U) - 128;
/// Time in which bytes are collected for a part. The socket is read 4 KB at a time, and small parts
/// would take twice their size in the entry.
constexpr std::chrono::milliseconds PartTime(1);
/// Longest event of a stream; an event holds a few tokens.
constexpr std::size_t MaxEventBytes = 256U << 10U;
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventStreamType = "text/event-stream";

/// Whether the rest of a stream, behind its last event, is a part of an event.
bool endsInsideEvent(std::string_view rest)
{
    static constexpr std::string_view EventEndWithReturns = "\r\n\r\n";
    const auto endsWith = [rest](std::string_view end) {
        return rest.size() >= end.size() && rest.substr(rest.size() - end.size()) == end;
    };
    return rest.find_first_not_of("\r\n") != std::string_view::npos && !endsWith(EventEnd)
           && !endsWith(EventEndWithReturns);
}

AgentEvent::BackendReport readReport(int status, const std::string &body)
{
    AgentEvent::BackendReport report;
    report.reachable = status != 0;
    // A plain service may have no load report, but it is reachable.
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return report;
    try {
        report.incarnation = document.value("incarnation", "");
        report.running = document.value("running", 0U);
        report.kvBytesUsed = document.value("kvBytesUsed", std::uint64_t(0));
    } catch (const nlohmann::json::exception &) {
        // A report with a field of the wrong type shows only that the backend server is reachable.
        report = {};
        report.reachable = true;
    }
    return report;
}

} // namespace

BackendCaller::BackendCaller(EventLoop &loop, std::string address, EventHandler handler)
    : loop(loop), address(std::move(address)), onEvent(std::move(handler)), http(loop)
{}

void BackendCaller::call(const WorkMessage::Request &request)
{
    const std::string id = request.requestId;
    HttpClient::Request call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    call.idleTimeout = CallIdleTimeout;
    if (!request.contentType.empty())
        call.headers.emplace_back("Content-Type", request.contentType);
    call.headers.emplace_back("X-Request-Id", id);
    if (!request.idempotencyKey.empty())
        call.headers.emplace_back("Idempotency-Key", request.idempotencyKey);
    if (request.priority != 0)
        call.headers.emplace_back("X-Priority", std::to_string(request.priority));

    HttpClient::Handlers handlers;
    handlers.onHead = [this, id](int status, const HttpClient::Headers &headers) {
        WorkMessage::Head head;
        head.status = status;
        for (const auto &[name, value] : headers) {
            if (name != "content-type")
                continue;
            head.headers.emplace_back("Content-Type", value);
            this->calls[id].isEventStream = value.find(EventStreamType) != std::string::npos;
        }
        this->onEvent(AgentEvent::BackendHead{id, head});
    };
    handlers.onData = [this, id](std::string_view data) { this->receive(id, data); };
    handlers.onEnd = [this, id] {
        if (const auto found = this->calls.find(id); found != this->calls.end()
                                                     && found->second.isEventStream
                                                     && endsInsideEvent(found->second.buffer)) {
            this->finish(id,
                         AgentEvent::BackendFailed{id, AgentEvent::BackendFailed::Kind::Broken});
            return;
        }
        this->flush(id);
        this->finish(id, AgentEvent::BackendEnd{id});
    };
    handlers.onFailure = [this, id](HttpClient::Failure failure) {
        const auto kind = failure == HttpClient::Failure::NotConnected
                                  ? AgentEvent::BackendFailed::Kind::NotSent
                                  : AgentEvent::BackendFailed::Kind::Broken;
        if (const auto found = this->calls.find(id);
            found != this->calls.end() && !found->second.isEventStream)
            this->flush(id);
        this->finish(id, AgentEvent::BackendFailed{id, kind});
    };
    this->calls[id] = Call{};
    this->calls[id].id = this->http.call(this->address, call, std::move(handlers));
}

void BackendCaller::receive(const std::string &requestId, std::string_view data)
{
    const auto found = this->calls.find(requestId);
    if (found == this->calls.end())
        return;
    // The event handler may cancel the call, which destroys the caller's copy of the id.
    const std::string id = found->first;
    found->second.buffer.append(data);
    if (found->second.isEventStream)
        this->receiveEvents(id);
    else
        this->receiveParts(id);
}

void BackendCaller::receiveEvents(const std::string &requestId)
{
    for (;;) {
        const auto current = this->calls.find(requestId);
        if (current == this->calls.end())
            return;
        std::string &buffer = current->second.buffer;
        const std::size_t end = buffer.find(EventEnd);
        if (end == std::string::npos) {
            if (buffer.size() > MaxEventBytes)
                this->failOversized(requestId);
            return;
        }
        std::string event = buffer.substr(0, end + EventEnd.size());
        buffer.erase(0, event.size());
        this->onEvent(AgentEvent::BackendData{requestId, std::move(event), 1});
    }
}

void BackendCaller::receiveParts(const std::string &requestId)
{
    for (;;) {
        const auto current = this->calls.find(requestId);
        if (current == this->calls.end())
            return;
        Call &call = current->second;
        if (call.buffer.size() < MaxPartBytes) {
            if (call.buffer.empty() || std::exchange(call.isFlushPending, true))
                return;
            const std::weak_ptr<bool> guard = this->alive;
            this->loop.after(PartTime, [this, guard, requestId] {
                if (!guard.expired())
                    this->flush(requestId);
            });
            return;
        }
        std::string part = call.buffer.substr(0, MaxPartBytes);
        call.buffer.erase(0, part.size());
        this->onEvent(AgentEvent::BackendData{requestId, std::move(part), 0});
    }
}

void BackendCaller::flush(const std::string &requestId)
{
    const auto found = this->calls.find(requestId);
    if (found == this->calls.end())
        return;
    found->second.isFlushPending = false;
    if (!found->second.buffer.empty())
        this->onEvent(
                AgentEvent::BackendData{requestId, std::exchange(found->second.buffer, {}), 0});
}

void BackendCaller::finish(const std::string &requestId, const AgentEvent::Any &event)
{
    if (this->calls.erase(requestId) > 0)
        this->onEvent(event);
}

void BackendCaller::failOversized(const std::string &requestId)
{
    this->http.cancel(this->calls.at(requestId).id);
    this->finish(requestId,
                 AgentEvent::BackendFailed{requestId, AgentEvent::BackendFailed::Kind::Broken});
}

void BackendCaller::cancel(const std::string &requestId)
{
    const auto found = this->calls.find(requestId);
    if (found == this->calls.end())
        return;
    this->http.cancel(found->second.id);
    this->calls.erase(found);
}

void BackendCaller::pause(const std::string &requestId, bool paused)
{
    if (const auto found = this->calls.find(requestId); found != this->calls.end())
        this->http.pause(found->second.id, paused);
}

void BackendCaller::probe()
{
    if (this->isProbing)
        return;
    this->isProbing = true;
    HttpClient::Request request;
    request.path = "/load";
    request.idleTimeout = ProbeIdleTimeout;
    this->http.fetch(this->address, request, [this](int status, const std::string &body) {
        this->isProbing = false;
        this->onEvent(readReport(status, body));
    });
}

} // namespace Nutmegrill
