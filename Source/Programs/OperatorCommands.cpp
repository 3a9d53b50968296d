#include "Programs/OperatorCommands.h"

#include "Config/ConfigurationDiff.h"
#include "Config/DeclarationChecker.h"
#include "Config/Declarations.h"
#include "Net/HttpClient.h"
#include "Net/StoreClient.h"
#include "Programs/CheckCommand.h"
#include "Programs/ConfigurationReader.h"
#include "Programs/DeclarationFormat.h"
#include "Programs/OperatorError.h"
#include "Programs/PublishRunner.h"
#include "Programs/RequestExplanation.h"
#include "Programs/RequestTimeline.h"
#include "Programs/Settings.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace leaf = boost::leaf;

namespace {

using Kind = OperatorError::Kind;

constexpr std::chrono::milliseconds StoreCallTimeout(2000);
constexpr std::chrono::seconds CommandTimeout(20);
constexpr std::chrono::seconds ControlTimeout(3);

leaf::error_id fail(Kind kind, std::string message)
{
    return leaf::new_error(OperatorError{kind, std::move(message)});
}

Kind kindOf(PublishError error)
{
    return error == PublishError::StoreUnreachable ? Kind::StoreUnreachable : Kind::Refused;
}

// The dump of an entry or agent contains its name; the key depends on the kind of process.
std::string processName(const nlohmann::json &state)
{
    return state.value("entry", state.value("agent", ""));
}

} // namespace

const std::vector<OperatorCommands::Subcommand> &OperatorCommands::subcommands()
{
    static const std::vector<Subcommand> rows = {
            {"check", "FILE...",
             "check a configuration and show what it takes away; nothing is published",
             &OperatorCommands::check},
            {"diff", "FILE...", "show what apply would change", &OperatorCommands::diff},
            {"apply", "FILE...", "check and publish a set of declarations",
             &OperatorCommands::apply},
            {"take-out", "FAILURE-DOMAIN", "stop sending new work to a failure domain",
             &OperatorCommands::takeOut},
            {"bring-back", "FAILURE-DOMAIN", "resume sending work to a failure domain",
             &OperatorCommands::bringBack},
            {"status", "",
             "show the published configuration and the version in force in each process",
             &OperatorCommands::status},
            {"watch", "", "print each new configuration until interrupted",
             &OperatorCommands::watch},
            {"dump", "", "print the state of every process given by --processes",
             &OperatorCommands::dump},
            {"explain", "REQUEST",
             "show what the processes, or the logs given by --logs, know about a request",
             &OperatorCommands::explain}};
    return rows;
}

std::string OperatorCommands::help()
{
    std::string text = "Commands:\n";
    for (const Subcommand &subcommand : subcommands())
        text += "  " + std::string(subcommand.name) + " " + subcommand.arguments + "\n      "
                + subcommand.help + "\n";
    return text;
}

OperatorCommands::OperatorCommands(EventLoop &loop, const Settings &settings)
    : loop(loop), settings(settings)
{}

OperatorCommands::Result OperatorCommands::run()
{
    if (this->settings.positionalArguments().empty())
        return fail(Kind::Usage, "no command given; --help lists the commands");
    const std::string &name = this->settings.positionalArguments().front();
    const auto subcommand =
            std::find_if(subcommands().begin(), subcommands().end(),
                         [&name](const Subcommand &row) { return row.name == name; });
    if (subcommand == subcommands().end())
        return fail(Kind::Usage, "unknown command '" + name + "'; --help lists the commands");
    return (this->*subcommand->handler)();
}

leaf::result<Configuration> OperatorCommands::loadDeclarations() const
{
    const auto &words = this->settings.positionalArguments();
    if (words.size() < 2)
        return fail(Kind::Usage, "no declaration files given");
    Declarations declarations;
    for (std::size_t index = 1; index < words.size(); ++index)
        declarations.addFile(words[index]);
    const DeclarationChecker::Result result = DeclarationChecker::check(declarations);
    for (const DeclarationError &error : result.errors)
        std::cerr << error.text() << "\n";
    if (!result.configuration.has_value())
        return fail(Kind::Declarations,
                    std::to_string(result.errors.size()) + " errors; nothing was published");
    return *result.configuration;
}

leaf::result<ConfigurationPtr> OperatorCommands::readStoredConfiguration()
{
    return DeclarationFormat().readStored(this->loop, this->settings.text("store"));
}

OperatorCommands::Result OperatorCommands::check()
{
    return CheckCommand(this->loop, this->settings).run();
}

OperatorCommands::Result OperatorCommands::diff()
{
    BOOST_LEAF_AUTO(declared, this->loadDeclarations());
    BOOST_LEAF_AUTO(stored, this->readStoredConfiguration());
    const ConfigurationChange change{{}, {}, ConfigurationChange::Apply{declared, std::nullopt}};
    const auto outcome = change.applyTo(*stored);
    const auto lines = diffConfigurations(*stored, outcome.configuration);
    for (const std::string &line : lines)
        std::cout << line << "\n";
    if (lines.empty())
        std::cout << "no changes\n";
    return {};
}

OperatorCommands::Result OperatorCommands::apply()
{
    BOOST_LEAF_AUTO(declared, this->loadDeclarations());
    BOOST_LEAF_AUTO(stored, this->readStoredConfiguration());
    return this->publish(ConfigurationChange::Apply{declared, stored->version});
}

OperatorCommands::Result OperatorCommands::publish(const ConfigurationChange::Action &action)
{
    StoreClient store(this->loop, this->settings.text("store"), StoreCallTimeout);
    std::optional<PublishCommand::Any> outcome;
    PublishRunner::start(
            this->loop, store,
            ConfigurationChange{this->newChangeId(), this->settings.text("author"), action},
            [&outcome](const PublishCommand::Any &result) { outcome = result; });
    this->loop.runUntil([&outcome] { return outcome.has_value(); }, CommandTimeout);
    if (!outcome.has_value())
        return fail(Kind::OutcomeUnknown,
                    "the store did not answer in time; check the result with status");
    if (const auto *conflict = std::get_if<PublishCommand::Conflict>(&*outcome))
        return fail(Kind::Conflict,
                    "version " + std::to_string(conflict->version) + " by " + conflict->author
                            + " (change " + conflict->changeId
                            + ") was published first; review it with diff and apply again");
    if (const auto *failed = std::get_if<PublishCommand::Failed>(&*outcome))
        return fail(kindOf(failed->error), failed->text);
    if (const auto *unknown = std::get_if<PublishCommand::OutcomeUnknown>(&*outcome))
        return fail(Kind::OutcomeUnknown, unknown->text + " (change " + unknown->changeId + ")");
    const auto &done = std::get<PublishCommand::Done>(*outcome);
    std::cout << (done.changed ? "published" : "already in force:") << " version " << done.version
              << "\n";
    return {};
}

leaf::result<std::string> OperatorCommands::failureDomainArgument() const
{
    if (this->settings.positionalArguments().size() != 2)
        return fail(Kind::Usage, "give exactly one failure domain");
    return this->settings.positionalArguments()[1];
}

OperatorCommands::Result OperatorCommands::takeOut()
{
    BOOST_LEAF_AUTO(failureDomain, this->failureDomainArgument());
    if (this->settings.text("pending") == "yes")
        return this->takeOutPending(failureDomain);
    return this->publish(ConfigurationChange::TakeOut{failureDomain});
}

OperatorCommands::Result OperatorCommands::takeOutPending(const std::string &failureDomain)
{
    const nlohmann::json body = {{"failureDomain", failureDomain},
                                 {"changeId", this->newChangeId()}};
    for (const std::string &address : this->settings.list("processes")) {
        if (!this->fetchControl(address, "POST", "/take-out", body.dump()).empty()) {
            std::cout << failureDomain
                      << " is out; the change is pending until the store can be reached\n";
            return {};
        }
    }
    return fail(Kind::NoAnswer, "no entry given by --processes accepted the take-out");
}

OperatorCommands::Result OperatorCommands::bringBack()
{
    BOOST_LEAF_AUTO(failureDomain, this->failureDomainArgument());
    ConfigurationChange::BringBack action{failureDomain, 0};
    for (const std::string &address : this->settings.list("processes")) {
        const auto state = nlohmann::json::parse(this->fetchControl(address, "GET", "/dump", {}),
                                                 nullptr, false);
        if (!state.is_object())
            continue;
        for (const auto &pending : state.value("pending_take_outs", nlohmann::json::array())) {
            if (pending.value("failure_domain", "") == failureDomain)
                action.pendingEpoch =
                        std::max(action.pendingEpoch, pending.value("epoch", std::uint64_t(0)));
        }
    }
    return this->publish(action);
}

OperatorCommands::Result OperatorCommands::status()
{
    BOOST_LEAF_AUTO(stored, this->readStoredConfiguration());
    std::cout << "published version " << stored->version << " by " << stored->author << " (change "
              << stored->changeId << ")\n";
    for (const Place &place : stored->places) {
        for (const FailureDomainState &domain : place.failureDomains)
            std::cout << "  " << domain.name << ": " << (domain.out ? "out" : "in") << "\n";
    }
    for (const std::string &address : this->settings.list("processes")) {
        const auto state = nlohmann::json::parse(this->fetchControl(address, "GET", "/dump", {}),
                                                 nullptr, false);
        std::cout << address << ": ";
        if (state.is_object())
            std::cout << processName(state) << " version "
                      << state.value("configuration_version", std::uint64_t(0)) << "\n";
        else
            std::cout << "no answer\n";
    }
    return {};
}

OperatorCommands::Result OperatorCommands::watch()
{
    StoreClient store(this->loop, this->settings.text("store"), StoreCallTimeout);
    ConfigurationReader reader(this->loop, store);
    std::function<void()> begin = [&] {
        reader.watch([&](const ConfigurationPtr &configuration) {
            if (configuration == nullptr) {
                std::cout << "the store cannot be watched; retrying" << std::endl;
                this->loop.after(std::chrono::seconds(1), begin);
                return;
            }
            std::cout << "version " << configuration->version << " by " << configuration->author
                      << " (change " << configuration->changeId << ")" << std::endl;
        });
    };
    begin();
    this->loop.run();
    return {};
}

OperatorCommands::Result OperatorCommands::dump()
{
    for (const std::string &address : this->settings.list("processes")) {
        const std::string state = this->fetchControl(address, "GET", "/dump", {});
        if (state.empty())
            return fail(Kind::NoAnswer, address + " did not answer");
        std::cout << state << "\n";
    }
    return {};
}

OperatorCommands::Result OperatorCommands::explain()
{
    if (this->settings.positionalArguments().size() != 2)
        return fail(Kind::Usage, "give exactly one request id");
    const std::string &id = this->settings.positionalArguments()[1];
    bool found = false;
    RequestTimeline timeline(id);
    for (const std::string &path : this->settings.list("logs")) {
        std::ifstream log(path);
        if (!log.is_open())
            return fail(Kind::Usage, "log '" + path + "' cannot be read");
        timeline.read(log);
    }
    for (const std::string &line : timeline.lines()) {
        found = true;
        std::cout << line << "\n";
    }
    for (const std::string &address : this->settings.list("processes")) {
        for (const std::string &line :
             RequestExplanation::describe(this->fetchControl(address, "GET", "/dump", {}), id)) {
            found = true;
            std::cout << line << "\n";
        }
    }
    if (!found)
        return fail(Kind::NoAnswer,
                    "no process given by --processes, and no log given by --logs, knows request "
                            + id);
    return {};
}

std::string OperatorCommands::fetchControl(const std::string &address, const std::string &method,
                                           const std::string &path, const std::string &body)
{
    HttpClient client(this->loop);
    HttpClient::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.idleTimeout = ControlTimeout;
    request.headers = {{"Authorization", "Bearer " + this->settings.text("deployment-key")}};
    std::optional<std::string> answer;
    client.fetch(address, request, [&answer](int status, std::string text) {
        answer = status == 200 ? std::move(text) : std::string();
    });
    this->loop.runUntil([&answer] { return answer.has_value(); }, ControlTimeout * 2);
    return answer.value_or("");
}

std::string OperatorCommands::newChangeId() const
{
    std::random_device device;
    return this->settings.text("author") + "-" + std::to_string(device())
           + std::to_string(device());
}

} // namespace Nutmegrill
