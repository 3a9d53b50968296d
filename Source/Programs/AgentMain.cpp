#include "Net/EventLog.h"
#include "Programs/AgentShell.h"
#include "Programs/Settings.h"

#include <chrono>
#include <iostream>

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    Settings settings("nutmegrill-agent",
                      "stands beside a backend server and is the only path to it");
    settings.require("name", Settings::Format::Text, "name of this instance");
    settings.require("service", Settings::Format::Text, "service of the backend server");
    settings.require("failure-domain", Settings::Format::Text, "failure domain of this instance");
    settings.require("listen", Settings::Format::Address, "address for entries");
    settings.require("control-listen", Settings::Format::Address, "address for operators");
    settings.require("backend", Settings::Format::Address, "address of the backend server");
    settings.require("store", Settings::Format::Address, "address of the key-value service");
    settings.allow("instances", Settings::Format::Address, "", "address of the instance list");
    settings.allow("group", Settings::Format::Text, "",
                   "model group of which the backend server is a rank");
    settings.allow("weights", Settings::Format::Address, "",
                   "address of the weight store; without it weights need no loading");
    settings.require("deployment-key", Settings::Format::Text, "key shared by the deployment");
    if (!settings.read(argc, argv))
        return settings.exitCode();

    AgentShell::Options options;
    options.node.name = settings.text("name");
    options.node.service = settings.text("service");
    options.node.failureDomain = settings.text("failure-domain");
    options.node.deploymentKey = settings.text("deployment-key");
    options.node.incarnation =
            static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    options.listenAddress = settings.text("listen");
    options.controlAddress = settings.text("control-listen");
    options.backendAddress = settings.text("backend");
    options.storeAddress = settings.text("store");
    options.instancesAddress = settings.text("instances");
    options.group = settings.text("group");
    options.weightsAddress = settings.text("weights");

    EventLog::open(options.node.name);
    EventLoop loop;
    AgentShell shell(loop, options);
    if (const std::string error = shell.startError(); !error.empty()) {
        std::cerr << "nutmegrill-agent: " << error << "\n";
        return Settings::ExitCannotListen;
    }
    shell.run();
    return Settings::ExitOk;
}
