#pragma once

#include "Net/EventLoop.h"
#include "Programs/Settings.h"

#include <functional>
#include <memory>

namespace Nutmegrill {

/// Reloads the settings file on SIGHUP, and without a signal when its text has changed.
class SettingsWatch
{
public:
    using ReloadHandler = std::function<void(const Settings::Reload &reload)>;

    /// Calls \a handler after each SIGHUP, and otherwise only after a change or an error.
    SettingsWatch(EventLoop &loop, Settings &settings, ReloadHandler handler);

private:
    void read(bool isSignalled);

    Settings &settings;
    ReloadHandler onReload;
    std::unique_ptr<EventLoop::Timer> hangupSignal;
    std::unique_ptr<EventLoop::Timer> pollTimer;
};

} // namespace Nutmegrill
