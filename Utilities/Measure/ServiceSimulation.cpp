#include "Measure/ServiceSimulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds ClientLatency(1000);
constexpr microseconds LocalLatency(200);
constexpr milliseconds StoreLatency(5);
constexpr milliseconds RecordDuration(20);
constexpr milliseconds TickPeriod(50);
constexpr milliseconds HealthProbePeriod(200);
constexpr milliseconds RequestTimeLimit(2000);
constexpr std::size_t Accounts = 10;
// HTTP/2 flow-control window of one stream, as in PeerSession.
constexpr std::uint64_t StreamWindowBytes = 64U << 10U;
constexpr std::uint64_t SlowReaderEventBytes = 4096;
constexpr std::uint32_t SlowReaderEvents = 250;
constexpr std::uint32_t WorkIdBits = 40;

std::string domainOf(const Scenario &scenario, std::size_t index)
{
    return scenario.domains[index % scenario.domains.size()];
}

} // namespace

ServiceSimulation::ServiceSimulation(Scenario scenario)
    : scenario(std::move(scenario)), end(this->scenario.duration), random(this->scenario.seed),
      // Three large client accounts and seven small ones.
      accountShares{0.25 * this->scenario.firstAccountFactor, 0.2, 0.15}
{
    this->accountShares.resize(Accounts, 0.4 / (Accounts - 3));
    this->build();
}

void ServiceSimulation::at(Instant instant, Action action)
{
    this->events.push({instant, ++this->lastSequence, std::move(action)});
}

void ServiceSimulation::after(Instant::duration delay, Action action)
{
    this->at(this->now + delay, std::move(action));
}

void ServiceSimulation::every(Instant::duration period, const Action &action)
{
    this->after(period, [this, period, action] {
        action();
        this->every(period, action);
    });
}

void ServiceSimulation::build()
{
    this->configuration = std::make_shared<Configuration>();
    this->configuration->version = 1;
    Place place;
    place.name = "region";
    for (const std::string &domain : this->scenario.domains)
        place.failureDomains.push_back({domain, false, 1});
    this->configuration->places = {place};
    ServiceDeclaration model;
    model.name = "model";
    model.kind = ServiceDeclaration::Kind::Model;
    model.model = "model";
    model.warmRequests = FakeEngine::WarmBatchCapacity;
    model.coldRequests = this->scenario.coldBatchCapacity;
    model.kvBytes = FakeEngine::KvMemoryTokens;
    model.kvBytesPerToken = 1;
    ServiceDeclaration ledger;
    ledger.name = "ledger";
    this->configuration->services = {model, ledger};
    for (std::size_t index = 0; index < Accounts; ++index) {
        ClientAccount account;
        account.name = "account" + std::to_string(index);
        account.weight = index < 3 ? 4 : 1;
        this->configuration->clientAccounts.push_back(account);
    }

    this->agents.resize(this->scenario.modelServers + this->scenario.plainServers);
    this->entries.resize(this->scenario.entries);
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        EntrySettings settings;
        settings.name = "e" + std::to_string(index);
        settings.failureDomain = domainOf(this->scenario, index);
        settings.seed = this->scenario.seed + index;
        settings.routePolicy = this->scenario.policy;
        settings.switches.credits = this->scenario.credits;
        // Off for the baselines, where overload crashes would quarantine harmless requests.
        settings.switches.quarantine = this->scenario.credits;
        settings.switches.backpressure = this->scenario.backpressure;
        settings.switches.fairShares = this->scenario.fairShares;
        this->instances.push_back({settings.name, InstanceRecord::Role::Entry, settings.name,
                                   settings.failureDomain, "", false});
        this->entries[index].domain = settings.failureDomain;
        this->entries[index].node = std::make_unique<EntryNode>(settings);
    }
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        Agent &agent = this->agents[index];
        agent.isModel = index < this->scenario.modelServers;
        agent.name = "a" + std::to_string(index);
        agent.domain = domainOf(this->scenario, index);
        AgentSettings settings;
        settings.name = agent.name;
        settings.service = agent.isModel ? "model" : "ledger";
        settings.failureDomain = agent.domain;
        settings.mechanisms.arrivalCheck = this->scenario.credits;
        settings.mechanisms.warmup = this->scenario.credits;
        settings.mechanisms.crashIsolation = this->scenario.credits;
        settings.mechanisms.pauses = this->scenario.backpressure;
        agent.node = std::make_unique<AgentNode>(settings);
        agent.engine.stepBase = this->scenario.stepBase;
        agent.engine.stepPerSequence = this->scenario.stepPerSequence;
        agent.engine.coldBatchCapacity = this->scenario.coldBatchCapacity;
        if (!this->scenario.startCold)
            agent.engine.skipColdStart();
        this->instances.push_back({agent.name, InstanceRecord::Role::Agent, agent.name,
                                   agent.domain, settings.service, false});
    }
}

void ServiceSimulation::run()
{
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        this->at(Instant(milliseconds(3 * index)), [this, index] {
            this->probe(index);
            this->every(TickPeriod, [this, index] { this->tickAgent(index); });
            this->every(HealthProbePeriod, [this, index] { this->probe(index); });
        });
    }
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        this->at(Instant(milliseconds(7 * index)), [this, index] {
            this->sendToEntry(index, EntryEvent::InstancesRead{this->instances});
            this->every(TickPeriod, [this, index] { this->tickEntry(index); });
        });
    }
    this->after(std::chrono::seconds(1), [this] {
        this->scheduleRequests(this->scenario.requestsPerSecond, false);
        this->scheduleRequests(this->scenario.recordsPerSecond, true);
    });
    constexpr std::chrono::seconds SlowReadersStart(5);
    constexpr std::chrono::seconds SlowReadersStartSpan(30);
    for (std::uint32_t index = 0; index < this->scenario.slowReaders; ++index)
        this->at(Instant(SlowReadersStart)
                         + microseconds(SlowReadersStartSpan) * index / this->scenario.slowReaders,
                 [this] { this->sendRequest(false, true); });
    if (this->scenario.takeOut.count() > 0) {
        this->at(Instant(this->scenario.takeOut), [this] { this->setDomainOut(true); });
        this->at(Instant(this->scenario.bringBack), [this] { this->setDomainOut(false); });
    }
    this->every(milliseconds(1000), [this] {
        this->sampleMemory();
        this->sampleDomainShare();
    });
    while (!this->events.empty() && this->events.top().time <= this->end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.time;
        event.run();
    }
    for (const Agent &agent : this->agents) {
        this->engineCrashes += agent.engine.crashes;
        this->maxColdLoad = std::max(this->maxColdLoad, agent.engine.maxColdLoad);
    }
}

Instant::duration ServiceSimulation::delay(std::size_t entry, std::size_t agent) const
{
    return this->entries[entry].domain == this->agents[agent].domain ? LocalLatency
                                                                     : this->scenario.latency;
}

std::size_t ServiceSimulation::agentIndex(const std::string &name) const
{
    return std::stoul(name.substr(1));
}

void ServiceSimulation::sendToEntry(std::size_t entry, const EntryEvent::Any &event)
{
    EntryCommand::List commands;
    this->entries[entry].node->handle(this->now, event, commands);
    this->executeEntryCommands(entry, commands);
    if (std::exchange(this->entries[entry].tickScheduled, true))
        return;
    this->after({}, [this, entry] {
        this->entries[entry].tickScheduled = false;
        this->tickEntry(entry);
    });
}

void ServiceSimulation::tickEntry(std::size_t entry)
{
    EntryCommand::List commands;
    this->entries[entry].node->tick(this->now, commands);
    this->executeEntryCommands(entry, commands);
}

void ServiceSimulation::executeEntryCommands(std::size_t entry, const EntryCommand::List &commands)
{
    for (const EntryCommand::Any &command : commands)
        std::visit([this, entry](const auto &body) { this->on(entry, body); }, command);
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::OpenLink &command)
{
    const std::size_t agent = this->agentIndex(command.agent);
    this->after(this->delay(entry, agent), [this, entry, agent] {
        this->sendToAgent(agent, AgentEvent::LinkOpened{entry + 1});
    });
    this->after(2 * this->delay(entry, agent), [this, entry, name = command.agent] {
        this->sendToEntry(entry, EntryEvent::LinkOpened{name});
    });
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::SendPeer &command)
{
    const std::size_t agent = this->agentIndex(command.agent);
    this->after(this->delay(entry, agent), [this, entry, agent, message = command.message] {
        this->sendToAgent(agent, AgentEvent::PeerReceived{entry + 1, message});
    });
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::StartWork &command)
{
    const std::size_t agent = this->agentIndex(command.agent);
    const std::uint64_t work = ((entry + 1) << WorkIdBits) + command.work;
    const std::uint64_t number = std::stoull(command.request.requestId.substr(1));
    Call &call = this->calls[number];
    if (call.attempts++ == 0)
        call.dispatched = this->now;
    this->works[work] = {entry, agent, command.work, number, false, {}, 0};
    this->after(this->delay(entry, agent), [this, entry, agent, work, request = command.request] {
        this->sendToAgent(agent, AgentEvent::WorkArrived{work, entry + 1, request});
    });
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::CancelWork &command)
{
    const std::uint64_t work = ((entry + 1) << WorkIdBits) + command.work;
    const auto found = this->works.find(work);
    if (found == this->works.end())
        return;
    const std::size_t agent = found->second.agent;
    this->works.erase(found);
    this->after(this->delay(entry, agent),
                [this, agent, work] { this->sendToAgent(agent, AgentEvent::WorkCancelled{work}); });
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::PauseWork &command)
{
    const std::uint64_t work = ((entry + 1) << WorkIdBits) + command.work;
    const auto found = this->works.find(work);
    if (found == this->works.end())
        return;
    found->second.paused = command.paused;
    if (!command.paused)
        this->after(this->delay(entry, found->second.agent), [this, work] { this->deliver(work); });
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::ReplyEvent &command)
{
    Call &call = this->calls[command.caller];
    const std::string expected = "\"t" + std::to_string(call.events) + " ";
    call.wrong = call.wrong || command.index != call.events
                 || (!call.record && command.data.find(expected) == std::string::npos);
    ++call.events;
    const Instant arrival = this->now + ClientLatency;
    if (call.firstArrival == Instant())
        call.firstArrival = arrival;
    else if (!call.slowReader && !call.record)
        this->tokenGaps.push_back(
                std::chrono::duration<double, std::milli>(arrival - call.lastArrival).count());
    call.lastArrival = arrival;
    if (!call.slowReader)
        return;
    call.unreadBytes += command.data.size();
    this->after({}, [this, entry, caller = command.caller] {
        this->sendToEntry(entry,
                          EntryEvent::CallerBuffered{caller, this->calls[caller].unreadBytes});
    });
}

void ServiceSimulation::on(std::size_t, const EntryCommand::ReplyEnd &command)
{
    Call &call = this->calls[command.caller];
    call.ended = true;
    call.wrong = call.wrong || (!call.record && call.events != call.maxTokens);
}

void ServiceSimulation::on(std::size_t, const EntryCommand::ReplyFailure &command)
{
    Call &call = this->calls[command.caller];
    call.failure = command.failure.code;
    call.run = command.failure.run;
    call.lastArrival = this->now;
    call.unreadBytes = 0;
}

void ServiceSimulation::on(std::size_t entry, const EntryCommand::ReadStore &)
{
    this->after(StoreLatency, [this, entry] {
        this->sendToEntry(entry, EntryEvent::ConfigurationRead{this->configuration, true});
    });
}

void ServiceSimulation::sendToAgent(std::size_t agent, const AgentEvent::Any &event)
{
    AgentCommand::List commands;
    this->agents[agent].node->handle(this->now, event, commands);
    this->executeAgentCommands(agent, commands);
    if (std::exchange(this->agents[agent].tickScheduled, true))
        return;
    this->after({}, [this, agent] {
        this->agents[agent].tickScheduled = false;
        this->tickAgent(agent);
    });
}

void ServiceSimulation::tickAgent(std::size_t agent)
{
    AgentCommand::List commands;
    this->agents[agent].node->tick(this->now, commands);
    this->executeAgentCommands(agent, commands);
}

void ServiceSimulation::executeAgentCommands(std::size_t agent, const AgentCommand::List &commands)
{
    for (const AgentCommand::Any &command : commands)
        std::visit([this, agent](const auto &body) { this->onAgent(agent, body); }, command);
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::SendPeer &command)
{
    const std::size_t entry = command.link - 1;
    this->after(this->delay(entry, agent), [this, entry, agent, message = command.message] {
        this->sendToEntry(entry, EntryEvent::PeerReceived{this->agents[agent].name, message});
    });
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::SendWork &command)
{
    const auto found = this->works.find(command.work);
    if (found == this->works.end())
        return;
    Work &work = found->second;
    if (const auto *event = std::get_if<WorkMessage::Event>(&command.message))
        work.bufferedBytes += event->data.size();
    work.buffered.push_back(command.message);
    this->after(this->delay(work.entry, agent), [this, id = command.work] { this->deliver(id); });
    if (work.paused)
        this->after({}, [this, id = command.work] { this->reportBuffered(id); });
}

void ServiceSimulation::deliver(std::uint64_t id)
{
    const auto found = this->works.find(id);
    if (found == this->works.end() || found->second.paused || found->second.buffered.empty())
        return;
    Work &work = found->second;
    const WorkMessage::Any message = std::move(work.buffered.front());
    work.buffered.pop_front();
    if (const auto *event = std::get_if<WorkMessage::Event>(&message))
        work.bufferedBytes -= event->data.size();
    const bool ends = std::holds_alternative<WorkMessage::End>(message)
                      || std::holds_alternative<WorkMessage::Failure>(message);
    const std::size_t entry = work.entry;
    const EntryEvent::WorkId entryWork = work.id;
    const bool slow = this->calls[work.call].slowReader;
    const bool more = !work.buffered.empty();
    if (ends)
        this->works.erase(found);
    this->sendToEntry(entry, EntryEvent::WorkReceived{entryWork, message});
    if (!slow || ends)
        return;
    this->reportBuffered(id);
    if (more)
        this->after({}, [this, id] { this->deliver(id); });
}

void ServiceSimulation::reportBuffered(std::uint64_t id)
{
    const auto found = this->works.find(id);
    if (found == this->works.end())
        return;
    const std::uint64_t bytes = found->second.bufferedBytes;
    this->sendToAgent(found->second.agent,
                      AgentEvent::WorkBuffered{id, bytes - std::min(bytes, StreamWindowBytes)});
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::CallBackend &command)
{
    Call &call = this->calls[std::stoull(command.request.requestId.substr(1))];
    if (call.engineStart == Instant())
        call.engineStart = this->now;
    if (this->domainOut && this->agents[agent].domain == this->scenario.domains.front())
        this->lastWorkInDomain = this->now;
    if (!this->agents[agent].isModel) {
        this->executeRecord(agent, command.request);
        return;
    }
    if (!this->agents[agent].engine.isUp(this->now)) {
        this->after({}, [this, agent, id = command.request.requestId] {
            this->sendToAgent(
                    agent, AgentEvent::BackendFailed{id, AgentEvent::BackendFailed::Kind::NotSent});
        });
        return;
    }
    this->agents[agent].engine.start(command.request);
    this->step(agent);
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::CancelBackend &command)
{
    this->agents[agent].engine.cancel(command.requestId);
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::PauseBackend &command)
{
    this->agents[agent].engine.pause(command.requestId, command.paused);
}

void ServiceSimulation::onAgent(std::size_t agent, const AgentCommand::WriteClaims &command)
{
    const AgentEvent::ClaimsAnswered answer = this->store.run(command);
    this->after(StoreLatency, [this, agent, answer] { this->sendToAgent(agent, answer); });
}

void ServiceSimulation::step(std::size_t agent)
{
    Agent &row = this->agents[agent];
    if (row.stepping || row.engine.isIdle())
        return;
    row.stepping = true;
    this->after(row.engine.beginStep(this->now), [this, agent] {
        this->agents[agent].stepping = false;
        for (const AgentEvent::Any &event : this->agents[agent].engine.endStep(this->now))
            this->sendToAgent(agent, event);
        this->step(agent);
    });
}

void ServiceSimulation::executeRecord(std::size_t agent, const WorkMessage::Request &request)
{
    if (!this->recordsRun.insert(request.idempotencyKey).second)
        ++this->duplicateRecords;
    this->after(RecordDuration, [this, agent, id = request.requestId] {
        this->sendToAgent(agent, AgentEvent::BackendHead{id, {200, {}}});
        this->sendToAgent(agent, AgentEvent::BackendData{id, "booked", 0});
        this->sendToAgent(agent, AgentEvent::BackendEnd{id});
    });
}

void ServiceSimulation::probe(std::size_t agent)
{
    FakeEngine &engine = this->agents[agent].engine;
    this->sendToAgent(agent, AgentEvent::BackendReport{engine.isUp(this->now), engine.incarnation(),
                                                       engine.running(), 0});
}

std::size_t ServiceSimulation::pickAccount()
{
    double sum = 0;
    for (const double share : this->accountShares)
        sum += share;
    double point = this->random.unit() * sum;
    for (std::size_t index = 0; index + 1 < Accounts; ++index) {
        point -= this->accountShares[index];
        if (point < 0)
            return index;
    }
    return Accounts - 1;
}

void ServiceSimulation::scheduleRequests(double perSecond, bool record)
{
    const double wait = -std::log(1 - this->random.unit()) / perSecond;
    this->after(microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, perSecond, record] {
        // Answers that start near the end of the run could not complete.
        if (this->now > this->end - std::chrono::seconds(5))
            return;
        this->sendRequest(record, false);
        this->scheduleRequests(perSecond, record);
    });
}

void ServiceSimulation::sendRequest(bool record, bool slow)
{
    Call call;
    const std::size_t account = slow ? this->calls.size() % Accounts : this->pickAccount();
    call.account = "account" + std::to_string(account);
    call.record = record;
    call.slowReader = slow;
    call.maxTokens =
            slow ? SlowReaderEvents
                 : static_cast<std::uint32_t>(this->scenario.minTokens
                                              + this->random.below(this->scenario.maxTokens
                                                                   - this->scenario.minTokens + 1));
    call.sent = this->now;
    EntryEvent::CallerRequest event;
    event.caller = this->calls.size();
    event.timeLimit = RequestTimeLimit;
    event.request.requestId =
            "r" + std::to_string(event.caller) + "-" + std::to_string(call.maxTokens);
    event.request.account = call.account;
    event.request.service = record ? "ledger" : "model";
    event.request.path = slow ? std::to_string(SlowReaderEventBytes) : "1";
    event.request.stream = !record;
    event.request.idempotent = !record;
    event.request.idempotencyKey = record ? event.request.requestId : "";
    event.request.promptTokens = 100 + this->random.below(600);
    event.request.maxTokens = call.maxTokens;
    event.request.body = R"({"prompt":"system prompt of )" + call.account + std::string(256, '.')
                         + event.request.requestId + R"("})";
    event.request.fingerprint = event.caller + 1;
    this->calls.push_back(call);
    // Callers cache the list of entries, so they also send requests to entries of a failure domain
    // that is out.
    const std::size_t entry = this->random.below(this->entries.size());
    this->calls.back().entry = entry;
    this->after(ClientLatency, [this, entry, event] { this->sendToEntry(entry, event); });
}

void ServiceSimulation::setDomainOut(bool out)
{
    this->domainOut = out;
    auto next = std::make_shared<Configuration>(*this->configuration);
    ++next->version;
    FailureDomainState &domain = next->places.front().failureDomains.front();
    domain.out = out;
    ++domain.epoch;
    this->configuration = next;
    // With two relays per failure domain, every entry watches the store itself.
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->after(StoreLatency, [this, entry, next] {
            this->sendToEntry(entry, EntryEvent::ConfigurationRead{next, true});
        });
    if (out)
        return;
    for (Agent &agent : this->agents) {
        if (agent.domain == domain.name)
            agent.engine.beginColdStart(this->now);
    }
}

void ServiceSimulation::sampleMemory()
{
    if (this->scenario.slowReaders == 0)
        return;
    std::map<std::uint64_t, std::uint64_t> bytesByReader;
    const std::size_t firstAgent = this->entries.size();
    std::vector<std::uint64_t> bytesByProcess(firstAgent + this->agents.size());
    for (const auto &[id, work] : this->works) {
        if (!this->calls[work.call].slowReader)
            continue;
        const std::uint64_t received = std::min(work.bufferedBytes, StreamWindowBytes);
        bytesByProcess[work.entry] += received;
        bytesByProcess[firstAgent + work.agent] += work.bufferedBytes - received;
        bytesByReader[work.call] += work.bufferedBytes;
    }
    for (std::size_t caller = 0; caller < this->calls.size(); ++caller) {
        if (this->calls[caller].unreadBytes == 0)
            continue;
        // Every second slow reader reads one byte per second, the others none.
        if (caller % 2 == 0)
            this->sendToEntry(
                    this->calls[caller].entry,
                    EntryEvent::CallerBuffered{caller, --this->calls[caller].unreadBytes});
        bytesByProcess[this->calls[caller].entry] += this->calls[caller].unreadBytes;
        bytesByReader[caller] += this->calls[caller].unreadBytes;
    }
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
        const auto dump = nlohmann::json::parse(this->agents[agent].node->dump(this->now));
        for (const auto &request : dump.at("requests")) {
            const std::uint64_t caller =
                    std::stoull(request.at("request_id").get<std::string>().substr(1));
            if (!this->calls[caller].slowReader)
                continue;
            bytesByProcess[firstAgent + agent] += request.at("tail_bytes").get<std::uint64_t>();
            bytesByReader[caller] += request.at("tail_bytes").get<std::uint64_t>();
        }
    }
    std::uint64_t total = 0;
    for (const std::uint64_t bytes : bytesByProcess) {
        this->maxProcessBytes = std::max(this->maxProcessBytes, bytes);
        total += bytes;
    }
    this->maxTotalBytes = std::max(this->maxTotalBytes, total);
    for (const auto &[caller, bytes] : bytesByReader)
        this->maxReaderBytes = std::max(this->maxReaderBytes, bytes);
}

void ServiceSimulation::sampleDomainShare()
{
    std::uint64_t all = 0;
    std::uint64_t inDomain = 0;
    for (const Agent &agent : this->agents) {
        all += agent.engine.tokens;
        if (agent.domain == this->scenario.domains.front())
            inDomain += agent.engine.tokens;
    }
    const std::uint64_t newTokens = all - std::exchange(this->tokensBefore, all);
    const std::uint64_t newInDomain = inDomain - std::exchange(this->domainTokensBefore, inDomain);
    const bool broughtBack =
            this->scenario.bringBack.count() > 0 && this->now > Instant(this->scenario.bringBack);
    const double share = static_cast<double>(newInDomain * this->scenario.domains.size());
    if (broughtBack && this->fullShareTime == Instant()
        && share >= 0.9 * static_cast<double>(newTokens))
        this->fullShareTime = this->now;
}

} // namespace Nutmegrill
