#include "Programs/SettingsWatch.h"

#include <chrono>
#include <csignal>
#include <utility>

namespace Nutmegrill {

namespace {

/// Longest delay until a change without a signal takes effect. The file has about 500 bytes.
constexpr std::chrono::milliseconds PollPeriod{500};

} // namespace

SettingsWatch::SettingsWatch(EventLoop &loop, Settings &settings, ReloadHandler handler)
    : settings(settings), onReload(std::move(handler)),
      hangupSignal(loop.onSignal(SIGHUP, [this] { this->read(true); })),
      pollTimer(loop.every(PollPeriod, [this] { this->read(false); }))
{}

void SettingsWatch::read(bool isSignalled)
{
    const Settings::Reload reload = this->settings.reload();
    if (isSignalled || !reload.isEmpty())
        this->onReload(reload);
}

} // namespace Nutmegrill
