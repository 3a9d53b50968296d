#include "Agent/CreditLedger.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds CreditLifetime(2);
constexpr std::chrono::seconds RenewalLeadTime(1);
// Entries offer their configuration version every second.
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
    LinkCredits &row = found->second;
    const bool covered = row.credits() > 0 && now < row.deadline;
    ++row.started;
    if (row.demand > 0)
        --row.demand;
    return covered;
}

std::uint64_t CreditLedger::outstanding(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[link, row] : this->linkCredits)
        sum += now < row.deadline ? row.credits() : 0;
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
    const std::uint64_t uncovered = this->uncoveredDemand(now);
    std::uint64_t free = slots - this->credits();
    // Moves unused credits from idle entries to entries with a queue at once; waiting for them to
    // expire would delay a queued request by up to 2 s.
    if (uncovered > free)
        this->revoke(uncovered - free, true);
    free = slots - this->credits();
    free -= this->grantProportionally(now, free);
    free -= this->grantRoundRobin(now, free, true);
    this->grantRoundRobin(now, free, false);
    this->renew(now);

    Grants grants;
    for (auto &[link, row] : this->linkCredits) {
        if (!row.changed)
            continue;
        row.changed = false;
        if (row.renewed)
            row.deadline = now + CreditLifetime;
        row.renewed = false;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::max(row.deadline - now, Instant::duration(0)));
        grants.emplace_back(link, PeerMessage::Grant{row.startsUpTo, kvBytesFree, remaining});
    }
    return grants;
}

void CreditLedger::expire(Instant now)
{
    for (auto &[link, row] : this->linkCredits) {
        if (row.deadline <= now)
            row.startsUpTo = row.started;
    }
}

// Renews credits only for links with recent messages, so that those of a frozen entry expire.
void CreditLedger::renew(Instant now)
{
    for (auto &[link, row] : this->linkCredits) {
        if (row.credits() == 0 || row.inactiveAt <= now || row.deadline > now + RenewalLeadTime)
            continue;
        row.changed = true;
        row.renewed = true;
    }
}

std::uint64_t CreditLedger::credits() const
{
    std::uint64_t sum = 0;
    for (const auto &[link, row] : this->linkCredits)
        sum += row.credits();
    return sum;
}

std::uint64_t CreditLedger::uncoveredDemand(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[link, row] : this->linkCredits)
        sum += row.uncoveredDemand(now);
    return sum;
}

void CreditLedger::grantCredits(LinkCredits &row, std::uint64_t count)
{
    row.startsUpTo = row.started + row.credits() + count;
    row.changed = true;
    row.renewed = true;
}

void CreditLedger::revoke(std::uint64_t count, bool surplusOnly)
{
    for (auto &[link, row] : this->linkCredits) {
        const std::uint64_t held = row.credits();
        const std::uint64_t kept = surplusOnly ? std::min<std::uint64_t>(held, row.demand) : 0;
        const std::uint64_t taken = std::min(count, held - kept);
        if (taken == 0)
            continue;
        row.startsUpTo -= taken;
        row.changed = true;
        count -= taken;
    }
}

// Grants whole credits in proportion to each link's demand that is not covered yet.
std::uint64_t CreditLedger::grantProportionally(Instant now, std::uint64_t slots)
{
    const std::uint64_t uncovered = this->uncoveredDemand(now);
    if (uncovered == 0)
        return 0;
    const std::uint64_t given = std::min(slots, uncovered);
    std::uint64_t total = 0;
    for (auto &[link, row] : this->linkCredits) {
        const std::uint64_t share = given * row.uncoveredDemand(now) / uncovered;
        if (share == 0)
            continue;
        grantCredits(row, share);
        total += share;
    }
    return total;
}

std::uint64_t CreditLedger::grantRoundRobin(Instant now, std::uint64_t slots, bool uncoveredOnly)
{
    std::uint64_t given = 0;
    std::size_t passedOver = 0;
    while (given < slots && passedOver < this->linkCredits.size()) {
        auto next = this->linkCredits.upper_bound(this->lastGranted);
        if (next == this->linkCredits.end())
            next = this->linkCredits.begin();
        this->lastGranted = next->first;
        LinkCredits &row = next->second;
        if (row.inactiveAt <= now || (uncoveredOnly && row.uncoveredDemand(now) == 0)) {
            ++passedOver;
            continue;
        }
        passedOver = 0;
        grantCredits(row, 1);
        ++given;
    }
    return given;
}

} // namespace Nutmegrill
