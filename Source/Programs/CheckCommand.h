#pragma once

#include "Config/Configuration.h"
#include "Programs/ConfigurationFormat.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

class CheckReport;
class EventLoop;
class Settings;

/// The subcommand `check`: reads a configuration, checks it, compares it with the version in force
/// if asked to, and prints the report. Publishes nothing.
class CheckCommand
{
public:
    using Result = boost::leaf::result<void>;

    CheckCommand(EventLoop &loop, const Settings &settings) : loop(loop), settings(settings) {}

    /// Declares the settings of the subcommand.
    static void declareSettings(Settings &settings);

    Result run();

private:
    boost::leaf::result<std::unique_ptr<ConfigurationFormat>> chooseFormat() const;
    /// Checks the configuration, compares it with the version in force if there is one, and adds
    /// the outcome to the report.
    Result check(const ConfigurationFormat::Loaded &loaded, const ConfigurationPtr &inForce,
                 CheckReport &report) const;
    /// Reads the version in force; null if none is given.
    boost::leaf::result<ConfigurationPtr> readInForce(const ConfigurationFormat &format) const;
    void print(const CheckReport &report) const;

    EventLoop &loop;
    const Settings &settings;
};

} // namespace Nutmegrill
