#include "StandIns/StandIn.h"
#include "Net/EventLoop.h"

#include <cctype>
#include <functional>
#include <iostream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

namespace po = boost::program_options;

// Converts a flag to its JSON member name: "slow-ms" becomes "slowMs".
std::string memberName(const std::string &flag)
{
    std::string name;
    bool upper = false;
    for (const char letter : flag) {
        if (letter != '-')
            name += upper ? static_cast<char>(std::toupper(letter)) : letter;
        upper = letter == '-';
    }
    return name;
}

} // namespace

struct StandIn::Flags
{
    po::options_description known;
};

StandIn::StandIn(EventLoop &loop, std::string name)
    : loop(loop), down(this->textSettings["down"]), slowMs(this->numberSettings["slowMs"]),
      programName(std::move(name)), flags(std::make_unique<Flags>())
{
    this->flags->known.add_options()("listen", po::value(&this->address)->required(), "IP:port");
    this->textSetting("down", "", "outage: 'close' or 'silent'");
    this->numberSetting("slow-ms", 0, "delay of each answer");
}

StandIn::~StandIn() = default;

std::int64_t &StandIn::numberSetting(const std::string &flag, std::int64_t initial,
                                     const char *description)
{
    std::int64_t &value = this->numberSettings[memberName(flag)];
    value = initial;
    this->flags->known.add_options()(flag.c_str(), po::value(&value)->default_value(initial),
                                     description);
    return value;
}

std::string &StandIn::textSetting(const std::string &flag, const std::string &initial,
                                  const char *description)
{
    std::string &value = this->textSettings[memberName(flag)];
    value = initial;
    this->flags->known.add_options()(flag.c_str(), po::value(&value)->default_value(initial),
                                     description);
    return value;
}

bool StandIn::start(const std::vector<std::string> &arguments)
{
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(this->flags->known).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << this->programName << ": " << error.what() << "\n" << this->flags->known;
        return false;
    }
    this->server = std::make_unique<HttpServer>(
            this->loop, this->address, HttpServer::Limits{},
            [this](const HttpServer::Request &request) { this->receive(request); });
    if (!this->server->isListening()) {
        std::cerr << this->programName << ": cannot listen on " << this->address << "\n";
        return false;
    }
    this->server->onCallerDisconnected([this](RequestId request) {
        this->unanswered.erase(request);
        this->callerDisconnected(request);
    });
    this->started();
    return true;
}

void StandIn::receive(const HttpServer::Request &request)
{
    this->handleErrors(request.id, [this, &request] {
        const Json body = request.body.empty() ? Json() : Json::parse(request.body);
        if (request.path == "/faults") {
            this->changeFaults(request.id, body);
        } else if (request.path == "/counters") {
            this->reply(request.id, 200, this->counters());
        } else if (request.path == "/v1/entries") {
            // load-caller can send requests straight to a stand-in, as a baseline without an entry.
            this->reply(request.id, 200, {{"entries", {{{"address", this->address}}}}});
        } else if (this->down == "close") {
            this->server->abort(request.id);
        } else if (this->down == "silent") {
            this->unanswered.insert(request.id);
        } else if (this->slowMs > 0) {
            this->loop.after(std::chrono::milliseconds(this->slowMs), [this, request, body] {
                this->handleErrors(request.id, [&] { this->serve(request, body); });
            });
        } else {
            this->serve(request, body);
        }
    });
}

void StandIn::changeFaults(RequestId request, const Json &body)
{
    for (const auto &[key, value] : body.items()) {
        if (const auto found = this->numberSettings.find(key);
            found != this->numberSettings.end()) {
            found->second = value.is_boolean() ? static_cast<std::int64_t>(value.get<bool>())
                                               : value.get<std::int64_t>();
        } else if (this->textSettings.count(key) != 0) {
            if (value.is_boolean())
                this->textSettings[key] = value.get<bool>() ? "close" : "";
            else
                this->textSettings[key] = value.get<std::string>();
        } else {
            throw StandInError(400, "no such setting: " + key);
        }
    }
    // Requests received during a silent outage are aborted when it ends, never answered.
    if (this->down != "silent") {
        for (const RequestId held : std::exchange(this->unanswered, {}))
            this->server->abort(held);
    }
    this->faultsChanged(body);
    this->reply(request, 200, Json::object());
}

void StandIn::reply(RequestId request, int status, const Json &body)
{
    this->server->reply(request, status, {{"Content-Type", "application/json"}}, body.dump());
}

void StandIn::handleErrors(RequestId request, const std::function<void()> &action)
{
    try {
        action();
    } catch (const StandInError &error) {
        this->reply(request, error.status, {{"error", error.what()}, {"message", error.what()}});
    } catch (const Json::exception &error) {
        this->reply(request, 400, {{"error", error.what()}, {"message", error.what()}});
    }
}

} // namespace Nutmegrill
