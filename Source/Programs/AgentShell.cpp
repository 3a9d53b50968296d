#include "Programs/AgentShell.h"

#include "Messages/MessageCodec.h"
#include "Net/EventLog.h"
#include "Net/PeerSession.h"
#include "Programs/GroupMember.h"
#include "Programs/InstanceListReader.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds TickPeriod(50);
constexpr std::chrono::milliseconds LinkCheckPeriod(250);
constexpr std::chrono::milliseconds ProbePeriod(200);
constexpr std::chrono::milliseconds LinkIdleTimeout(3000);
constexpr std::chrono::milliseconds StoreCallTimeout(1000);
// Time to send the last messages before the process exits.
constexpr std::chrono::milliseconds ExitDelay(100);

constexpr std::string_view ControlPath = "/control";
constexpr std::string_view WorkPath = "/work";

} // namespace

AgentShell::AgentShell(EventLoop &loop, const Options &options)
    : loop(loop), options(options), node(options.node), peers(loop, options.listenAddress, *this),
      controlServer(loop, options.controlAddress, options.node.deploymentKey, this->metrics),
      store(loop, options.storeAddress, StoreCallTimeout),
      claimWriter(loop, this->store,
                  [this](const AgentEvent::ClaimsAnswered &answer) { this->handle(answer); }),
      backend(loop, options.backendAddress,
              [this](const AgentEvent::Any &event) { this->handle(event); })
{
    if (!options.group.empty()) {
        const GroupMember::Options member{{options.node.name, options.node.failureDomain,
                                           options.node.deploymentKey, options.group},
                                          options.node.incarnation,
                                          options.backendAddress,
                                          options.weightsAddress};
        this->groupMember = std::make_unique<GroupMember>(loop, member);
    }
    if (!options.instancesAddress.empty()) {
        this->instanceReader = std::make_unique<InstanceListReader>(
                loop, options.instancesAddress, [this](const std::vector<InstanceRecord> &records) {
                    if (this->groupMember != nullptr)
                        this->groupMember->update(records);
                    for (const InstanceRecord &record : records) {
                        if (record.name == this->options.node.name && record.leaving
                            && !std::exchange(this->isLeavingReported, true))
                            this->handle(AgentEvent::BackendLeaving{});
                    }
                });
    }
    this->controlServer.addHandler("GET /dump", [this](const HttpServer::Request &) {
        return ControlServer::Answer{200, "application/json", this->dump()};
    });
    this->controlServer.addHandler("GET /health", [this](const HttpServer::Request &) {
        const bool ready = this->node.configuration() != nullptr;
        return ControlServer::Answer{ready ? 200 : 503, "application/json",
                                     ready ? R"({"ready":true})" : R"({"ready":false})"};
    });
    this->timers.push_back(loop.every(TickPeriod, [this] { this->tick(); }));
    this->timers.push_back(loop.every(LinkCheckPeriod, [this] { this->checkLinks(); }));
    this->timers.push_back(loop.every(ProbePeriod, [this] { this->backend.probe(); }));
    this->timers.push_back(
            loop.onSignal(SIGTERM, [this] { this->handle(AgentEvent::StopRequested{}); }));
    this->timers.push_back(
            loop.onSignal(SIGUSR1, [this] { std::cout << this->dump() << std::endl; }));
}

AgentShell::~AgentShell() = default;

std::string AgentShell::dump() const
{
    const std::string nodeDump = this->node.dump(this->loop.now());
    return this->groupMember == nullptr ? nodeDump : this->groupMember->addToDump(nodeDump);
}

std::string AgentShell::startError() const
{
    if (!this->peers.isListening())
        return "cannot listen on " + this->options.listenAddress;
    if (!this->controlServer.isListening())
        return "cannot listen on " + this->options.controlAddress;
    return {};
}

void AgentShell::run()
{
    this->backend.probe();
    this->loop.run();
}

void AgentShell::handle(const AgentEvent::Any &event)
{
    AgentCommand::List commands;
    this->node.handle(this->loop.now(), event, commands);
    this->execute(commands);
    this->scheduleTick();
}

void AgentShell::scheduleTick()
{
    if (std::exchange(this->tickScheduled, true))
        return;
    this->loop.after(std::chrono::milliseconds(0), [this] {
        this->tickScheduled = false;
        this->tick();
    });
}

void AgentShell::tick()
{
    for (const AgentEvent::WorkId id : std::exchange(this->worksWithNewOutput, {})) {
        const auto work = this->workStreams.find(id);
        if (work == this->workStreams.end())
            continue;
        const auto [session, stream] = work->second.stream;
        this->handle(AgentEvent::WorkBuffered{id, session->pendingBytes(stream)});
    }
    AgentCommand::List commands;
    this->node.tick(this->loop.now(), commands);
    this->execute(commands);
    if (this->groupMember != nullptr)
        this->groupMember->update(this->node.configuration());
}

void AgentShell::checkLinks()
{
    this->peers.removeClosed();
    std::uint64_t bytes = 0;
    for (const auto &session : this->peers.sessions()) {
        session->checkLiveness(this->loop.now(), LinkIdleTimeout);
        bytes += session->bytesSent() + session->bytesReceived();
    }
    this->metrics.set("nutmegrill_open_link_bytes", {}, static_cast<double>(bytes));
    this->metrics.set("nutmegrill_open_links", {},
                      static_cast<double>(this->peers.sessions().size()));
    this->metrics.set("nutmegrill_store_calls", {}, static_cast<double>(this->store.callCount()));
}

void AgentShell::execute(const AgentCommand::List &commands)
{
    for (const AgentCommand::Any &command : commands)
        std::visit([this](const auto &body) { this->execute(body); }, command);
}

void AgentShell::execute(const AgentCommand::SendPeer &command)
{
    if (const auto link = this->links.find(command.link); link != this->links.end())
        link->second.session->send(link->second.controlStream, encodeMessage(command.message));
}

void AgentShell::execute(const AgentCommand::SendWork &command)
{
    const auto work = this->workStreams.find(command.work);
    if (work == this->workStreams.end())
        return;
    const auto [session, stream] = work->second.stream;
    const bool isFailure = std::holds_alternative<WorkMessage::Failure>(command.message);
    const bool isLast = isFailure || std::holds_alternative<WorkMessage::End>(command.message);
    if (isFailure)
        this->metrics.add("nutmegrill_agent_failures_total",
                          {{"code", std::get<WorkMessage::Failure>(command.message).code}});
    work->second.ended = isLast;
    session->send(stream, encodeMessage(command.message));
    this->worksWithNewOutput.insert(command.work);
    if (isLast)
        session->finish(stream);
}

void AgentShell::execute(const AgentCommand::CallBackend &command)
{
    this->metrics.add("nutmegrill_agent_backend_calls_total", {});
    this->backend.call(command.request);
}

void AgentShell::execute(const AgentCommand::CancelBackend &command)
{
    this->backend.cancel(command.requestId);
}

void AgentShell::execute(const AgentCommand::PauseBackend &command)
{
    this->backend.pause(command.requestId, command.paused);
}

void AgentShell::execute(const AgentCommand::WriteClaims &command)
{
    this->metrics.add("nutmegrill_agent_claim_batches_total", {});
    this->claimWriter.write(command);
}

void AgentShell::execute(const AgentCommand::Stop &)
{
    for (const auto &session : this->peers.sessions())
        session->announceShutdown();
    this->loop.after(ExitDelay, [this] { this->loop.stop(); });
}

void AgentShell::execute(const LogRecord &record)
{
    EventLog::write(record);
}

AgentEvent::LinkId AgentShell::linkOf(const PeerSession *session) const
{
    for (const auto &[id, link] : this->links) {
        if (link.session == session)
            return id;
    }
    return 0;
}

void AgentShell::peerStreamOpened(PeerSession &session, std::int32_t stream, std::string_view path)
{
    if (path == ControlPath) {
        const AgentEvent::LinkId id = this->nextLinkId++;
        this->links[id] = Link{&session, stream};
        this->handle(AgentEvent::LinkOpened{id});
    } else if (path == GroupLinks::StreamPath && this->groupMember != nullptr) {
        this->groupMember->streamOpened(session, stream);
    } else if (path != WorkPath) {
        session.reset(stream, true);
    }
}

void AgentShell::peerMessage(PeerSession &session, std::int32_t stream, std::string message)
{
    if (this->groupMember != nullptr && this->groupMember->streamMessage(session, stream, message))
        return;
    const AgentEvent::LinkId linkId = this->linkOf(&session);
    if (const auto link = this->links.find(linkId);
        link != this->links.end() && link->second.controlStream == stream) {
        if (auto decoded = decodePeerMessage(message))
            this->handle(AgentEvent::PeerReceived{linkId, std::move(*decoded)});
        return;
    }
    const StreamKey key(&session, stream);
    if (this->workByStream.count(key) != 0)
        return;
    auto decoded = decodeWorkMessage(message);
    auto *request = decoded.has_value() ? std::get_if<WorkMessage::Request>(&*decoded) : nullptr;
    // Without a control stream the peer has not authenticated with the deployment key.
    if (request == nullptr || linkId == 0) {
        session.reset(stream, true);
        return;
    }
    const AgentEvent::WorkId id = this->nextWorkId++;
    this->workStreams[id] = Work{key, false};
    this->workByStream[key] = id;
    this->handle(AgentEvent::WorkArrived{id, linkId, std::move(*request)});
}

void AgentShell::peerStreamClosed(PeerSession &session, std::int32_t stream, StreamEnd)
{
    if (this->groupMember != nullptr && this->groupMember->streamClosed(session, stream))
        return;
    const AgentEvent::LinkId linkId = this->linkOf(&session);
    if (const auto link = this->links.find(linkId);
        link != this->links.end() && link->second.controlStream == stream) {
        this->links.erase(link);
        this->handle(AgentEvent::LinkClosed{linkId});
        return;
    }
    const auto found = this->workByStream.find({&session, stream});
    if (found == this->workByStream.end())
        return;
    const AgentEvent::WorkId id = found->second;
    const bool ended = this->workStreams[id].ended;
    this->workByStream.erase(found);
    this->workStreams.erase(id);
    if (ended && session.isOpen())
        return;
    if (session.isOpen())
        this->handle(AgentEvent::WorkCancelled{id});
    else
        this->handle(AgentEvent::WorkDetached{id});
}

void AgentShell::peerStreamDrained(PeerSession &session, std::int32_t stream)
{
    if (const auto found = this->workByStream.find({&session, stream});
        found != this->workByStream.end())
        this->handle(AgentEvent::WorkBuffered{found->second, session.pendingBytes(stream)});
}

void AgentShell::peerDisconnected(PeerSession &) {}

} // namespace Nutmegrill
