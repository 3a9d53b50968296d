#include "Relay/StopAdmission.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Expected duration of the longest streams at twice the usual pause between events.
constexpr milliseconds MaxStreamDuration{4500};
/// Longest expected duration of requests as a multiple of their mean.
constexpr int MaxHoldTimes = 4;
constexpr int ClosePercent = 75;
/// Leaves time for the last answers to be sent.
constexpr int AnswerPercent = 95;
/// The rest of the grace time is for the end of the process itself.
constexpr int ExitPercent = 96;
constexpr int LatestExitPercent = 99;
/// Time for the answer to leave the process.
constexpr milliseconds DeliveryTime{200};

microseconds longestDuration(const StopAdmission::Input &input)
{
    if (input.isResumableStream)
        return std::max<microseconds>(input.meanHoldTime * MaxHoldTimes, MaxStreamDuration);
    return input.deadline - input.now;
}

} // namespace

StopAdmission::Phases StopAdmission::phasesOf(Instant begin, milliseconds graceTime)
{
    return {begin + graceTime * ClosePercent / 100, begin + graceTime * AnswerPercent / 100,
            begin + graceTime * ExitPercent / 100, begin + graceTime * LatestExitPercent / 100};
}

bool StopAdmission::endsInTime(const Input &input)
{
    const Instant latestEnd = std::min(input.deadline, input.now + longestDuration(input));
    return latestEnd + DeliveryTime <= input.stopAt;
}

} // namespace Nutmegrill
