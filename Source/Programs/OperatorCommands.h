#pragma once

#include "Config/Configuration.h"
#include "Config/ConfigurationChange.h"
#include "Net/EventLoop.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

class Settings;

/// The subcommands of the operator's program. Each one succeeds or fails with an OperatorError.
class OperatorCommands
{
public:
    using Result = boost::leaf::result<void>;

    OperatorCommands(EventLoop &loop, const Settings &settings);

    /// Runs the subcommand that the first positional argument names.
    Result run();

    /// Text of --help that lists the subcommands.
    static std::string help();

private:
    using Handler = Result (OperatorCommands::*)();
    struct Subcommand
    {
        const char *name;
        const char *arguments;
        const char *help;
        Handler handler;
    };
    static const std::vector<Subcommand> &subcommands();

    Result check();
    Result diff();
    Result apply();
    Result takeOut();
    Result bringBack();
    Result status();
    Result watch();
    Result dump();
    Result explain();

    boost::leaf::result<Configuration> loadDeclarations() const;
    boost::leaf::result<ConfigurationPtr> readStoredConfiguration();
    Result publish(const ConfigurationChange::Action &action);
    Result takeOutPending(const std::string &failureDomain);
    boost::leaf::result<std::string> failureDomainArgument() const;
    /// Body of the answer of a control path of one process; empty unless the status is 200.
    std::string fetchControl(const std::string &address, const std::string &method,
                             const std::string &path, const std::string &body);
    std::string newChangeId() const;

    EventLoop &loop;
    const Settings &settings;
};

} // namespace Nutmegrill
