#include "Programs/AgentShell.h"
#include "Programs/ProcessStart.h"

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    ProcessStart start("nutmegrill-agent",
                       "runs next to a backend server and is the only path to it", "entries");
    Settings &settings = start.settings();
    settings.require("service", Settings::Format::Text, "service of the backend server");
    settings.require("backend", Settings::Format::Address, "address of the backend server");
    settings.allow("instances", Settings::Format::Address, "", "address of the instance list");
    settings.allow("group", Settings::Format::Text, "",
                   "model group of which the backend server is a rank");
    settings.allow("weights", Settings::Format::Address, "",
                   "address of the weight store; without it no weights are loaded");
    if (!start.read(argc, argv))
        return start.exitCode();

    auto options = start.options<AgentShell::Options>();
    options.node.service = settings.text("service");
    options.node.incarnation = ProcessStart::systemClockTicks();
    options.backendAddress = settings.text("backend");
    options.group = settings.text("group");
    options.weightsAddress = settings.text("weights");
    return start.run<AgentShell>(options);
}
