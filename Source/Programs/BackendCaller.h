#pragma once

#include "Agent/AgentEvent.h"
#include "Messages/WorkMessage.h"
#include "Net/HttpClient.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Nutmegrill {

class EventLoop;

/// Calls the agent's backend server and converts its answers into agent events: one BackendData for
/// each server-sent event of an engine, or for each part of a plain body.
class BackendCaller
{
public:
    using EventHandler = std::function<void(const AgentEvent::Any &event)>;

    BackendCaller(EventLoop &loop, std::string address, EventHandler handler);

    void call(const WorkMessage::Request &request);
    void cancel(const std::string &requestId);
    void pause(const std::string &requestId, bool paused);

    /// Requests the load of the backend server; the answer becomes a BackendReport.
    void probe();

private:
    struct Call
    {
        HttpClient::CallId id = 0;
        bool isEventStream = false;
        /// What has arrived of the next event or part.
        std::string buffer;
        /// The buffer is passed on soon, as a part.
        bool isFlushPending = false;
    };

    void receive(const std::string &requestId, std::string_view data);
    void receiveEvents(const std::string &requestId);
    void receiveParts(const std::string &requestId);
    /// Passes on what the buffer holds.
    void flush(const std::string &requestId);
    void finish(const std::string &requestId, const AgentEvent::Any &event);
    /// Ends the call of a backend server that sends an event without end.
    void failOversized(const std::string &requestId);

    EventLoop &loop;
    std::string address;
    EventHandler onEvent;
    HttpClient http;
    std::map<std::string, Call> calls;
    bool isProbing = false;
    /// Expires with this object; pending timers check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
