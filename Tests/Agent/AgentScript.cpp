#include "AgentScript.h"

#include "Agent/ClaimRecord.h"
#include "Core/Hash.h"
#include "Messages/MessageCodec.h"

#include <memory>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace Nutmegrill {

namespace {

std::uint64_t number(const std::map<std::string, std::string> &values, const std::string &name,
                     std::uint64_t otherwise = 0)
{
    const auto found = values.find(name);
    return found == values.end() ? otherwise : std::stoull(found->second);
}

std::string text(const std::map<std::string, std::string> &values, const std::string &name,
                 const std::string &otherwise = "")
{
    const auto found = values.find(name);
    return found == values.end() ? otherwise : found->second;
}

std::string describeClaim(const std::string &record)
{
    if (record.empty())
        return "none";
    const auto decoded = decodeClaimRecord(record);
    if (!decoded.has_value())
        return "malformed";
    static constexpr const char *States[] = {"running", "completed", "unknown"};
    return std::string(States[static_cast<int>(decoded->state)]) + "(" + decoded->claimId
           + (decoded->hasBody ? ", \"" + decoded->body + "\"" : "") + ")";
}

struct Describer
{
    std::string operator()(const AgentCommand::SendPeer &command) const
    {
        return "peer " + std::to_string(command.link) + " " + describeMessage(command.message);
    }
    std::string operator()(const AgentCommand::SendWork &command) const
    {
        const std::string prefix = "work " + std::to_string(command.work) + " ";
        const auto *failure = std::get_if<WorkMessage::Failure>(&command.message);
        if (failure == nullptr)
            return prefix + describeMessage(command.message);
        return prefix + "failure " + std::string(runStateName(failure->run)) + " "
               + std::to_string(failure->status) + " " + failure->code
               + " version=" + std::to_string(failure->configurationVersion);
    }
    std::string operator()(const AgentCommand::CallBackend &command) const
    {
        return "call " + command.request.requestId;
    }
    std::string operator()(const AgentCommand::CancelBackend &command) const
    {
        return "cancel " + command.requestId;
    }
    std::string operator()(const AgentCommand::PauseBackend &command) const
    {
        return (command.paused ? "pause " : "continue ") + command.requestId;
    }
    std::string operator()(const AgentCommand::WriteClaims &command) const
    {
        std::string line = "write " + std::to_string(command.batch);
        for (const AgentCommand::ClaimWrite &write : command.writes)
            line += " " + write.key + ": " + describeClaim(write.expected) + " -> "
                    + describeClaim(write.record);
        return line;
    }
    std::string operator()(const AgentCommand::Stop &) const { return "stop"; }
    std::string operator()(const LogRecord &record) const
    {
        return "log " + std::to_string(record.number) + " " + record.text;
    }
};

AgentSettings scriptSettings(AgentMechanisms mechanisms)
{
    AgentSettings settings;
    settings.name = "a1";
    settings.service = "ledger";
    settings.failureDomain = "north";
    settings.deploymentKey = "secret";
    settings.mechanisms = mechanisms;
    return settings;
}

} // namespace

AgentScript::AgentScript(AgentMechanisms mechanisms) : node(scriptSettings(mechanisms)) {}

std::vector<std::string> AgentScript::run(const std::string &line)
{
    std::istringstream input(line);
    std::uint64_t milliseconds = 0;
    std::string verb;
    input >> milliseconds >> verb;
    std::vector<std::string> words;
    Values values;
    for (std::string word; input >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos)
            words.push_back(word);
        else
            values[word.substr(0, equals)] = word.substr(equals + 1);
    }
    const Instant now{std::chrono::milliseconds(milliseconds)};
    AgentCommand::List commands;
    if (const auto event = this->parse(verb, words, values); event.has_value())
        this->node.handle(now, *event, commands);
    this->node.tick(now, commands);
    std::vector<std::string> trace;
    for (const AgentCommand::Any &command : commands) {
        if (const auto *batch = std::get_if<AgentCommand::WriteClaims>(&command))
            this->openBatch = *batch;
        trace.push_back(describe(command));
    }
    return trace;
}

std::string AgentScript::runAll(const std::vector<std::string> &lines)
{
    std::string trace;
    for (const std::string &line : lines) {
        for (const std::string &traced : this->run(line))
            trace += traced + "\n";
    }
    return trace;
}

std::string AgentScript::describe(const AgentCommand::Any &command)
{
    return std::visit(Describer(), command);
}

ConfigurationPtr AgentScript::configuration(std::map<std::string, std::string> values)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = number(values, "version", 1);
    FailureDomainState north{"north", number(values, "out") != 0, number(values, "epoch")};
    configuration->places = {{"land", {north, {"south", false, 0}}}};
    ServiceDeclaration service;
    service.name = "ledger";
    service.failureDomains = {"north", "south"};
    service.coldRequests = static_cast<std::uint32_t>(number(values, "cold", 2));
    service.warmRequests = static_cast<std::uint32_t>(number(values, "warm", 6));
    service.kvBytes = number(values, "kv");
    service.kvBytesPerToken = number(values, "kvtoken");
    configuration->services = {service};
    return configuration;
}

std::optional<AgentEvent::Any> AgentScript::parse(const std::string &verb,
                                                  const std::vector<std::string> &words,
                                                  const Values &values)
{
    if (verb == "tick")
        return std::nullopt;
    if (verb == "store") {
        this->store.mode = words.at(0) == "up"     ? FakeStore::Mode::Up
                           : words.at(0) == "down" ? FakeStore::Mode::Down
                                                   : FakeStore::Mode::Lost;
        return std::nullopt;
    }
    if (verb == "foreign") {
        ClaimRecord record;
        record.claimId = "a2-1-1";
        record.agent = "a2";
        record.bodyHash = sha256Hex("POST /\n" + text(values, "body"));
        record.runLimit = std::chrono::milliseconds(number(values, "limit", 1000));
        this->store.records["nutmegrill/claims/ledger/shop/" + words.at(0)] =
                encodeClaimRecord(record);
        return std::nullopt;
    }
    if (verb == "answer") {
        const AgentCommand::WriteClaims batch = this->openBatch.value();
        this->openBatch.reset();
        return this->store.run(batch);
    }
    if (verb == "config")
        return AgentEvent::ConfigurationRead{configuration(values), true};
    if (verb == "work")
        return parseWork(words.at(0), values);
    static const std::string backendVerbs = " head data end refused broken up down leaving stop ";
    if (backendVerbs.find(" " + verb + " ") != std::string::npos)
        return this->parseBackend(verb, words, values);
    return this->parsePeer(verb, words, values);
}

AgentEvent::Any AgentScript::parsePeer(const std::string &verb,
                                       const std::vector<std::string> &words,
                                       const Values &values) const
{
    const std::uint64_t id = std::stoull(words.at(0));
    const auto received = [id](PeerMessage::Any message) {
        return AgentEvent::PeerReceived{id, std::move(message)};
    };
    if (verb == "link")
        return AgentEvent::LinkOpened{id};
    if (verb == "close")
        return AgentEvent::LinkClosed{id};
    if (verb == "cancelled")
        return AgentEvent::WorkCancelled{id};
    if (verb == "detached")
        return AgentEvent::WorkDetached{id};
    if (verb == "buffered")
        return AgentEvent::WorkBuffered{id, number(values, "bytes")};
    if (verb == "hello")
        return received(PeerMessage::Hello{"entry" + words[0], "south",
                                           text(values, "key", "secret"),
                                           number(values, "version")});
    if (verb == "demand")
        return received(PeerMessage::Demand{static_cast<std::uint32_t>(number(values, "queued"))});
    if (verb == "ack")
        return received(PeerMessage::Ack{text(values, "id"), number(values, "next")});
    if (verb == "offer")
        return received(PeerMessage::ConfigurationOffer{number(values, "version"), {}});
    if (verb == "takeout")
        return received(PeerMessage::PendingTakeOut{"north", number(values, "epoch"), "c"});
    if (verb == "notice")
        return received(PeerMessage::CrashNotice{
                number(values, "fp"), {text(values, "crash")}, std::chrono::seconds(60)});
    throw std::invalid_argument("unknown verb " + verb);
}

AgentEvent::Any AgentScript::parseBackend(const std::string &verb,
                                          const std::vector<std::string> &words,
                                          const Values &values) const
{
    using Kind = AgentEvent::BackendFailed::Kind;
    if (verb == "leaving")
        return AgentEvent::BackendLeaving{};
    if (verb == "stop")
        return AgentEvent::StopRequested{};
    if (verb == "down")
        return AgentEvent::BackendReport{};
    if (verb == "up")
        return AgentEvent::BackendReport{true, words.at(0), 0, 0};
    if (verb == "head")
        return AgentEvent::BackendHead{words.at(0),
                                       {static_cast<int>(number(values, "status", 200)), {}}};
    if (verb == "data") {
        std::string data = words.size() > 1 ? words[1] : "";
        if (const std::uint64_t size = number(values, "size"); size > 0)
            data.assign(size, 'x');
        return AgentEvent::BackendData{words.at(0), data,
                                       static_cast<std::uint32_t>(number(values, "tokens", 1))};
    }
    if (verb == "end")
        return AgentEvent::BackendEnd{words.at(0)};
    return AgentEvent::BackendFailed{words.at(0), verb == "refused" ? Kind::NotSent : Kind::Broken};
}

AgentEvent::Any AgentScript::parseWork(const std::string &work, const Values &values)
{
    WorkMessage::Request request;
    request.requestId = text(values, "id");
    request.account = "shop";
    request.service = text(values, "service", "ledger");
    request.method = "POST";
    request.path = "/";
    request.body = text(values, "body");
    request.idempotencyKey = text(values, "key");
    request.idempotent = request.idempotencyKey.empty() && values.count("once") == 0;
    request.promptTokens = number(values, "prompt");
    request.maxTokens = number(values, "max");
    request.firstEvent = number(values, "from");
    request.resumeOnly = values.count("resume") != 0;
    request.configurationVersion = number(values, "version", 1);
    request.fingerprint = number(values, "fp", hash64(request.requestId));
    request.remaining = std::chrono::milliseconds(number(values, "remaining", 10000));
    return AgentEvent::WorkArrived{std::stoull(work), number(values, "link", 1), request};
}

} // namespace Nutmegrill
