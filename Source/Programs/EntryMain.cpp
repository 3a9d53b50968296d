#include "Programs/EntryShell.h"
#include "Programs/ProcessStart.h"
#include "Programs/TakeOutWriter.h"

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    ProcessStart start("nutmegrill-entry", "takes callers' requests and routes them to agents",
                       "callers");
    Settings &settings = start.settings();
    settings.require("instances", Settings::Format::Address, "address of the instance list");
    settings.allow("subset-size", Settings::Format::PositiveNumber, "24",
                   "agents of one service that this entry links to");
    settings.allow("rebalance-after", Settings::Format::Number, "300",
                   "seconds of skewed expert load before the map of a model group is changed; 0: "
                   "never");
    settings.allow("weights-rate", Settings::Format::PositiveNumber, "104857600",
                   "bytes per second that the weight store gives to a model group");
    settings.allow("seed", Settings::Format::Number, "0",
                   "seed of random decisions; 0 takes the time of day");
    if (!start.read(argc, argv))
        return start.exitCode();

    auto options = start.options<EntryShell::Options>();
    options.node.subsetSize = static_cast<std::uint32_t>(settings.number("subset-size"));
    options.node.seed = settings.number("seed");
    if (options.node.seed == 0)
        options.node.seed = ProcessStart::systemClockTicks();
    options.rebalancing.startAfter = std::chrono::seconds(settings.number("rebalance-after"));
    options.rebalancing.weightsRate = settings.number("weights-rate");
    return start.run<EntryShell>(options);
}
