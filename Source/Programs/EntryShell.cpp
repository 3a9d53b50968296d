#include "Programs/EntryShell.h"

#include "Messages/MessageCodec.h"
#include "Net/EventLog.h"
#include "Net/PeerSession.h"
#include "Programs/GroupOwners.h"
#include "Programs/TakeOutWriter.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod(50);
constexpr milliseconds LinkCheckPeriod(250);
constexpr milliseconds LinkIdleTimeout(3000);
constexpr milliseconds StoreCallTimeout(1000);
// Time to send the last answers before the process exits.
constexpr milliseconds ExitDelay(200);
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
constexpr std::size_t MaxBodyBytes = 4U << 20U;
// An answer up to this size is buffered completely, so that a failure can still change its status.
// A larger one is forwarded in parts, which bounds the memory that it needs.
constexpr std::size_t MaxWholeAnswerBytes = 64U << 10U;

HttpServer::Limits callerLimits()
{
    HttpServer::Limits limits;
    limits.headerBytes = MaxHeaderBytes;
    limits.bodyBytes = MaxBodyBytes;
    return limits;
}

double toSeconds(Instant::duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string eventId(const std::string &agent, std::uint64_t index)
{
    return "id: " + agent + ":" + std::to_string(index) + "\n";
}

} // namespace

EntryShell::EntryShell(EventLoop &loop, const Options &options)
    : loop(loop), options(options), node(options.node),
      callerServer(loop, options.listenAddress, callerLimits(),
                   [this](const HttpServer::Request &request) { this->serve(request); }),
      controlServer(loop, options.controlAddress, options.node.deploymentKey, this->metrics),
      store(loop, options.storeAddress, StoreCallTimeout), configurationReader(loop, this->store),
      gateway(options.node.name, options.node.seed),
      instanceReader(loop, options.instancesAddress,
                     [this](const std::vector<InstanceRecord> &records) {
                         this->handle(EntryEvent::InstancesRead{records});
                         this->groupOwners->update(records);
                     }),
      takeOutWriter(std::make_unique<TakeOutWriter>(loop, this->store)),
      groupOwners(std::make_unique<GroupOwners>(loop, this->store, this->controlServer,
                                                options.node, options.rebalancing))
{
    this->callerServer.onCallerDisconnected([this](HttpServer::RequestId id) {
        if (this->callers.erase(id) > 0)
            this->handle(EntryEvent::CallerDisconnected{id});
    });
    this->callerServer.onDrained([this](HttpServer::RequestId id, std::size_t pending) {
        if (const auto caller = this->callers.find(id); caller != this->callers.end()) {
            caller->second.bufferedBytes = pending;
            this->handle(EntryEvent::CallerBuffered{id, pending});
        }
    });
    this->addControlPaths();
    this->timers.push_back(loop.every(TickPeriod, [this] { this->tick(); }));
    this->timers.push_back(loop.every(LinkCheckPeriod, [this] { this->checkLinks(); }));
    this->timers.push_back(
            loop.onSignal(SIGTERM, [this] { this->handle(EntryEvent::StopRequested{}); }));
    this->timers.push_back(
            loop.onSignal(SIGUSR1, [this] { std::cout << this->dump() << std::endl; }));
}

EntryShell::~EntryShell() = default;

void EntryShell::addControlPaths()
{
    this->controlServer.addHandler("GET /dump", [this](const HttpServer::Request &) {
        return ControlServer::Answer{200, "application/json", this->dump()};
    });
    this->controlServer.addHandler("GET /health", [this](const HttpServer::Request &) {
        const bool ready = this->node.isReady();
        return ControlServer::Answer{ready ? 200 : 503, "application/json",
                                     ready ? R"({"ready":true})" : R"({"ready":false})"};
    });
    this->controlServer.addHandler("POST /take-out", [this](const HttpServer::Request &request) {
        return this->acceptTakeOut(request);
    });
}

ControlServer::Answer EntryShell::acceptTakeOut(const HttpServer::Request &request)
{
    const auto takeOut = TakeOutWriter::parse(request.body, this->node.configuration());
    if (!takeOut.has_value())
        return {400, "application/json",
                R"({"error":{"code":"unknown_failure_domain","message":"no such failure domain"}})"};
    this->handle(EntryEvent::TakeOutRequested{*takeOut});
    return {200, "application/json", R"({"pending":true})"};
}

std::string EntryShell::dump() const
{
    return this->groupOwners->addToDump(this->node.dump(this->loop.now()));
}

std::string EntryShell::startError() const
{
    if (!this->callerServer.isListening())
        return "cannot listen on " + this->options.listenAddress;
    if (!this->controlServer.isListening())
        return "cannot listen on " + this->options.controlAddress;
    return {};
}

void EntryShell::run()
{
    this->tick();
    this->loop.run();
}

void EntryShell::handle(const EntryEvent::Any &event)
{
    EntryCommand::List commands;
    this->node.handle(this->loop.now(), event, commands);
    this->execute(commands);
    this->scheduleTick();
}

void EntryShell::scheduleTick()
{
    if (std::exchange(this->tickScheduled, true))
        return;
    this->loop.after(milliseconds(0), [this] {
        this->tickScheduled = false;
        this->tick();
    });
}

void EntryShell::tick()
{
    this->closedSessions.clear();
    std::vector<EntryEvent::CallerBuffered> changes;
    for (auto &[id, caller] : this->callers) {
        const std::uint64_t pending = this->callerServer.pendingBytes(id);
        if (std::exchange(caller.bufferedBytes, pending) != pending)
            changes.push_back({id, pending});
    }
    for (const EntryEvent::CallerBuffered &change : changes)
        this->handle(change);
    EntryCommand::List commands;
    this->node.tick(this->loop.now(), commands);
    this->execute(commands);
    this->groupOwners->tick(this->node.configuration());
}

void EntryShell::checkLinks()
{
    std::uint64_t bytes = 0;
    for (auto &[agent, link] : this->links) {
        link.session->checkLiveness(this->loop.now(), LinkIdleTimeout);
        bytes += link.session->bytesSent() + link.session->bytesReceived();
    }
    this->metrics.set("nutmegrill_open_link_bytes", {}, static_cast<double>(bytes));
    this->metrics.set("nutmegrill_open_links", {}, static_cast<double>(this->links.size()));
    this->metrics.set("nutmegrill_store_calls", {}, static_cast<double>(this->store.callCount()));
}

// Callers

void EntryShell::serve(const HttpServer::Request &request)
{
    if (request.path == "/v1/entries" && request.method == "GET") {
        this->serveEntries(request);
        return;
    }
    const ConfigurationPtr configuration = this->node.configuration();
    if (configuration == nullptr) {
        this->replyFailure(request.id, {}, CallerGateway::notReady());
        return;
    }
    if (request.path == "/v1/models" && request.method == "GET") {
        this->serveModels(request);
        return;
    }
    auto parsed = this->gateway.parse(request, *configuration);
    if (const auto *failure = std::get_if<WorkMessage::Failure>(&parsed)) {
        this->replyFailure(request.id, std::string(request.header("x-request-id")), *failure);
        return;
    }
    const auto &call = std::get<EntryEvent::CallerRequest>(parsed);
    Caller caller;
    caller.requestId = call.request.requestId.substr(call.request.requestId.find('/') + 1);
    caller.isEventStream = call.request.stream;
    caller.arrivedAt = this->loop.now();
    this->callers[request.id] = std::move(caller);
    this->handle(call);
}

void EntryShell::serveEntries(const HttpServer::Request &request)
{
    const auto lifetime = this->node.addressLifetime();
    nlohmann::json rows = nlohmann::json::array();
    for (const EntryNode::Address &entry :
         this->node.entriesFor(request.peerAddress + request.query))
        rows.push_back({{"address", entry.address}, {"failure_domain", entry.failureDomain}});
    const nlohmann::json body = {{"entries", rows}, {"keep_seconds", lifetime.count()}};
    this->callerServer.reply(request.id, 200,
                             {{"Content-Type", "application/json"},
                              {"Cache-Control", "max-age=" + std::to_string(lifetime.count())}},
                             body.dump());
}

void EntryShell::serveModels(const HttpServer::Request &request)
{
    const ConfigurationPtr configuration = this->node.configuration();
    const ClientAccount *account = CallerGateway::authenticate(request, *configuration);
    if (account == nullptr) {
        this->replyFailure(request.id, {}, CallerGateway::unauthorized());
        return;
    }
    this->callerServer.reply(request.id, 200, {{"Content-Type", "application/json"}},
                             CallerGateway::modelList(*configuration, *account));
}

void EntryShell::replyFailure(EntryCommand::CallerId caller, const std::string &requestId,
                              const WorkMessage::Failure &failure)
{
    this->metrics.add("nutmegrill_entry_failures_total", {{"code", failure.code}});
    this->callerServer.reply(caller, failure.status,
                             CallerGateway::failureHeaders(failure, requestId),
                             CallerGateway::failureBody(failure, requestId));
}

// Commands

void EntryShell::execute(const EntryCommand::List &commands)
{
    for (const EntryCommand::Any &command : commands)
        std::visit([this](const auto &body) { this->execute(body); }, command);
}

void EntryShell::execute(const EntryCommand::OpenLink &command)
{
    if (auto old = this->links.find(command.agent); old != this->links.end()) {
        this->closedSessions.push_back(std::move(old->second.session));
        this->links.erase(old);
    }
    Link link;
    link.session = PeerSession::connect(this->loop, command.address, *this);
    this->links[command.agent] = std::move(link);
}

void EntryShell::execute(const EntryCommand::CloseLink &command)
{
    const auto link = this->links.find(command.agent);
    if (link == this->links.end() || std::exchange(link->second.isClosing, true))
        return;
    link->second.session->finish(link->second.controlStream);
    link->second.session->announceShutdown();
}

void EntryShell::execute(const EntryCommand::SendPeer &command)
{
    if (const auto link = this->links.find(command.agent); link != this->links.end())
        link->second.session->send(link->second.controlStream, encodeMessage(command.message));
}

void EntryShell::execute(const EntryCommand::StartWork &command)
{
    this->metrics.add("nutmegrill_entry_starts_total", {{"service", command.request.service}});
    const auto link = this->links.find(command.agent);
    const std::int32_t stream =
            link == this->links.end() ? 0 : link->second.session->openStream("/work");
    if (stream == 0) {
        this->loop.after(milliseconds(0), [this, work = command.work] {
            this->handle(EntryEvent::WorkClosed{work, RunState::NotRun});
        });
        return;
    }
    PeerSession *session = link->second.session.get();
    this->workStreams[command.work] = Work{session, stream};
    this->workByStream[{session, stream}] = command.work;
    session->send(stream, encodeMessage(WorkMessage::Any(command.request)));
    session->finish(stream);
}

void EntryShell::execute(const EntryCommand::CancelWork &command)
{
    const auto work = this->workStreams.find(command.work);
    if (work == this->workStreams.end())
        return;
    const auto [session, stream] = work->second;
    this->workByStream.erase({session, stream});
    this->workStreams.erase(work);
    session->reset(stream, false);
}

void EntryShell::execute(const EntryCommand::PauseWork &command)
{
    if (const auto work = this->workStreams.find(command.work); work != this->workStreams.end())
        work->second.session->pause(work->second.stream, command.paused);
}

void EntryShell::execute(const EntryCommand::ReplyHead &command)
{
    const auto caller = this->callers.find(command.caller);
    if (caller == this->callers.end())
        return;
    Caller &state = caller->second;
    state.head = command.head;
    if (state.isEventStream && !state.isHeadSent)
        this->beginReply(command.caller, state);
}

void EntryShell::beginReply(EntryCommand::CallerId id, Caller &caller)
{
    caller.isHeadSent = true;
    HttpServer::Headers headers = caller.head.headers;
    headers.emplace_back("X-Request-Id", caller.requestId);
    if (caller.isEventStream)
        headers.emplace_back("Cache-Control", "no-store");
    this->callerServer.startReply(id, caller.head.status, headers);
}

void EntryShell::execute(const EntryCommand::ReplyEvent &command)
{
    const auto caller = this->callers.find(command.caller);
    if (caller == this->callers.end())
        return;
    Caller &state = caller->second;
    const Instant now = this->loop.now();
    const bool isFirst = state.lastEventAt == Instant();
    this->metrics.observe(isFirst ? "nutmegrill_entry_first_event_seconds"
                                  : "nutmegrill_entry_event_gap_seconds",
                          {}, toSeconds(now - (isFirst ? state.arrivedAt : state.lastEventAt)));
    state.lastEventAt = now;
    if (state.isEventStream) {
        this->callerServer.sendChunk(command.caller,
                                     eventId(command.agent, command.index) + command.data);
        return;
    }
    state.body += command.data;
    if (!state.isHeadSent && state.body.size() <= MaxWholeAnswerBytes)
        return;
    if (!state.isHeadSent)
        this->beginReply(command.caller, state);
    this->callerServer.sendChunk(command.caller, std::exchange(state.body, {}));
}

void EntryShell::execute(const EntryCommand::ReplyEnd &command)
{
    const auto caller = this->callers.find(command.caller);
    if (caller == this->callers.end())
        return;
    const Caller state = std::move(caller->second);
    this->callers.erase(caller);
    this->metrics.add("nutmegrill_entry_answers_total", {});
    if (state.isHeadSent) {
        this->callerServer.endReply(command.caller);
        return;
    }
    HttpServer::Headers headers = state.head.headers;
    headers.emplace_back("X-Request-Id", state.requestId);
    this->callerServer.reply(command.caller, state.head.status, headers, state.body);
}

void EntryShell::execute(const EntryCommand::ReplyFailure &command)
{
    const auto caller = this->callers.find(command.caller);
    if (caller == this->callers.end())
        return;
    const Caller state = std::move(caller->second);
    this->callers.erase(caller);
    if (!state.isHeadSent) {
        this->replyFailure(command.caller, state.requestId, command.failure);
        return;
    }
    // The status has already been sent. The failure is reported in the stream, which is aborted
    // without its last chunk, so that the caller does not take the answer for complete.
    this->metrics.add("nutmegrill_entry_failures_total", {{"code", command.failure.code}});
    if (state.isEventStream)
        this->callerServer.sendChunk(
                command.caller,
                "event: error\ndata: "
                        + CallerGateway::failureBody(command.failure, state.requestId) + "\n\n");
    this->loop.after(ExitDelay, [this, id = command.caller] { this->callerServer.abort(id); });
}

void EntryShell::execute(const EntryCommand::ReadStore &command)
{
    const auto done = [this](const ConfigurationPtr &configuration) {
        if (configuration == nullptr)
            this->handle(EntryEvent::StoreUnreachable{});
        else
            this->handle(EntryEvent::ConfigurationRead{configuration, true});
    };
    if (command.watch)
        this->configurationReader.watch(done);
    else
        this->configurationReader.read(done);
}

void EntryShell::execute(const EntryCommand::StoreTakeOut &command)
{
    this->takeOutWriter->write(command.takeOut);
}

void EntryShell::execute(const EntryCommand::Stop &)
{
    this->callerServer.stopListening();
    this->loop.after(ExitDelay, [this] { this->loop.stop(); });
}

void EntryShell::execute(const LogRecord &record)
{
    EventLog::write(record);
}

// Links

std::string EntryShell::agentOf(const PeerSession &session) const
{
    for (const auto &[agent, link] : this->links) {
        if (link.session.get() == &session)
            return agent;
    }
    return {};
}

void EntryShell::peerConnected(PeerSession &session)
{
    const std::string agent = this->agentOf(session);
    if (agent.empty())
        return;
    this->links[agent].controlStream = session.openStream("/control");
    this->handle(EntryEvent::LinkOpened{agent});
}

void EntryShell::peerStreamOpened(PeerSession &session, std::int32_t stream, std::string_view)
{
    // Agents open no streams to entries.
    session.reset(stream, true);
}

void EntryShell::peerMessage(PeerSession &session, std::int32_t stream, std::string message)
{
    if (const auto work = this->workByStream.find({&session, stream});
        work != this->workByStream.end()) {
        if (auto decoded = decodeWorkMessage(message))
            this->handle(EntryEvent::WorkReceived{work->second, std::move(*decoded)});
        return;
    }
    const std::string agent = this->agentOf(session);
    const auto link = this->links.find(agent);
    if (link == this->links.end() || link->second.controlStream != stream)
        return;
    if (auto decoded = decodePeerMessage(message))
        this->handle(EntryEvent::PeerReceived{agent, std::move(*decoded)});
}

void EntryShell::peerStreamClosed(PeerSession &session, std::int32_t stream, StreamEnd end)
{
    const auto found = this->workByStream.find({&session, stream});
    if (found == this->workByStream.end())
        return;
    const EntryCommand::WorkId work = found->second;
    this->workByStream.erase(found);
    this->workStreams.erase(work);
    this->handle(EntryEvent::WorkClosed{work, end == StreamEnd::NotProcessed ? RunState::NotRun
                                                                             : RunState::Unknown});
}

void EntryShell::peerDisconnected(PeerSession &session)
{
    const std::string agent = this->agentOf(session);
    if (agent.empty())
        return;
    // The session is running one of its callbacks, so the next tick destroys it.
    this->closedSessions.push_back(std::move(this->links[agent].session));
    this->links.erase(agent);
    this->handle(EntryEvent::LinkClosed{agent});
}

} // namespace Nutmegrill
