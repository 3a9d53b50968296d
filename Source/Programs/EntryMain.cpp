#include "Net/EventLog.h"
#include "Programs/EntryShell.h"
#include "Programs/Settings.h"
#include "Programs/TakeOutWriter.h"

#include <chrono>
#include <iostream>

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    Settings settings("nutmegrill-entry", "takes callers' requests and routes them to agents");
    settings.require("name", Settings::Format::Text, "name of this instance");
    settings.require("failure-domain", Settings::Format::Text, "failure domain of this instance");
    settings.require("listen", Settings::Format::Address, "address for callers");
    settings.require("control-listen", Settings::Format::Address, "address for operators");
    settings.require("store", Settings::Format::Address, "address of the key-value service");
    settings.require("instances", Settings::Format::Address, "address of the instance list");
    settings.require("deployment-key", Settings::Format::Text, "key shared by the deployment");
    settings.allow("subset-size", Settings::Format::Number, "24",
                   "agents of one service that this entry links to");
    settings.allow("rebalance-after", Settings::Format::Number, "300",
                   "seconds of skewed expert load before the map of a model group is changed; 0: "
                   "never");
    settings.allow("weights-rate", Settings::Format::Number, "104857600",
                   "bytes per second that the weight store gives to a model group");
    settings.allow("seed", Settings::Format::Number, "0",
                   "seed of random decisions; 0 takes the time of day");
    if (!settings.read(argc, argv))
        return settings.exitCode();

    EntryShell::Options options;
    options.node.name = settings.text("name");
    options.node.failureDomain = settings.text("failure-domain");
    options.node.deploymentKey = settings.text("deployment-key");
    options.node.subsetSize = static_cast<std::uint32_t>(settings.number("subset-size"));
    options.node.seed = settings.number("seed");
    if (options.node.seed == 0)
        options.node.seed = static_cast<std::uint64_t>(
                std::chrono::system_clock::now().time_since_epoch().count());
    options.rebalancing.startAfter = std::chrono::seconds(settings.number("rebalance-after"));
    options.rebalancing.weightsRate = settings.number("weights-rate");
    options.listenAddress = settings.text("listen");
    options.controlAddress = settings.text("control-listen");
    options.storeAddress = settings.text("store");
    options.instancesAddress = settings.text("instances");

    EventLog::open(options.node.name);
    EventLoop loop;
    EntryShell shell(loop, options);
    if (const std::string error = shell.startError(); !error.empty()) {
        std::cerr << "nutmegrill-entry: " << error << "\n";
        return Settings::ExitCannotListen;
    }
    shell.run();
    return Settings::ExitOk;
}
