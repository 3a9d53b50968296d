#include "RelayNodeHarness.h"

#include "Core/Hash.h"
#include "RouteFixture.h"

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

ConfigurationPtr configuration()
{
    auto made = std::make_shared<Configuration>();
    made->version = 1;
    made->routes = {makeRoute("/stream/", Route::Kind::Stream, "model"),
                    makeRoute("/record/", Route::Kind::NonIdempotent, "plain"),
                    makeRoute("/lookup/", Route::Kind::Idempotent, "plain")};
    ServiceDeclaration model;
    model.name = "model";
    model.coldRequestsPerSecond = 26;
    model.experts.count = 72;
    ServiceDeclaration plain;
    plain.name = "plain";
    made->services = {model, plain};
    for (const std::string name : {"1", "2"}) {
        ClientAccount account;
        account.name = "account-" + name;
        account.keyHash = sha256Hex("key-" + name);
        made->clientAccounts.push_back(account);
    }
    return made;
}

RelayNode::Settings settings()
{
    RelayNode::Settings made;
    made.retryLimit = {0.2, 88};
    return made;
}

} // namespace

BackendRecord RelayNodeHarness::record(const std::string &id, const std::string &service)
{
    BackendRecord record;
    record.id = id;
    record.service = service;
    record.address = "10.0.0.1:" + std::to_string(1000 + hash64(id) % 60000);
    record.failureDomain = "north";
    record.slots = service == "model" ? 12 : 6;
    return record;
}

RelayNodeHarness::RelayNodeHarness(std::uint32_t modelServers, std::uint32_t plainServers)
    : node(settings())
{
    this->node.configure(configuration(), this->commands);
    // Skips the first second, in which an entry uses a smaller share of the cold rate.
    this->node.tick(this->now, this->commands);
    this->now += std::chrono::seconds(2);
    for (std::uint32_t number = 0; number < modelServers; ++number)
        this->node.roster().update(this->now, record("m" + std::to_string(number), "model"));
    for (std::uint32_t number = 0; number < plainServers; ++number)
        this->node.roster().update(this->now, record("p" + std::to_string(number), "plain"));
}

RelayCommand::CallerId RelayNodeHarness::arrive(const std::string &path, const std::string &key,
                                                std::optional<std::uint64_t> lastEvent)
{
    RelayRequest request;
    request.id = "request-" + std::to_string(++this->lastCaller);
    request.host = "host.example";
    request.path = path;
    request.key = key;
    request.timeLeft = path.find("/stream/") == 0 ? milliseconds(8000) : milliseconds(1500);
    request.lastEvent = lastEvent;
    request.contentHash = path.find("/record/") == 0 ? hash64(path + key) : 0;
    this->node.requestArrived(this->now, this->lastCaller, request, this->commands);
    return this->lastCaller;
}

const RelayCommand::StartAttempt *RelayNodeHarness::attemptOf(RelayCommand::CallerId caller) const
{
    const RelayCommand::StartAttempt *found = nullptr;
    for (const auto &command : this->commands) {
        if (const auto *start = std::get_if<RelayCommand::StartAttempt>(&command);
            start != nullptr && start->caller == caller)
            found = start;
    }
    return found;
}

std::size_t RelayNodeHarness::attemptsOf(RelayCommand::CallerId caller) const
{
    std::size_t number = 0;
    for (const auto &command : this->commands) {
        const auto *start = std::get_if<RelayCommand::StartAttempt>(&command);
        number += start != nullptr && start->caller == caller ? 1 : 0;
    }
    return number;
}

const RelayCommand::Refuse *RelayNodeHarness::refusalOf(RelayCommand::CallerId caller) const
{
    for (const auto &command : this->commands) {
        if (const auto *refusal = std::get_if<RelayCommand::Refuse>(&command);
            refusal != nullptr && refusal->caller == caller)
            return refusal;
    }
    return nullptr;
}

void RelayNodeHarness::head(RelayCommand::CallerId caller, int status, bool notRun)
{
    AnswerHead answer;
    answer.status = status;
    answer.notRun = notRun;
    this->node.headArrived(this->now, this->attemptOf(caller)->attempt, answer, this->commands);
}

void RelayNodeHarness::limitedHead(RelayCommand::CallerId caller, double requestsPerSecond)
{
    AnswerHead answer;
    answer.status = 200;
    answer.requestsPerSecond = requestsPerSecond;
    this->node.headArrived(this->now, this->attemptOf(caller)->attempt, answer, this->commands);
}

void RelayNodeHarness::streamHead(RelayCommand::CallerId caller)
{
    AnswerHead answer;
    answer.status = 200;
    answer.isStream = true;
    this->node.headArrived(this->now, this->attemptOf(caller)->attempt, answer, this->commands);
}

void RelayNodeHarness::event(RelayCommand::CallerId caller, std::uint64_t id)
{
    this->node.eventArrived(this->now, this->attemptOf(caller)->attempt,
                            {id, "id: " + std::to_string(id) + "\n\n"}, this->commands);
}

void RelayNodeHarness::end(RelayCommand::CallerId caller)
{
    this->node.answerEnded(this->now, this->attemptOf(caller)->attempt, this->commands);
}

void RelayNodeHarness::fail(RelayCommand::CallerId caller, AttemptFailure failure)
{
    this->node.attemptFailed(this->now, this->attemptOf(caller)->attempt, failure, this->commands);
}

void RelayNodeHarness::reject(RelayCommand::CallerId caller)
{
    this->head(caller, 503, true);
    this->end(caller);
}

void RelayNodeHarness::advance(milliseconds span)
{
    static constexpr milliseconds Tick(20);
    for (const Instant end = this->now + span; this->now < end;) {
        this->now += Tick;
        this->node.tick(this->now, this->commands);
    }
}

} // namespace Nutmegrill
