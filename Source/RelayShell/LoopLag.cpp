#include "RelayShell/LoopLag.h"

#include "Net/Metrics.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RecordPeriod{1000};
/// Callers notice pauses of 120 ms; a lag below this leaves most of them on time.
constexpr milliseconds LoggedLag{50};

} // namespace

std::optional<milliseconds> LoopLag::tick(Instant now, Metrics &metrics)
{
    if (this->lastTickAt)
        this->longest = std::max(this->longest, now - *this->lastTickAt - this->tickPeriod);
    this->tickBeforeAt = std::exchange(this->lastTickAt, now);
    if (now < this->nextRecordAt)
        return std::nullopt;
    this->nextRecordAt = now + RecordPeriod;
    const auto lag = std::chrono::duration_cast<milliseconds>(this->longest);
    this->longest = std::chrono::microseconds(0);
    metrics.observe("nutmegrill_loop_lag_seconds", {}, std::chrono::duration<double>(lag).count());
    return lag >= LoggedLag ? std::optional(lag) : std::nullopt;
}

milliseconds LoopLag::maxEventAge(Instant now) const
{
    return std::chrono::duration_cast<milliseconds>(now - this->tickBeforeAt.value_or(now));
}

} // namespace Nutmegrill
