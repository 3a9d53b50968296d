#include "Entry/StreamBudget.h"

namespace Nutmegrill {

namespace {

// While its account or the process is over budget, a stream is limited to this fraction of the
// stream limit.
constexpr std::uint64_t ShortageDivisor = 16;

} // namespace

void StreamBudget::update(Instant now, CallerId caller, const std::string &account,
                          std::uint64_t bytes)
{
    const auto [found, added] = this->rows.try_emplace(caller, Row{account, 0, now});
    Row &row = found->second;
    if (added || bytes < row.bytes || row.bytes == 0)
        row.lastRead = now;
    this->accounts[row.account] += bytes - row.bytes;
    this->total += bytes - row.bytes;
    row.bytes = bytes;
}

void StreamBudget::remove(CallerId caller)
{
    const auto found = this->rows.find(caller);
    if (found == this->rows.end())
        return;
    const auto account = this->accounts.find(found->second.account);
    if (account != this->accounts.end() && (account->second -= found->second.bytes) == 0)
        this->accounts.erase(account);
    this->total -= found->second.bytes;
    this->rows.erase(found);
}

std::uint64_t StreamBudget::bytesOf(CallerId caller) const
{
    const auto found = this->rows.find(caller);
    return found == this->rows.end() ? 0 : found->second.bytes;
}

bool StreamBudget::shouldPause(CallerId caller, bool paused, const Limits &limits) const
{
    const auto found = this->rows.find(caller);
    if (found == this->rows.end())
        return false;
    const Row &row = found->second;
    const auto account = this->accounts.find(row.account);
    const std::uint64_t accountBytes = account == this->accounts.end() ? 0 : account->second;
    const bool shortage = this->total > limits.process || accountBytes > limits.account;
    const std::uint64_t limit = shortage ? limits.stream / ShortageDivisor : limits.stream;
    return row.bytes > (paused ? limit / 2 : limit);
}

bool StreamBudget::isBeingRead(CallerId caller, Instant since) const
{
    const auto found = this->rows.find(caller);
    return found != this->rows.end() && found->second.bytes > 0 && found->second.lastRead > since;
}

bool StreamBudget::isStalled(CallerId caller, Instant since, const Limits &limits) const
{
    const auto found = this->rows.find(caller);
    if (found == this->rows.end() || found->second.bytes == 0)
        return false;
    return found->second.lastRead <= since && this->total > limits.process / 2;
}

} // namespace Nutmegrill
