#include "Agent/CreditLedger.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds CreditLifetime(2);
constexpr std::chrono::seconds RenewalLeadTime(1);
// Entries send an offer every second.
constexpr std::chrono::milliseconds SilenceTimeout(1500);

} // namespace

void CreditLedger::open(LinkId link)
{
    this->linkCredits[link] = LinkCredits{};
}

void CreditLedger::close(LinkId link)
{
    this->linkCredits.erase(link);
}

void CreditLedger::setDemand(LinkId link, std::uint32_t queued)
{
    if (const auto found = this->linkCredits.find(link); found != this->linkCredits.end())
        found->second.demand = queued;
}

void CreditLedger::recordActivity(Instant now, LinkId link)
{
    if (const auto found = this->linkCredits.find(link); found != this->linkCredits.end())
        found->second.inactiveAt = now + SilenceTimeout;
}

bool CreditLedger::start(Instant now, LinkId link)
{
    const auto found = this->linkCredits.find(link);
    if (found == this->linkCredits.end())
        return false;
    LinkCredits &account = found->second;
    const bool covered = account.credits() > 0 && now < account.deadline;
    ++account.started;
    if (account.demand > 0)
        --account.demand;
    return covered;
}

std::uint64_t CreditLedger::outstanding(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[link, account] : this->linkCredits)
        sum += now < account.deadline ? account.credits() : 0;
    return sum;
}

CreditLedger::Grants CreditLedger::distribute(Instant now, std::uint64_t slots,
                                              std::uint64_t kvBytesFree)
{
    this->expire(now);
    if (const std::uint64_t held = this->credits(); held > slots) {
        this->revoke(held - slots, true);
        this->revoke(this->credits() > slots ? this->credits() - slots : 0, false);
    }
    const std::uint64_t wanted = this->uncoveredDemand(now);
    std::uint64_t free = slots - this->credits();
    // Moves unused credits from idle entries to entries with a queue at once; waiting for them to
    // expire would delay a queued request by up to 2 s.
    if (wanted > free)
        this->revoke(wanted - free, true);
    free = slots - this->credits();
    free -= this->grantProportionally(now, free);
    free -= this->grantRoundRobin(now, free, true);
    this->grantRoundRobin(now, free, false);
    this->renew(now);

    Grants grants;
    for (auto &[link, account] : this->linkCredits) {
        if (!account.changed)
            continue;
        account.changed = false;
        if (account.renewed)
            account.deadline = now + CreditLifetime;
        account.renewed = false;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::max(account.deadline - now, Instant::duration(0)));
        grants.emplace_back(link, PeerMessage::Grant{account.startsUpTo, kvBytesFree, remaining});
    }
    return grants;
}

void CreditLedger::expire(Instant now)
{
    for (auto &[link, account] : this->linkCredits) {
        if (account.deadline <= now)
            account.startsUpTo = account.started;
    }
}

// Renews credits only for links with recent messages, so that those of a frozen entry expire.
void CreditLedger::renew(Instant now)
{
    for (auto &[link, account] : this->linkCredits) {
        if (account.credits() == 0 || account.inactiveAt <= now
            || account.deadline > now + RenewalLeadTime)
            continue;
        account.changed = true;
        account.renewed = true;
    }
}

std::uint64_t CreditLedger::credits() const
{
    std::uint64_t sum = 0;
    for (const auto &[link, account] : this->linkCredits)
        sum += account.credits();
    return sum;
}

std::uint64_t CreditLedger::uncoveredDemand(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[link, account] : this->linkCredits)
        sum += account.uncoveredDemand(now);
    return sum;
}

void CreditLedger::grantCredits(LinkCredits &account, std::uint64_t count)
{
    account.startsUpTo = account.started + account.credits() + count;
    account.changed = true;
    account.renewed = true;
}

void CreditLedger::revoke(std::uint64_t count, bool spareOnly)
{
    for (auto &[link, account] : this->linkCredits) {
        const std::uint64_t held = account.credits();
        const std::uint64_t kept = spareOnly ? std::min<std::uint64_t>(held, account.demand) : 0;
        const std::uint64_t taken = std::min(count, held - kept);
        if (taken == 0)
            continue;
        account.startsUpTo -= taken;
        account.changed = true;
        count -= taken;
    }
}

// Grants whole credits in proportion to each link's demand that is not covered yet.
std::uint64_t CreditLedger::grantProportionally(Instant now, std::uint64_t slots)
{
    const std::uint64_t wanted = this->uncoveredDemand(now);
    if (wanted == 0)
        return 0;
    const std::uint64_t given = std::min(slots, wanted);
    std::uint64_t total = 0;
    for (auto &[link, account] : this->linkCredits) {
        const std::uint64_t share = given * account.uncoveredDemand(now) / wanted;
        if (share == 0)
            continue;
        grantCredits(account, share);
        total += share;
    }
    return total;
}

std::uint64_t CreditLedger::grantRoundRobin(Instant now, std::uint64_t slots, bool wantedOnly)
{
    std::uint64_t given = 0;
    std::size_t passedOver = 0;
    while (given < slots && passedOver < this->linkCredits.size()) {
        auto next = this->linkCredits.upper_bound(this->lastGranted);
        if (next == this->linkCredits.end())
            next = this->linkCredits.begin();
        this->lastGranted = next->first;
        LinkCredits &account = next->second;
        if (account.inactiveAt <= now || (wantedOnly && account.uncoveredDemand(now) == 0)) {
            ++passedOver;
            continue;
        }
        passedOver = 0;
        grantCredits(account, 1);
        ++given;
    }
    return given;
}

} // namespace Nutmegrill
