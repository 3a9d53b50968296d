#include "Programs/SettingsWatch.h"

#include <chrono>
#include <csignal>
#include <utility>

namespace Nutmegrill {

namespace {

/// A change without a signal is in force this much later at most. The file has about 500 bytes.
constexpr std::chrono::milliseconds ReadPeriod{500};

} // namespace

SettingsWatch::SettingsWatch(EventLoop &loop, Settings &settings, Done done)
    : settings(settings), done(std::move(done)),
      hangupSignal(loop.onSignal(SIGHUP, [this] { this->read(true); })),
      ticker(loop.every(ReadPeriod, [this] { this->read(false); }))
{}

void SettingsWatch::read(bool isAsked)
{
    const Settings::Reload reload = this->settings.reload();
    if (isAsked || !reload.isEmpty())
        this->done(reload);
}

} // namespace Nutmegrill
