#include "RandomEntrySession.h"

#include "EntryDriver.h"

#include <chrono>
#include <iterator>
#include <memory>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

EntrySettings settingsWith(EntrySwitches switches)
{
    EntrySettings settings = EntryDriver::defaultSettings();
    settings.switches = switches;
    return settings;
}

} // namespace

// The number of occurrences is the relative frequency of a step.
const std::vector<RandomEntrySession::Step> RandomEntrySession::steps = {
        &RandomEntrySession::request,
        &RandomEntrySession::request,
        &RandomEntrySession::request,
        &RandomEntrySession::nextEvent,
        &RandomEntrySession::nextEvent,
        &RandomEntrySession::nextEvent,
        &RandomEntrySession::nextEvent,
        &RandomEntrySession::repeatEvent,
        &RandomEntrySession::skipEvent,
        &RandomEntrySession::end,
        &RandomEntrySession::end,
        &RandomEntrySession::fail,
        &RandomEntrySession::fail,
        &RandomEntrySession::close,
        &RandomEntrySession::close,
        &RandomEntrySession::loseLink,
        &RandomEntrySession::openLink,
        &RandomEntrySession::openLink,
        &RandomEntrySession::openLink,
        &RandomEntrySession::grant,
        &RandomEntrySession::grant,
        &RandomEntrySession::grant,
        &RandomEntrySession::changeStatus,
        &RandomEntrySession::changeConfiguration,
        &RandomEntrySession::takeOut,
        &RandomEntrySession::disconnectCaller,
        &RandomEntrySession::callerBuffered,
        &RandomEntrySession::passTime,
        &RandomEntrySession::passTime};

RandomEntrySession::RandomEntrySession(std::vector<int> choices, EntrySwitches switches)
    : choices(std::move(choices)), node(settingsWith(switches))
{
    this->agents = {{"a1", {"north", "model"}},
                    {"a2", {"south", "model"}},
                    {"b1", {"north", "ledger"}},
                    {"b2", {"south", "ledger"}}};
    this->epochs = {{"north", 1}, {"central", 1}, {"south", 1}};
}

std::string RandomEntrySession::run()
{
    this->handle(EntryEvent::ConfigurationRead{
            std::make_shared<Configuration>(EntryDriver::configuration(1)), true});
    EntryEvent::InstancesRead instances;
    for (const auto &[name, agent] : this->agents)
        instances.instances.push_back({name, InstanceRecord::Role::Agent, "address",
                                       agent.failureDomain, agent.service, false});
    this->handle(instances);
    while (this->position < this->choices.size() && this->violation.empty()) {
        const Step step = steps[this->choose(steps.size())];
        (this->*step)();
    }
    return this->violation;
}

std::size_t RandomEntrySession::choose(std::size_t bound)
{
    if (this->position >= this->choices.size())
        return 0;
    return static_cast<std::size_t>(this->choices[this->position++]) % bound;
}

RandomEntrySession::Agent &RandomEntrySession::chooseAgent()
{
    return std::next(this->agents.begin(),
                     static_cast<std::ptrdiff_t>(this->choose(this->agents.size())))
            ->second;
}

RandomEntrySession::Work *RandomEntrySession::chooseWork()
{
    if (this->works.empty())
        return nullptr;
    const auto work = std::next(this->works.begin(),
                                static_cast<std::ptrdiff_t>(this->choose(this->works.size())));
    this->chosen = work->first;
    return &work->second;
}

void RandomEntrySession::handle(const EntryEvent::Any &event)
{
    EntryCommand::List commands;
    this->node.handle(this->now, event, commands);
    this->node.tick(this->now, commands);
    for (const EntryCommand::Any &command : commands)
        std::visit([this](const auto &alternative) { this->check(alternative); }, command);
}

void RandomEntrySession::answer(const WorkMessage::Any &message)
{
    this->handle(EntryEvent::WorkReceived{this->chosen, message});
}

void RandomEntrySession::request()
{
    EntryEvent::CallerRequest event;
    event.caller = ++this->lastCaller;
    const bool model = this->choose(2) == 0;
    event.request.requestId = "r" + std::to_string(event.caller);
    event.request.service = model ? "model" : "ledger";
    event.request.account = this->choose(3) == 0 ? "small" : "large";
    event.request.idempotent = model || this->choose(3) == 0;
    event.request.stream = model;
    event.request.body = R"({"prompt":"p","max_tokens":50})";
    event.request.maxTokens = 50;
    event.timeLimit = milliseconds(1000 + 1000 * this->choose(10));
    this->callers[event.caller].idempotent = event.request.idempotent;
    this->handle(event);
}

void RandomEntrySession::nextEvent()
{
    Work *work = this->chooseWork();
    if (work == nullptr)
        return;
    work->answered = true;
    const std::uint64_t index = work->next++;
    this->answer(WorkMessage::Event{index, R"(data: {"choices":[{"text":")" + work->sentId + ":"
                                                   + std::to_string(index) + "\"}]}"});
}

void RandomEntrySession::repeatEvent()
{
    Work *work = this->chooseWork();
    if (work == nullptr || work->next == 0)
        return;
    work->next -= 1 + this->choose(work->next);
    this->nextEvent();
}

void RandomEntrySession::skipEvent()
{
    Work *work = this->chooseWork();
    if (work == nullptr)
        return;
    work->answered = true;
    work->next += 1 + this->choose(3);
}

void RandomEntrySession::end()
{
    Work *work = this->chooseWork();
    if (work == nullptr)
        return;
    const WorkMessage::End message{work->next};
    this->works.erase(this->chosen);
    this->answer(message);
}

void RandomEntrySession::fail()
{
    static constexpr RunState States[] = {RunState::NotRun, RunState::Unknown, RunState::Running,
                                          RunState::Completed};
    Work *found = this->chooseWork();
    if (found == nullptr)
        return;
    const Work work = *found;
    WorkMessage::Failure failure;
    failure.run = States[this->choose(4)];
    failure.status = this->choose(4) == 0 ? 422 : 503;
    if (work.answered && failure.run == RunState::NotRun)
        failure.run = RunState::Unknown;
    if (failure.run == RunState::NotRun && !work.query)
        --this->callers[work.caller].mayHaveRun;
    this->works.erase(this->chosen);
    this->answer(failure);
}

void RandomEntrySession::close()
{
    Work *found = this->chooseWork();
    if (found == nullptr)
        return;
    const Work work = *found;
    const bool notRun = !work.answered && this->choose(2) == 0;
    if (notRun && !work.query) {
        --this->callers[work.caller].mayHaveRun;
        --this->agents[work.agent].started;
    }
    this->works.erase(this->chosen);
    this->handle(
            EntryEvent::WorkClosed{this->chosen, notRun ? RunState::NotRun : RunState::Unknown});
}

void RandomEntrySession::loseLink()
{
    Agent &agent = this->chooseAgent();
    if (!agent.open)
        return;
    agent.open = false;
    std::string name;
    for (const auto &[key, row] : this->agents)
        name = &row == &agent ? key : name;
    EntryCommand::List commands;
    for (auto work = this->works.begin(); work != this->works.end();) {
        if (work->second.agent != name) {
            ++work;
            continue;
        }
        this->node.handle(this->now, EntryEvent::WorkClosed{work->first, RunState::Unknown},
                          commands);
        work = this->works.erase(work);
    }
    for (const EntryCommand::Any &command : commands)
        std::visit([this](const auto &alternative) { this->check(alternative); }, command);
    this->handle(EntryEvent::LinkClosed{name});
}

void RandomEntrySession::openLink()
{
    const bool refuse = this->choose(4) == 0;
    for (auto &[name, agent] : this->agents) {
        if (!agent.opening)
            continue;
        agent.opening = false;
        if (refuse) {
            this->handle(EntryEvent::LinkClosed{name});
            return;
        }
        agent.open = true;
        agent.leaving = false;
        agent.granted = 0;
        agent.started = 0;
        this->handle(EntryEvent::LinkOpened{name});
        this->handle(EntryEvent::PeerReceived{name, PeerMessage::Welcome{name, "", "", 1, 1}});
        this->handle(EntryEvent::PeerReceived{
                name, PeerMessage::BackendStatus{PeerMessage::BackendStatus::State::Warm, 0, 8}});
        return;
    }
}

void RandomEntrySession::grant()
{
    for (auto &[name, agent] : this->agents) {
        if (!agent.open)
            continue;
        agent.granted = agent.started + this->choose(3);
        const milliseconds remaining(100 + 500 * this->choose(5));
        agent.deadline = this->now + remaining;
        this->handle(
                EntryEvent::PeerReceived{name, PeerMessage::Grant{agent.granted, 0, remaining}});
    }
}

void RandomEntrySession::changeStatus()
{
    using State = PeerMessage::BackendStatus::State;
    const bool leaving = this->choose(2) == 0;
    const std::size_t wanted = this->choose(this->agents.size());
    const auto agent = std::next(this->agents.begin(), static_cast<std::ptrdiff_t>(wanted));
    if (!agent->second.open)
        return;
    agent->second.leaving = leaving;
    this->handle(EntryEvent::PeerReceived{
            agent->first,
            PeerMessage::BackendStatus{leaving ? State::Leaving : State::Warm, 0, 8}});
}

void RandomEntrySession::changeConfiguration()
{
    Configuration configuration = EntryDriver::configuration(++this->version);
    this->outDomains.clear();
    for (FailureDomainState &domain : configuration.places.front().failureDomains) {
        domain.out = this->choose(4) == 0;
        domain.epoch = ++this->epochs[domain.name];
        if (domain.out)
            this->outDomains.insert(domain.name);
    }
    this->handle(
            EntryEvent::ConfigurationRead{std::make_shared<Configuration>(configuration), true});
}

void RandomEntrySession::takeOut()
{
    const std::string domain = this->choose(2) == 0 ? "north" : "south";
    this->outDomains.insert(domain);
    this->handle(EntryEvent::TakeOutRequested{{domain, ++this->epochs[domain], "change"}});
}

void RandomEntrySession::disconnectCaller()
{
    if (this->lastCaller == 0)
        return;
    const std::uint64_t caller = 1 + this->choose(this->lastCaller);
    this->callers[caller].ended = true;
    this->handle(EntryEvent::CallerDisconnected{caller});
}

void RandomEntrySession::callerBuffered()
{
    if (this->lastCaller == 0)
        return;
    const std::uint64_t caller = 1 + this->choose(this->lastCaller);
    this->handle(EntryEvent::CallerBuffered{caller, this->choose(4) * 200000});
}

void RandomEntrySession::passTime()
{
    static constexpr milliseconds Spans[] = {milliseconds(10), milliseconds(50), milliseconds(300),
                                             milliseconds(1200), milliseconds(4000)};
    this->now += Spans[this->choose(5)];
    this->handle(EntryEvent::StoreUnreachable{});
}

void RandomEntrySession::require(bool holds, const std::string &violation)
{
    if (!holds && this->violation.empty())
        this->violation = violation;
}

void RandomEntrySession::check(const EntryCommand::StartWork &command)
{
    const std::string digits = command.request.requestId.substr(1);
    const std::uint64_t id = std::stoull(digits);
    this->works[command.work] = {command.agent, id, command.request.requestId,
                                 command.request.firstEvent, command.request.resumeOnly};
    this->require(this->agents[command.agent].open, "start without a link");
    if (!command.request.resumeOnly)
        this->checkStart(command, this->callers[id]);
}

void RandomEntrySession::checkStart(const EntryCommand::StartWork &command, Caller &caller)
{
    Agent &agent = this->agents[command.agent];
    this->require(caller.idempotent || caller.mayHaveRun == 0, "call started again");
    this->require(this->outDomains.count(agent.failureDomain) == 0,
                  "start although the failure domain is out");
    this->require(!agent.leaving, "start on a leaving agent");
    this->require(agent.started < agent.granted && this->now < agent.deadline,
                  "start without a credit");
    ++agent.started;
    ++caller.mayHaveRun;
}

RandomEntrySession::Caller &RandomEntrySession::reply(std::uint64_t caller)
{
    Caller &row = this->callers[caller];
    this->require(!row.ended, "reply after the end, caller " + std::to_string(caller));
    return row;
}

void RandomEntrySession::check(const EntryCommand::ReplyHead &command)
{
    Caller &caller = this->reply(command.caller);
    this->require(!caller.headSent, "second head");
    caller.headSent = true;
}

void RandomEntrySession::check(const EntryCommand::ReplyEvent &command)
{
    Caller &caller = this->reply(command.caller);
    this->require(caller.headSent, "event before head");
    this->require(command.index == caller.nextEvent++, "event index not in sequence");
    const std::string id = "\"r" + std::to_string(command.caller);
    this->require(command.data.find(id + ":") != std::string::npos
                          || command.data.find(id + "~") != std::string::npos,
                  "event of another request");
}

void RandomEntrySession::check(const EntryCommand::ReplyEnd &command)
{
    this->reply(command.caller).ended = true;
}

void RandomEntrySession::check(const EntryCommand::ReplyFailure &command)
{
    Caller &caller = this->reply(command.caller);
    caller.ended = true;
    this->require(command.failure.run != RunState::NotRun || caller.mayHaveRun == 0,
                  "reported as not run although it may have run");
}

void RandomEntrySession::check(const EntryCommand::OpenLink &command)
{
    this->agents[command.agent].opening = true;
}

void RandomEntrySession::check(const EntryCommand::CancelWork &command)
{
    this->works.erase(command.work);
}

} // namespace Nutmegrill
