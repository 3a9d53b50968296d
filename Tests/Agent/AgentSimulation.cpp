#include "AgentSimulation.h"

#include "AgentScript.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

AgentSimulation::AgentSimulation(AgentMechanisms mechanisms)
{
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
        AgentSettings settings;
        settings.name = "a" + std::to_string(agent + 1);
        settings.service = "ledger";
        settings.failureDomain = "north";
        settings.mechanisms = mechanisms;
        this->agents[agent].node = std::make_unique<AgentNode>(settings);
        this->handle(agent, AgentEvent::ConfigurationRead{AgentScript::configuration({}), true});
        this->handle(agent, AgentEvent::BackendReport{true, "b1", 0, 0});
        this->openLink(agent, ++this->lastLink);
        this->openLink(agent, ++this->lastLink);
    }
}

void AgentSimulation::step(std::uint32_t choice)
{
    static constexpr std::array<Action, 20> Actions = {&AgentSimulation::startIdempotent,
                                                       &AgentSimulation::startIdempotent,
                                                       &AgentSimulation::startNonIdempotent,
                                                       &AgentSimulation::startNonIdempotent,
                                                       &AgentSimulation::startNonIdempotent,
                                                       &AgentSimulation::repeatRequest,
                                                       &AgentSimulation::repeatRequest,
                                                       &AgentSimulation::receiveData,
                                                       &AgentSimulation::receiveData,
                                                       &AgentSimulation::receiveData,
                                                       &AgentSimulation::endCall,
                                                       &AgentSimulation::endCall,
                                                       &AgentSimulation::failCall,
                                                       &AgentSimulation::answerClaims,
                                                       &AgentSimulation::answerClaims,
                                                       &AgentSimulation::switchStore,
                                                       &AgentSimulation::demand,
                                                       &AgentSimulation::report,
                                                       &AgentSimulation::abandonWork,
                                                       &AgentSimulation::acknowledge};
    static constexpr std::array<std::chrono::milliseconds, 8> Pauses = {
            std::chrono::milliseconds(0),  std::chrono::milliseconds(0),
            std::chrono::milliseconds(1),  std::chrono::milliseconds(10),
            std::chrono::milliseconds(50), std::chrono::milliseconds(300),
            std::chrono::milliseconds(50), std::chrono::milliseconds(1100)};
    const std::size_t agent = choice % 2;
    const std::uint32_t value = choice / 512;
    this->now += Pauses[choice / 2 % Pauses.size()];
    // After a longer pause, a successful probe marks the backend servers as reachable.
    if (choice / 2 % Pauses.size() >= 4) {
        this->report(0, 2);
        this->report(1, 2);
    }
    // Rare actions take two of 61 values; all others select a common action.
    if (value % 61 == 0)
        this->replaceLink(agent, value / 61);
    else if (value % 61 == 1)
        this->changeDomainState(agent, value / 61);
    else
        (this->*Actions[choice / 16 % Actions.size()])(agent, value);
    this->tick(0);
    this->tick(1);
}

void AgentSimulation::finish()
{
    this->store.mode = FakeStore::Mode::Up;
    for (int round = 0; round < 200; ++round) {
        this->now += std::chrono::milliseconds(500);
        for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
            this->answerClaims(agent, 0);
            while (!this->agents[agent].running.empty())
                this->endCall(agent, 0);
            this->tick(agent);
        }
    }
    for (const auto &[id, work] : this->works)
        this->expect(work.mayLackEnd || work.ends == 1, "work without an end: " + work.requestId);
}

void AgentSimulation::handle(std::size_t agent, const AgentEvent::Any &event)
{
    AgentCommand::List commands;
    this->agents[agent].node->handle(this->now, event, commands);
    this->observe(agent, commands);
}

void AgentSimulation::tick(std::size_t agent)
{
    AgentCommand::List commands;
    this->agents[agent].node->tick(this->now, commands);
    this->observe(agent, commands);
    this->checkCredits(agent);
}

void AgentSimulation::observe(std::size_t agent, const AgentCommand::List &commands)
{
    for (const AgentCommand::Any &command : commands) {
        if (const auto *work = std::get_if<AgentCommand::SendWork>(&command))
            this->observeWork(agent, *work);
        else if (const auto *call = std::get_if<AgentCommand::CallBackend>(&command))
            this->observeCall(agent, call->request);
        else if (const auto *cancel = std::get_if<AgentCommand::CancelBackend>(&command))
            this->agents[agent].running.erase(cancel->requestId);
        else if (const auto *batch = std::get_if<AgentCommand::WriteClaims>(&command))
            this->agents[agent].batch = *batch;
        else if (const auto *peer = std::get_if<AgentCommand::SendPeer>(&command)) {
            const auto *grant = std::get_if<PeerMessage::Grant>(&peer->message);
            if (grant == nullptr)
                continue;
            Link &link = this->agents[agent].links[peer->link];
            link.startsUpTo = grant->startsUpTo;
            link.deadline = this->now + grant->remaining;
            this->agents[agent].granted = true;
        }
    }
}

void AgentSimulation::observeWork(std::size_t agent, const AgentCommand::SendWork &command)
{
    Work &work = this->works[command.work];
    this->expect(work.ends == 0, "message after the end of " + work.requestId);
    if (const auto *event = std::get_if<WorkMessage::Event>(&command.message)) {
        this->expect(event->index == work.nextEvent, "gap in the events of " + work.requestId);
        ++work.nextEvent;
    } else if (const auto *end = std::get_if<WorkMessage::End>(&command.message)) {
        ++work.ends;
        this->expect(end->events == work.nextEvent, "events missing at the end");
    } else if (const auto *failure = std::get_if<WorkMessage::Failure>(&command.message)) {
        ++work.ends;
        const bool called = this->agents[agent].called.count(work.requestId) != 0;
        this->expect(failure->run != RunState::NotRun || !called,
                     "reported as not run after its call: " + work.requestId);
    }
}

void AgentSimulation::observeCall(std::size_t agent, const WorkMessage::Request &request)
{
    Agent &row = this->agents[agent];
    ++this->callCount;
    row.called.insert(request.requestId);
    row.running[request.requestId] = false;
    this->expect(row.running.size() <= this->limit(agent), "started beyond the limit");
    if (!request.idempotencyKey.empty())
        this->expect(++this->callsOfKey[request.idempotencyKey] <= 1,
                     "second call for key " + request.idempotencyKey);
}

void AgentSimulation::checkCredits(std::size_t agent)
{
    Agent &row = this->agents[agent];
    if (!std::exchange(row.granted, false))
        return;
    std::uint64_t credits = 0;
    for (const auto &[id, link] : row.links) {
        if (this->now < link.deadline && link.startsUpTo > link.starts)
            credits += link.startsUpTo - link.starts;
    }
    this->expect(credits == 0 || row.running.size() + credits <= this->limit(agent),
                 "credits beyond the limit");
}

std::uint32_t AgentSimulation::limit(std::size_t agent) const
{
    return nlohmann::json::parse(this->agents[agent].node->dump(this->now))["limit"]
            .get<std::uint32_t>();
}

void AgentSimulation::expect(bool holds, const std::string &what)
{
    if (!holds && this->firstViolation.empty())
        this->firstViolation = what;
}

void AgentSimulation::openLink(std::size_t agent, AgentCommand::LinkId link)
{
    this->agents[agent].links[link] = Link{};
    this->handle(agent, AgentEvent::LinkOpened{link});
    this->handle(agent, AgentEvent::PeerReceived{
                                link, PeerMessage::Hello{"e", "south", "", this->version}});
}

void AgentSimulation::sendWork(std::size_t agent, std::uint32_t value, WorkMessage::Request request)
{
    auto link = this->agents[agent].links.begin();
    std::advance(link, value % this->agents[agent].links.size());
    if (request.firstEvent == 0 && !request.resumeOnly)
        ++link->second.starts;
    const AgentCommand::WorkId work = ++this->lastWork;
    this->works[work] = {agent, link->first, request.requestId, request.firstEvent, false, 0};
    this->handle(agent, AgentEvent::WorkArrived{work, link->first, std::move(request)});
}

void AgentSimulation::startIdempotent(std::size_t agent, std::uint32_t value)
{
    WorkMessage::Request request;
    request.requestId = "r" + std::to_string(this->sent.size());
    request.service = "ledger";
    request.remaining = std::chrono::seconds(5);
    request.fingerprint = 1000 + value % 97;
    this->sent.push_back(request);
    this->sendWork(agent, value, request);
}

void AgentSimulation::startNonIdempotent(std::size_t agent, std::uint32_t value)
{
    WorkMessage::Request request;
    request.requestId = "r" + std::to_string(this->sent.size());
    request.service = "ledger";
    request.idempotent = false;
    request.idempotencyKey = "k" + std::to_string(this->sent.size() / 10 * 3 + value % 3);
    request.body = value % 11 == 0 ? "other" : "book";
    request.remaining = std::chrono::seconds(5);
    request.fingerprint = 2000 + this->sent.size();
    this->sent.push_back(request);
    this->sendWork(agent, value, request);
}

// Repeats or resumes an earlier request at the same or the other agent, as an entry does.
void AgentSimulation::repeatRequest(std::size_t agent, std::uint32_t value)
{
    if (this->sent.empty())
        return;
    WorkMessage::Request request = this->sent[value % this->sent.size()];
    // An idempotent request is repeated under the same id only if it was not run.
    const bool known = this->agents[agent].called.count(request.requestId) != 0;
    if (request.idempotent && known)
        request.resumeOnly = true;
    // The same id may run again after a refused connection, so the request is not repeated.
    if (this->notSent.count(request.requestId) != 0)
        return;
    std::uint64_t seen = 0;
    for (auto &[id, work] : this->works) {
        if (work.requestId != request.requestId || work.agent != agent)
            continue;
        seen = std::max(seen, work.nextEvent);
    }
    request.firstEvent = request.resumeOnly ? value % (seen + 1) : 0;
    this->sendWork(agent, value, request);
}

const std::string *AgentSimulation::pickRunning(std::size_t agent, std::uint32_t value) const
{
    const auto &running = this->agents[agent].running;
    if (running.empty())
        return nullptr;
    return &std::next(running.begin(), value % static_cast<std::uint32_t>(running.size()))->first;
}

void AgentSimulation::receiveData(std::size_t agent, std::uint32_t value)
{
    const std::string *id = this->pickRunning(agent, value);
    if (id == nullptr)
        return;
    const std::string requestId = *id;
    if (!std::exchange(this->agents[agent].running[requestId], true))
        this->handle(agent, AgentEvent::BackendHead{requestId, {}});
    const std::size_t size = value % 7 == 0 ? 70000 : 5;
    this->handle(agent, AgentEvent::BackendData{requestId, std::string(size, 'x'), value % 2});
}

void AgentSimulation::endCall(std::size_t agent, std::uint32_t value)
{
    const std::string *id = this->pickRunning(agent, value);
    if (id == nullptr)
        return;
    const std::string requestId = *id;
    this->agents[agent].running.erase(requestId);
    this->handle(agent, AgentEvent::BackendEnd{requestId});
}

void AgentSimulation::failCall(std::size_t agent, std::uint32_t value)
{
    using Kind = AgentEvent::BackendFailed::Kind;
    const std::string *id = this->pickRunning(agent, value);
    if (id == nullptr)
        return;
    const std::string requestId = *id;
    const bool refused = value % 2 == 0 && !this->agents[agent].running[requestId];
    this->agents[agent].running.erase(requestId);
    if (refused) {
        this->agents[agent].called.erase(requestId);
        this->notSent.insert(requestId);
        for (const WorkMessage::Request &request : this->sent) {
            if (request.requestId == requestId && !request.idempotencyKey.empty())
                --this->callsOfKey[request.idempotencyKey];
        }
    }
    this->handle(agent,
                 AgentEvent::BackendFailed{requestId, refused ? Kind::NotSent : Kind::Broken});
}

void AgentSimulation::answerClaims(std::size_t agent, std::uint32_t)
{
    if (!this->agents[agent].batch.has_value())
        return;
    const AgentCommand::WriteClaims batch = *std::exchange(this->agents[agent].batch, std::nullopt);
    this->handle(agent, this->store.run(batch));
}

void AgentSimulation::switchStore(std::size_t, std::uint32_t value)
{
    static constexpr std::array Modes = {FakeStore::Mode::Up, FakeStore::Mode::Up,
                                         FakeStore::Mode::Down, FakeStore::Mode::Lost};
    this->store.mode = Modes[value % Modes.size()];
}

void AgentSimulation::demand(std::size_t agent, std::uint32_t value)
{
    auto link = this->agents[agent].links.begin();
    std::advance(link, value % this->agents[agent].links.size());
    this->handle(agent, AgentEvent::PeerReceived{link->first, PeerMessage::Demand{value / 2 % 9}});
}

void AgentSimulation::report(std::size_t agent, std::uint32_t value)
{
    Agent &row = this->agents[agent];
    if (value % 8 == 0)
        ++row.incarnation;
    this->handle(agent, AgentEvent::BackendReport{value % 8 != 1,
                                                  "b" + std::to_string(row.incarnation), 0, 0});
}

void AgentSimulation::abandonWork(std::size_t agent, std::uint32_t value)
{
    const auto found = this->works.find(1 + value % (this->lastWork + 1));
    if (found == this->works.end() || found->second.agent != agent || found->second.ends > 0)
        return;
    found->second.mayLackEnd = true;
    if (value % 2 == 0) {
        this->handle(agent, AgentEvent::WorkDetached{found->first});
        return;
    }
    this->handle(agent, AgentEvent::WorkCancelled{found->first});
}

void AgentSimulation::acknowledge(std::size_t agent, std::uint32_t value)
{
    const auto found = this->works.find(1 + value % (this->lastWork + 1));
    if (found == this->works.end() || found->second.agent != agent)
        return;
    const Work &work = found->second;
    this->handle(agent, AgentEvent::PeerReceived{work.link,
                                                 PeerMessage::Ack{work.requestId, work.nextEvent}});
}

void AgentSimulation::replaceLink(std::size_t agent, std::uint32_t value)
{
    auto link = this->agents[agent].links.begin();
    std::advance(link, value % this->agents[agent].links.size());
    const AgentCommand::LinkId closed = link->first;
    for (auto &[id, work] : this->works) {
        if (work.link == closed)
            work.mayLackEnd = true;
    }
    this->agents[agent].links.erase(link);
    this->handle(agent, AgentEvent::LinkClosed{closed});
    this->openLink(agent, ++this->lastLink);
}

void AgentSimulation::changeDomainState(std::size_t agent, std::uint32_t value)
{
    ++this->version;
    this->handle(agent,
                 AgentEvent::ConfigurationRead{
                         AgentScript::configuration({{"version", std::to_string(this->version)},
                                                     {"out", value % 4 == 0 ? "1" : "0"},
                                                     {"epoch", std::to_string(this->version)}}),
                         true});
}

} // namespace Nutmegrill
