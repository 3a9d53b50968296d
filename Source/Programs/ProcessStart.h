#pragma once

#include "Net/EventLog.h"
#include "Net/EventLoop.h"
#include "Programs/Settings.h"

#include <cstdint>
#include <iostream>
#include <string>

namespace Nutmegrill {

/// Startup code of entries and agents: the settings that both have, and the run of the I/O layer.
class ProcessStart
{
public:
    ProcessStart(std::string program, std::string summary, const std::string &callers);

    /// For declaring settings of one kind of process before read().
    Settings &settings() { return this->declaredSettings; }

    /// Returns false when the process must exit with exitCode().
    bool read(int argc, const char *const *argv) { return this->declaredSettings.read(argc, argv); }
    int exitCode() const { return this->declaredSettings.exitCode(); }

    /// Options of the I/O layer that entries and agents share.
    template <typename Options>
    Options options() const
    {
        Options options;
        options.node.name = this->declaredSettings.text("name");
        options.node.failureDomain = this->declaredSettings.text("failure-domain");
        options.node.deploymentKey = this->declaredSettings.text("deployment-key");
        options.listenAddress = this->declaredSettings.text("listen");
        options.controlAddress = this->declaredSettings.text("control-listen");
        options.storeAddress = this->declaredSettings.text("store");
        options.instancesAddress = this->declaredSettings.text("instances");
        return options;
    }

    /// Runs the I/O layer until its node has stopped. Returns the exit code.
    template <typename Shell>
    int run(const typename Shell::Options &options) const
    {
        EventLog::open(options.node.name);
        EventLoop loop;
        Shell shell(loop, options);
        if (const std::string error = shell.startError(); !error.empty()) {
            std::cerr << this->program << ": " << error << "\n";
            return Settings::ExitCannotListen;
        }
        shell.run();
        return Settings::ExitOk;
    }

    /// System clock reading, which differs between the starts of a process.
    static std::uint64_t systemClockTicks();
    /// Memory of this instance in bytes, as the system reports it.
    static std::uint64_t instanceMemory();

private:
    std::string program;
    Settings declaredSettings;
};

} // namespace Nutmegrill
