#include "Duties/UsageCounts.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

/// Windows that are kept: more than a change of holder takes.
constexpr std::uint64_t MaxWindows = 10;
/// Windows that are told: the present one, and those that may not be reported yet.
constexpr std::uint64_t ToldWindows = 4;

} // namespace

std::uint64_t UsageCounts::windowOf(WallTime time) const
{
    return static_cast<std::uint64_t>(time.time_since_epoch() / this->windowLength);
}

UsageCounts::WallTime UsageCounts::endOf(std::uint64_t window) const
{
    return WallTime(this->windowLength * static_cast<std::int64_t>(window + 1));
}

void UsageCounts::recordRun(WallTime beganAt, const std::string &account)
{
    ++this->own[this->windowOf(beganAt)][account];
}

UsageMessage UsageCounts::tell(WallTime now)
{
    UsageMessage message;
    message.sender = this->self;
    message.incarnation = this->incarnation;
    message.sequence = ++this->sequence;
    message.toldAt = now;
    const std::uint64_t present = this->windowOf(now);
    const auto first = this->own.lower_bound(present - std::min(present, ToldWindows - 1));
    message.windows.insert(first, this->own.end());
    return message;
}

void UsageCounts::messageArrived(const UsageMessage &message)
{
    if (message.sender == this->self)
        return;
    Told &row = this->told[{message.sender, message.incarnation}];
    if (message.sequence <= row.sequence)
        return;
    row.sequence = message.sequence;
    row.toldAt = message.toldAt;
    for (const auto &[window, counts] : message.windows)
        row.windows[window] = counts;
}

AccountCounts UsageCounts::total(std::uint64_t window) const
{
    AccountCounts sum;
    const auto add = [&sum, window](const Windows &windows) {
        if (const auto found = windows.find(window); found != windows.end()) {
            for (const auto &[account, count] : found->second)
                sum[account] += count;
        }
    };
    add(this->own);
    for (const auto &[start, row] : this->told)
        add(row.windows);
    return sum;
}

bool UsageCounts::isComplete(std::uint64_t window, const std::vector<std::string> &entries) const
{
    const WallTime end = this->endOf(window);
    return std::all_of(entries.begin(), entries.end(), [&](const std::string &entry) {
        const auto first = this->told.lower_bound({entry, 0});
        for (auto row = first; row != this->told.end() && row->first.first == entry; ++row) {
            if (row->second.toldAt > end)
                return true;
        }
        return false;
    });
}

void UsageCounts::tick(WallTime now)
{
    const std::uint64_t present = this->windowOf(now);
    const std::uint64_t oldest = present - std::min(present, MaxWindows);
    const auto isOld = [oldest](const auto &entry) { return entry.first < oldest; };
    std::erase_if(this->own, isOld);
    for (auto &[start, row] : this->told)
        std::erase_if(row.windows, isOld);
    std::erase_if(this->told, [&](const auto &entry) {
        return entry.second.toldAt + this->windowLength * static_cast<std::int64_t>(MaxWindows)
               < now;
    });
}

} // namespace Nutmegrill
