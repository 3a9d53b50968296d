#include "Agent/PeerControl.h"

#include "Agent/AgentLog.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds MinStatusInterval(1);

bool isSame(const PeerMessage::BackendStatus &first, const PeerMessage::BackendStatus &second)
{
    return first.state == second.state && first.running == second.running
           && first.limit == second.limit;
}

} // namespace

void PeerControl::open(const AgentEvent::LinkOpened &event)
{
    this->state.links[event.link] = LinkRow{};
}

void PeerControl::close(const AgentTurn &turn, const AgentEvent::LinkClosed &event)
{
    this->state.links.erase(event.link);
    this->state.credits.close(event.link);
    this->state.spread.closePeer(std::to_string(event.link));
    for (auto &[id, row] : this->state.requests) {
        if (row.link == event.link)
            this->answers.detach(turn, row);
    }
}

void PeerControl::receive(const AgentTurn &turn, const AgentEvent::PeerReceived &event)
{
    if (const auto *hello = std::get_if<PeerMessage::Hello>(&event.message)) {
        this->authenticate(turn, event.link, *hello);
        return;
    }
    if (this->state.findAuthenticatedLink(event.link) == nullptr)
        return;
    this->state.credits.recordActivity(turn.now, event.link);
    if (const auto *demand = std::get_if<PeerMessage::Demand>(&event.message)) {
        this->state.credits.setDemand(event.link, demand->queued);
    } else if (const auto *ack = std::get_if<PeerMessage::Ack>(&event.message)) {
        this->answers.acknowledge(turn, event.link, *ack);
    } else if (const auto *notice = std::get_if<PeerMessage::CrashNotice>(&event.message)) {
        this->backend.mergeCrashNotice(turn, event.link, *notice);
    } else {
        PeerOutput::List output;
        this->state.spread.receive(turn.now, std::to_string(event.link), event.message, output);
        this->send(turn, output);
        this->applyConfiguration(turn);
    }
}

void PeerControl::requestNewerConfiguration(const AgentTurn &turn, AgentCommand::LinkId link,
                                            std::uint64_t version)
{
    if (this->state.findAuthenticatedLink(link) == nullptr
        || version <= this->state.spread.version())
        return;
    PeerOutput::List output;
    this->state.spread.receive(turn.now, std::to_string(link),
                               PeerMessage::ConfigurationOffer{version, {}}, output);
    this->send(turn, output);
}

void PeerControl::accept(const AgentTurn &turn, const AgentEvent::ConfigurationRead &event)
{
    PeerOutput::List output;
    this->state.spread.accept(turn.now, event.configuration, output);
    this->send(turn, output);
    this->applyConfiguration(turn);
}

void PeerControl::offerConfiguration(const AgentTurn &turn)
{
    PeerOutput::List output;
    this->state.spread.tick(turn.now, output);
    this->send(turn, output);
}

void PeerControl::grantCredits(const AgentTurn &turn)
{
    const std::uint64_t limit = this->state.isIsolating(turn.now) ? 0 : this->state.limit();
    const std::uint64_t active = this->state.active();
    const ServiceDeclaration *service = this->state.service();
    std::uint64_t kvBytesFree = 0;
    if (service != nullptr && service->kvBytes > 0) {
        const std::uint64_t used = std::min(this->state.projectedKvBytes(), service->kvBytes);
        // In a grant, zero means unlimited, so exhausted memory is encoded as one byte.
        kvBytesFree = std::max<std::uint64_t>(service->kvBytes - used, 1);
    }
    const std::uint64_t slots = limit > active ? limit - active : 0;
    for (const auto &[link, grant] : this->state.credits.distribute(turn.now, slots, kvBytesFree))
        turn.commands.emplace_back(AgentCommand::SendPeer{link, grant});
}

void PeerControl::sendStatus(const AgentTurn &turn)
{
    const PeerMessage::BackendStatus status{this->state.status(), this->state.running(),
                                            this->state.limit()};
    for (auto &[link, row] : this->state.links) {
        if (!row.isAuthenticated || (row.lastStatus.has_value() && isSame(*row.lastStatus, status)))
            continue;
        // The running count changes with each start and is not urgent, as grants limit the starts.
        const bool urgent = !row.lastStatus.has_value() || row.lastStatus->state != status.state
                            || row.lastStatus->limit != status.limit;
        if (!urgent && turn.now < row.nextStatus)
            continue;
        row.lastStatus = status;
        row.nextStatus = turn.now + MinStatusInterval;
        turn.commands.emplace_back(AgentCommand::SendPeer{link, status});
    }
}

void PeerControl::authenticate(const AgentTurn &turn, AgentCommand::LinkId link,
                               const PeerMessage::Hello &hello)
{
    const auto found = this->state.links.find(link);
    if (found == this->state.links.end() || found->second.isAuthenticated)
        return;
    const AgentSettings &settings = this->state.settings;
    if (hello.deploymentKey != settings.deploymentKey) {
        this->state.log(turn, AgentLog::WrongDeploymentKey, LogRecord::Level::Warning,
                        "link " + std::to_string(link) + " has another deployment key");
        return;
    }
    found->second.isAuthenticated = true;
    found->second.process = hello.process;
    turn.commands.emplace_back(AgentCommand::SendPeer{
            link, PeerMessage::Welcome{settings.name, settings.service, settings.failureDomain,
                                       settings.incarnation, this->state.spread.version()}});
    this->state.credits.open(link);
    this->state.credits.recordActivity(turn.now, link);
    PeerOutput::List output;
    this->state.spread.openPeer(turn.now, std::to_string(link), hello.configurationVersion, output);
    this->send(turn, output);
    for (std::uint64_t fingerprint : this->state.suspects)
        turn.commands.emplace_back(
                AgentCommand::SendPeer{link, this->state.crashes.notice(turn.now, fingerprint)});
}

void PeerControl::send(const AgentTurn &turn, const PeerOutput::List &output) const
{
    for (const PeerOutput &message : output)
        turn.commands.emplace_back(
                AgentCommand::SendPeer{std::stoull(message.peer), message.message});
}

// Applies the declared limits of a new configuration.
void PeerControl::applyConfiguration(const AgentTurn &turn)
{
    const std::uint64_t version = this->state.spread.version();
    if (version != this->appliedVersion) {
        this->appliedVersion = version;
        if (const ServiceDeclaration *service = this->state.service(); service != nullptr)
            this->state.backend.warmup.configure(service->coldRequests, service->warmRequests,
                                                 std::chrono::seconds(service->coldSeconds));
        this->state.log(turn, AgentLog::ConfigurationInForce, LogRecord::Level::Info,
                        "configuration " + std::to_string(version) + " is in force");
    }
    this->backend.trackFailureDomain(turn);
}

} // namespace Nutmegrill
