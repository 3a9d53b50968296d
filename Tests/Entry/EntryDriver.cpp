#include "EntryDriver.h"

#include "Messages/MessageCodec.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

RunState runStateOf(const std::string &name)
{
    for (const RunState run :
         {RunState::NotRun, RunState::Running, RunState::Unknown, RunState::Completed}) {
        if (runStateName(run) == name)
            return run;
    }
    throw std::runtime_error("no run state " + name);
}

PeerMessage::BackendStatus::State stateOf(const std::string &name)
{
    using State = PeerMessage::BackendStatus::State;
    static const std::map<std::string, State> states = {{"down", State::Down},
                                                        {"cold", State::Cold},
                                                        {"warm", State::Warm},
                                                        {"leaving", State::Leaving},
                                                        {"out", State::Out}};
    return states.at(name);
}

struct Describer
{
    using Command = EntryCommand;

    std::string operator()(const Command::OpenLink &command) const
    {
        return "open-link " + command.agent + " " + command.address;
    }
    std::string operator()(const Command::CloseLink &command) const
    {
        return "close-link " + command.agent;
    }
    std::string operator()(const Command::SendPeer &command) const
    {
        return "send " + command.agent + " " + describeMessage(command.message);
    }
    std::string operator()(const Command::StartWork &command) const
    {
        const WorkMessage::Request &request = command.request;
        return "start work=" + std::to_string(command.work) + " " + command.agent + " "
               + request.requestId + " first=" + std::to_string(request.firstEvent)
               + (request.resumeOnly ? " resume-only" : "")
               + " version=" + std::to_string(request.configurationVersion)
               + " remaining=" + std::to_string(request.remaining.count()) + " " + request.body;
    }
    std::string operator()(const Command::CancelWork &command) const
    {
        return "cancel work=" + std::to_string(command.work);
    }
    std::string operator()(const Command::PauseWork &command) const
    {
        return (command.paused ? "pause work=" : "go-on work=") + std::to_string(command.work);
    }
    std::string operator()(const Command::ReplyHead &command) const
    {
        return "head caller=" + std::to_string(command.caller) + " "
               + std::to_string(command.head.status);
    }
    std::string operator()(const Command::ReplyEvent &command) const
    {
        std::string data = command.data;
        std::replace(data.begin(), data.end(), '\n', '|');
        return "event caller=" + std::to_string(command.caller) + " "
               + std::to_string(command.index) + " " + (command.agent.empty() ? "-" : command.agent)
               + " " + data;
    }
    std::string operator()(const Command::ReplyEnd &command) const
    {
        return "end caller=" + std::to_string(command.caller);
    }
    std::string operator()(const Command::ReplyFailure &command) const
    {
        const WorkMessage::Failure &failure = command.failure;
        return "failure caller=" + std::to_string(command.caller) + " "
               + std::to_string(failure.status) + " " + failure.code + " "
               + std::string(runStateName(failure.run))
               + " retry-after=" + std::to_string(failure.retryAfter.count());
    }
    std::string operator()(const Command::ReadStore &command) const
    {
        return command.watch ? "read-store watch" : "read-store";
    }
    std::string operator()(const Command::StoreTakeOut &command) const
    {
        return "store-take-out " + command.takeOut.failureDomain + " "
               + std::to_string(command.takeOut.epoch);
    }
    std::string operator()(const Command::Stop &) const { return "stop"; }
    std::string operator()(const LogRecord &command) const
    {
        return "log " + std::to_string(command.number) + " " + command.text;
    }
};

} // namespace

/// Words and named values of one line.
class EntryDriver::Line
{
public:
    explicit Line(const std::string &text)
    {
        std::istringstream words(text);
        std::int64_t milliseconds = 0;
        words >> milliseconds >> this->verb;
        this->time = Instant(std::chrono::milliseconds(milliseconds));
        for (std::string word; words >> word;) {
            const std::size_t equals = word.find('=');
            if (equals == std::string::npos)
                this->words.push_back(word);
            else
                this->values[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }

    std::string word(std::size_t index) const { return this->words.at(index); }
    std::uint64_t number(std::size_t index) const { return std::stoull(this->words.at(index)); }
    std::string value(const std::string &name, const std::string &otherwise = {}) const
    {
        const auto found = this->values.find(name);
        return found == this->values.end() ? otherwise : found->second;
    }
    std::uint64_t count(const std::string &name, std::uint64_t otherwise = 0) const
    {
        return std::stoull(this->value(name, std::to_string(otherwise)));
    }

    Instant time;
    std::string verb;
    std::vector<std::string> words;

private:
    std::map<std::string, std::string> values;
};

const std::map<std::string, EntryDriver::Verb> EntryDriver::verbs = {
        {"tick", &EntryDriver::tick},
        {"config", &EntryDriver::config},
        {"store-down", &EntryDriver::storeDown},
        {"instances", &EntryDriver::instances},
        {"up", &EntryDriver::up},
        {"open", &EntryDriver::open},
        {"down", &EntryDriver::down},
        {"grant", &EntryDriver::grant},
        {"status", &EntryDriver::status},
        {"offer", &EntryDriver::offer},
        {"crash", &EntryDriver::crash},
        {"take-out", &EntryDriver::takeOut},
        {"request", &EntryDriver::request},
        {"head", &EntryDriver::head},
        {"event", &EntryDriver::event},
        {"end", &EntryDriver::end},
        {"failure", &EntryDriver::failure},
        {"closed", &EntryDriver::closed},
        {"lost", &EntryDriver::lost},
        {"buffered", &EntryDriver::buffered},
        {"gone", &EntryDriver::gone},
        {"stop", &EntryDriver::stop},
        {"entries", &EntryDriver::entries}};

EntryDriver::EntryDriver(EntrySettings settings) : node(std::move(settings)) {}

EntrySettings EntryDriver::defaultSettings()
{
    EntrySettings settings;
    settings.name = "e1";
    settings.failureDomain = "north";
    settings.deploymentKey = "key";
    settings.routePolicy = EntrySettings::RoutePolicy::RoundRobin;
    return settings;
}

Configuration EntryDriver::configuration(std::uint64_t version)
{
    Configuration configuration;
    configuration.version = version;
    configuration.places = {
            {"qld", {{"north", false, 1}, {"central", false, 1}, {"south", false, 1}}}};
    ServiceDeclaration model;
    model.name = "model";
    model.kind = ServiceDeclaration::Kind::Model;
    model.model = "writer";
    model.kvBytesPerToken = 10;
    ServiceDeclaration ledger;
    ledger.name = "ledger";
    configuration.services = {model, ledger};
    ClientAccount large;
    large.name = "large";
    ClientAccount small;
    small.name = "small";
    configuration.clientAccounts = {large, small};
    return configuration;
}

std::vector<std::string> EntryDriver::run(const std::string &text)
{
    Line line(text);
    const auto verb = verbs.find(line.verb);
    if (verb == verbs.end())
        throw std::runtime_error("no verb " + line.verb);
    this->now = line.time;
    this->commands.clear();
    this->extraTrace.clear();
    (this->*verb->second)(line);
    this->node.tick(this->now, this->commands);
    std::vector<std::string> trace = this->extraTrace;
    for (const EntryCommand::Any &command : this->commands)
        trace.push_back(describe(command));
    return trace;
}

std::vector<std::string> EntryDriver::runAll(const std::vector<std::string> &lines)
{
    std::vector<std::string> trace;
    for (const std::string &line : lines) {
        const std::vector<std::string> part = this->run(line);
        trace.insert(trace.end(), part.begin(), part.end());
    }
    return trace;
}

std::string EntryDriver::describe(const EntryCommand::Any &command)
{
    return std::visit(Describer{}, command);
}

int countLines(const std::vector<std::string> &lines, const std::string &text)
{
    return static_cast<int>(std::count_if(lines.begin(), lines.end(), [&](const auto &line) {
        return line.find(text) != std::string::npos;
    }));
}

void EntryDriver::handle(const EntryEvent::Any &event)
{
    this->node.handle(this->now, event, this->commands);
}

void EntryDriver::send(const std::string &agent, const PeerMessage::Any &message)
{
    this->handle(EntryEvent::PeerReceived{agent, message});
}

void EntryDriver::answer(Line &line, const WorkMessage::Any &message)
{
    this->handle(EntryEvent::WorkReceived{line.number(0), message});
}

// tick: advances the time without an event.
void EntryDriver::tick(Line &) {}

// config VERSION [out=DOMAIN | domain=DOMAIN] [epoch=N] [peer]: a configuration read from the store
// or, with "peer", from another source. out= takes the failure domain out, domain= brings it back.
void EntryDriver::config(Line &line)
{
    Configuration configuration = EntryDriver::configuration(line.number(0));
    for (FailureDomainState &domain : configuration.places.front().failureDomains) {
        if (domain.name == line.value("domain", line.value("out"))) {
            domain.out = !line.value("out").empty();
            domain.epoch = line.count("epoch", 1);
        }
    }
    this->handle(EntryEvent::ConfigurationRead{
            std::make_shared<Configuration>(std::move(configuration)), line.words.size() == 1});
}

void EntryDriver::storeDown(Line &)
{
    this->handle(EntryEvent::StoreUnreachable{});
}

// instances NAME:DOMAIN[:SERVICE][:leaving]...: an instance without a service is an entry.
void EntryDriver::instances(Line &line)
{
    EntryEvent::InstancesRead event;
    for (const std::string &word : line.words) {
        std::istringstream fields(word);
        InstanceRecord record;
        std::getline(fields, record.name, ':');
        std::getline(fields, record.failureDomain, ':');
        for (std::string field; std::getline(fields, field, ':');) {
            if (field == "leaving")
                record.leaving = true;
            else
                record.service = field;
        }
        record.role =
                record.service.empty() ? InstanceRecord::Role::Entry : InstanceRecord::Role::Agent;
        record.address = "addr-" + record.name;
        event.instances.push_back(record);
    }
    this->handle(event);
}

// up AGENT [credits=N] [limit=N] [version=N]: opens the link, then Welcome, status "warm" and a
// grant for one minute.
void EntryDriver::up(Line &line)
{
    this->open(line);
    this->send(line.word(0), PeerMessage::Welcome{line.word(0), "", "", 1, line.count("version")});
    this->send(line.word(0),
               PeerMessage::BackendStatus{PeerMessage::BackendStatus::State::Warm, 0,
                                          static_cast<std::uint32_t>(line.count("limit", 4))});
    this->send(line.word(0), PeerMessage::Grant{line.count("credits", 4), 0, milliseconds(60000)});
}

void EntryDriver::open(Line &line)
{
    this->handle(EntryEvent::LinkOpened{line.word(0)});
}

void EntryDriver::down(Line &line)
{
    this->handle(EntryEvent::LinkClosed{line.word(0)});
}

// grant AGENT UPTO [ms=N] [kv=N]
void EntryDriver::grant(Line &line)
{
    this->send(line.word(0), PeerMessage::Grant{line.number(1), line.count("kv"),
                                                milliseconds(line.count("ms", 2000))});
}

// status AGENT STATE [running=N] [limit=N]
void EntryDriver::status(Line &line)
{
    this->send(line.word(0),
               PeerMessage::BackendStatus{stateOf(line.word(1)),
                                          static_cast<std::uint32_t>(line.count("running")),
                                          static_cast<std::uint32_t>(line.count("limit", 4))});
}

// offer AGENT VERSION
void EntryDriver::offer(Line &line)
{
    this->send(line.word(0), PeerMessage::ConfigurationOffer{line.number(1), {}});
}

// crash AGENT FINGERPRINT CRASH...
void EntryDriver::crash(Line &line)
{
    this->send(line.word(0), PeerMessage::CrashNotice{line.number(1),
                                                      {line.words.begin() + 2, line.words.end()},
                                                      milliseconds(600000)});
}

// take-out DOMAIN EPOCH
void EntryDriver::takeOut(Line &line)
{
    this->handle(EntryEvent::TakeOutRequested{{line.word(0), line.number(1), "change"}});
}

// request CALLER SERVICE ACCOUNT [once] [id=ID] [tokens=N] [limit=MS] [fp=N] [body=TEXT]
//     [resume=AGENT first=N]: "once" makes the request non-idempotent.
void EntryDriver::request(Line &line)
{
    EntryEvent::CallerRequest event;
    event.caller = line.number(0);
    event.request.service = line.word(1);
    event.request.account = line.word(2);
    event.request.idempotent = line.words.size() < 4;
    event.request.idempotencyKey = event.request.idempotent ? "" : "k" + line.word(0);
    event.request.requestId = line.value("id", "r" + line.word(0));
    event.request.stream = event.request.service == "model";
    event.request.body = line.value("body", R"({"prompt":"Say:","max_tokens":100})");
    event.request.promptTokens = 10;
    event.request.maxTokens = line.count("tokens", 100);
    event.request.fingerprint = line.count("fp");
    event.request.firstEvent = line.count("first");
    event.resumeAgent = line.value("resume");
    event.timeLimit = milliseconds(line.count("limit", 30000));
    this->handle(event);
}

void EntryDriver::head(Line &line)
{
    this->answer(line, WorkMessage::Head{});
}

// event WORK INDEX TEXT: a server-sent event with the text; the text "done" sends "[DONE]".
void EntryDriver::event(Line &line)
{
    const std::string text = line.word(2);
    const std::string data = text == "done" ? "data: [DONE]\n\n"
                                            : R"(data: {"choices":[{"text":")" + text + "\"}]}\n\n";
    this->answer(line, WorkMessage::Event{line.number(1), data});
}

// end WORK EVENTS
void EntryDriver::end(Line &line)
{
    this->answer(line, WorkMessage::End{line.number(1)});
}

// failure WORK RUN STATUS [version=N]
void EntryDriver::failure(Line &line)
{
    WorkMessage::Failure failure;
    failure.run = runStateOf(line.word(1));
    failure.status = static_cast<int>(line.number(2));
    failure.code = "from_agent";
    failure.configurationVersion = line.count("version");
    this->answer(line, failure);
}

// closed WORK RUN
void EntryDriver::closed(Line &line)
{
    this->handle(EntryEvent::WorkClosed{line.number(0), runStateOf(line.word(1))});
}

// lost AGENT WORK...: the link breaks and closes the works.
void EntryDriver::lost(Line &line)
{
    for (std::size_t index = 1; index < line.words.size(); ++index)
        this->handle(EntryEvent::WorkClosed{line.number(index), RunState::Unknown});
    this->handle(EntryEvent::LinkClosed{line.word(0)});
}

void EntryDriver::buffered(Line &line)
{
    this->handle(EntryEvent::CallerBuffered{line.number(0), line.number(1)});
}

void EntryDriver::gone(Line &line)
{
    this->handle(EntryEvent::CallerDisconnected{line.number(0)});
}

void EntryDriver::stop(Line &)
{
    this->handle(EntryEvent::StopRequested{});
}

// entries: adds the readiness and the entry addresses for a caller to the trace.
void EntryDriver::entries(Line &)
{
    std::string line = this->node.isReady() ? "ready:" : "not ready:";
    for (const EntryNode::Address &address : this->node.entriesFor("caller"))
        line += " " + address.address;
    this->extraTrace.push_back(line);
}

} // namespace Nutmegrill
