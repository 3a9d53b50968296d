#pragma once

#include "Net/EventLoop.h"
#include "Programs/Settings.h"

#include <functional>
#include <memory>

namespace Nutmegrill {

/// Reads the settings file again on SIGHUP, and without a signal when its text has changed.
class SettingsWatch
{
public:
    using Done = std::function<void(const Settings::Reload &reload)>;

    /// Calls \a done after each SIGHUP, and otherwise only when there is a change or a fault.
    SettingsWatch(EventLoop &loop, Settings &settings, Done done);

private:
    void read(bool isAsked);

    Settings &settings;
    Done done;
    std::unique_ptr<EventLoop::Timer> hangupSignal;
    std::unique_ptr<EventLoop::Timer> ticker;
};

} // namespace Nutmegrill
