#include "Groups/OwnerLease.h"

#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

// A candidate reads the key once a second while another process holds it.
constexpr milliseconds CampaignPeriod(1000);
// A third of the lease lifetime, so that one lost answer does not end the ownership.
constexpr milliseconds RenewalPeriod(1000);
constexpr milliseconds RetryDelay(200);
// Lets the other candidates claim the key first after this process has given it up.
constexpr milliseconds GiveUpDelay(2000);
// Covers clocks that run at slightly different rates and the delay between the check of the
// deadline and the last byte of a message.
constexpr milliseconds SafetyMargin(300);

} // namespace

void OwnerLease::setCandidate(bool candidate, Commands &commands)
{
    this->candidate = candidate;
    if (candidate || this->phase != Phase::Holding)
        return;
    commands.emplace_back(RevokeLease{this->lease});
    this->phase = Phase::Waiting;
    this->callOutstanding = false;
}

std::uint64_t OwnerLease::fence(Instant now) const
{
    return this->phase == Phase::Holding && now < this->expiresAt ? this->revision : 0;
}

void OwnerLease::tick(Instant now, Commands &commands)
{
    if (this->phase == Phase::Holding && now >= this->expiresAt)
        this->retryLater(now, milliseconds(0));
    if (this->phase == Phase::Claiming && now >= this->expiresAt)
        this->retryLater(now, RetryDelay);
    if (this->callOutstanding || now < this->nextAt)
        return;
    if (this->phase == Phase::Waiting) {
        if (!this->candidate)
            return;
        this->phase = Phase::Reading;
        commands.emplace_back(ReadKey{});
    } else if (this->phase == Phase::Claiming) {
        commands.emplace_back(ClaimKey{this->lease, this->claimValue()});
    } else if (this->phase == Phase::Holding) {
        this->sentAt = now;
        commands.emplace_back(KeepLease{this->lease});
    }
    this->callOutstanding = true;
}

void OwnerLease::keyRead(Instant now, const std::optional<std::string> &holder, Commands &commands)
{
    if (this->phase != Phase::Reading)
        return;
    if (!holder.has_value() || !holder->empty())
        return this->retryLater(now, CampaignPeriod);
    this->phase = Phase::Granting;
    this->sentAt = now;
    commands.emplace_back(GrantLease{});
}

void OwnerLease::leaseGranted(Instant now, std::int64_t lease, Commands &commands)
{
    if (this->phase != Phase::Granting)
        return;
    if (lease == 0)
        return this->retryLater(now, CampaignPeriod);
    this->lease = lease;
    this->expiresAt = this->sentAt + Lifetime - SafetyMargin;
    this->phase = Phase::Claiming;
    commands.emplace_back(ClaimKey{this->lease, this->claimValue()});
}

void OwnerLease::keyClaimed(Instant now, const std::optional<std::string> &holder,
                            std::int64_t createRevision, Commands &commands)
{
    if (this->phase != Phase::Claiming)
        return;
    this->callOutstanding = false;
    if (!holder.has_value()) {
        // The claim may have taken effect. Claiming again reads the key back.
        this->nextAt = now + RetryDelay;
        return;
    }
    if (*holder != this->claimValue() || !this->candidate) {
        commands.emplace_back(RevokeLease{this->lease});
        return this->retryLater(now, CampaignPeriod);
    }
    this->phase = Phase::Holding;
    this->revision = static_cast<std::uint64_t>(createRevision);
    this->nextAt = this->sentAt + RenewalPeriod;
}

void OwnerLease::leaseKept(Instant now, std::optional<bool> alive, Commands &)
{
    if (this->phase != Phase::Holding || now >= this->expiresAt)
        return;
    this->callOutstanding = false;
    if (!alive.has_value()) {
        this->nextAt = now + RetryDelay;
        return;
    }
    if (!*alive)
        return this->retryLater(now, milliseconds(0));
    this->expiresAt = this->sentAt + Lifetime - SafetyMargin;
    this->nextAt = this->sentAt + RenewalPeriod;
}

void OwnerLease::giveUp(Instant now, Commands &commands)
{
    if (this->phase != Phase::Holding)
        return;
    commands.emplace_back(RevokeLease{this->lease});
    this->retryLater(now, GiveUpDelay);
}

void OwnerLease::retryLater(Instant now, milliseconds delay)
{
    this->phase = Phase::Waiting;
    this->callOutstanding = false;
    this->nextAt = now + delay;
}

std::string OwnerLease::claimValue() const
{
    return this->process + " " + std::to_string(this->lease);
}

} // namespace Nutmegrill
