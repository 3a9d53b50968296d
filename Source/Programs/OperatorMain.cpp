#include "Net/EventLoop.h"
#include "Programs/CheckCommand.h"
#include "Programs/OperatorCommands.h"
#include "Programs/OperatorError.h"
#include "Programs/Settings.h"

#include <boost/leaf.hpp>
#include <iostream>

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    Settings settings(
            "nutmegrill",
            "checks and publishes declarations, moves failure domains in and out, shows state\n"
                    + OperatorCommands::help());
    settings.allowPositionalArguments();
    settings.allow("store", Settings::Format::Address, "127.0.0.1:2379",
                   "address of the key-value service");
    settings.allow("processes", Settings::Format::AddressList, "",
                   "control addresses of entries and agents, separated by commas");
    settings.allow("logs", Settings::Format::TextList, "",
                   "logs of relay entries for explain, separated by commas");
    settings.allow("deployment-key", Settings::Format::Text, "", "key shared by the deployment");
    settings.allow("author", Settings::Format::Text, "operator", "author stored with each change");
    settings.allow("pending", Settings::Format::YesNo, "no",
                   "yes: take-out goes to the entries, for use while the store is down");
    CheckCommand::declareSettings(settings);
    if (!settings.read(argc, argv))
        return settings.exitCode();

    EventLoop loop;
    OperatorCommands commands(loop, settings);
    return boost::leaf::try_handle_all(
            [&commands]() -> boost::leaf::result<int> {
                if (auto result = commands.run(); !result)
                    return result.error();
                return Settings::ExitOk;
            },
            [](const OperatorError &error) {
                std::cerr << "nutmegrill: " << error.message << "\n";
                return error.exitCode();
            },
            [] {
                std::cerr << "nutmegrill: unexpected error\n";
                return Settings::ExitFailure;
            });
}
