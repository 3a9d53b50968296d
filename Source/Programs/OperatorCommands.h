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

/// The verbs of the operator's program. Each returns normally or with an OperatorError.
class OperatorCommands
{
public:
    using Result = boost::leaf::result<void>;

    OperatorCommands(EventLoop &loop, const Settings &settings);

    /// Runs the verb named by the first word.
    Result run();

    /// Lines for --help, one a verb.
    static std::string help();

private:
    using Member = Result (OperatorCommands::*)();
    struct Verb
    {
        const char *name;
        const char *arguments;
        const char *help;
        Member member;
    };
    static const std::vector<Verb> &verbs();

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
    boost::leaf::result<ConfigurationPtr> readStored();
    Result publish(const ConfigurationChange::Action &action);
    Result takeOutPending(const std::string &failureDomain);
    boost::leaf::result<std::string> failureDomainArgument() const;
    /// Body of a control path of one process; empty when it did not answer with 200.
    std::string fetchControl(const std::string &address, const std::string &method,
                             const std::string &path, const std::string &body);
    std::string newChangeId() const;

    EventLoop &loop;
    const Settings &settings;
};

} // namespace Nutmegrill
