#include "Relay/LoadExchange.h"

#include "Relay/EntryTable.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Shares are sent each 100 ms; some get lost.
constexpr milliseconds MaxShareAge{500};
/// The sum of a failure domain has one hop more behind it.
constexpr milliseconds MaxDomainAge{700};
constexpr milliseconds MaxFleetAge{1000};
/// An entry asks its second relay as well after this time without a sum.
constexpr milliseconds SecondRelayDelay{400};
/// A share of an earlier start arrives within this time.
constexpr milliseconds MaxMessageDelay{500};
/// Rate at which a relay tells one entry the sum, and bytes of one backend server in it.
constexpr std::int64_t FleetBytesPerSecond = 6000;
constexpr std::int64_t BytesPerBackend = 6;
constexpr milliseconds MinFleetPeriod{90};
/// Ticks that a load takes from an entry into the sum that it gets back.
constexpr std::size_t OwnLoads = 4;

} // namespace

bool LoadExchange::isNewer(const LoadShare &share, const Received &known, Instant now)
{
    return share.incarnation == known.share.incarnation
                   ? share.sequence > known.share.sequence
                   : share.incarnation > known.share.incarnation
                             || now > known.receivedAt + MaxMessageDelay;
}

void LoadExchange::shareReceived(Instant now, const LoadShare &share)
{
    if (share.sender == this->own.sender)
        return;
    if (share.scope == LoadShare::Scope::Fleet) {
        const bool isOld = share.sender == this->fleetSender
                           && share.incarnation == this->fleetIncarnation
                           && share.sequence <= this->fleetSequence;
        if (isOld)
            return;
        this->fleet = {};
        this->fleet.add(share);
        this->fleetAt = now;
        this->fleetSender = share.sender;
        this->fleetIncarnation = share.incarnation;
        this->fleetSequence = share.sequence;
        return;
    }
    const bool isEntry = share.scope == LoadShare::Scope::Entry;
    auto &rows = isEntry ? this->entriesHere : this->domains;
    const std::string &key = isEntry ? share.sender : share.failureDomain;
    const auto [row, isNew] = rows.try_emplace(key);
    // Two relays tell the sum of a domain; the later one replaces the other.
    const bool isSameSender = row->second.share.sender == share.sender;
    if (!isNew && isSameSender && !isNewer(share, row->second, now))
        return;
    row->second = {share, now};
}

bool LoadExchange::isFresh(Instant now) const
{
    return this->fleetAt && now < *this->fleetAt + MaxFleetAge;
}

void LoadExchange::tick(Instant now, const LoadSum &load, const EntryTable &entries,
                        Messages &messages)
{
    std::erase_if(this->entriesHere, [now](const auto &entry) {
        return now >= entry.second.receivedAt + MaxShareAge;
    });
    std::erase_if(this->domains, [now](const auto &entry) {
        return now >= entry.second.receivedAt + MaxDomainAge;
    });
    this->ownLoads.push_front(load);
    if (this->ownLoads.size() > OwnLoads)
        this->ownLoads.pop_back();
    this->ownShare = this->own;
    load.describe(this->ownShare);
    if (entries.size() < MaxEntriesWithoutSums) {
        this->fleetAt.reset();
        return;
    }
    const std::vector<std::string> relays = entries.relaysOf(this->own.failureDomain, now);
    const bool isRelay = std::find(relays.begin(), relays.end(), this->own.sender) != relays.end();
    this->sendOwn(now, relays, messages);
    if (isRelay || !this->entriesHere.empty())
        this->relay(now, entries, isRelay, messages);
}

void LoadExchange::sendOwn(Instant now, const std::vector<std::string> &relays, Messages &messages)
{
    const bool wantsFromAll = !this->fleetAt || now >= *this->fleetAt + SecondRelayDelay;
    bool isFirst = true;
    for (const std::string &address : relays) {
        if (address == this->own.sender)
            continue;
        auto share = std::make_shared<LoadShare>(this->ownShare);
        share->scope = LoadShare::Scope::Entry;
        share->sequence = ++this->sequence;
        share->wantsFleet = isFirst || wantsFromAll;
        isFirst = false;
        messages.push_back({address, std::move(share)});
    }
}

LoadSum LoadExchange::sumOfDomain(Instant now, const EntryTable &entries) const
{
    LoadSum sum = this->ownLoads.front();
    for (const auto &[sender, received] : this->entriesHere)
        sum.add(received.share);
    // Entries that do not use this one as a relay.
    for (const EntryReport *report : entries.recentReports(this->own.failureDomain, now)) {
        if (this->entriesHere.count(report->peerAddress) == 0)
            sum.add(*report);
    }
    return sum;
}

void LoadExchange::relay(Instant now, const EntryTable &entries, bool isRelay, Messages &messages)
{
    LoadSum sum = this->sumOfDomain(now, entries);
    const std::vector<std::string> otherDomains = entries.domains(now);
    if (isRelay) {
        auto domain = std::make_shared<LoadShare>(this->own);
        domain->scope = LoadShare::Scope::Domain;
        domain->sequence = ++this->sequence;
        sum.describe(*domain);
        for (const std::string &other : otherDomains) {
            if (other == this->own.failureDomain)
                continue;
            for (const std::string &address : entries.relaysOf(other, now))
                messages.push_back({address, domain});
        }
    }
    for (const std::string &other : otherDomains) {
        if (other == this->own.failureDomain)
            continue;
        if (const auto known = this->domains.find(other); known != this->domains.end()) {
            sum.add(known->second.share);
            continue;
        }
        // Without the sum of the domain, the reports of its entries.
        for (const EntryReport *report : entries.recentReports(other, now))
            sum.add(*report);
    }
    this->fleet = sum;
    this->fleetAt = now;
    this->fleetSender = this->own.sender;
    if (now < this->nextFleetAt)
        return;
    auto total = std::make_shared<LoadShare>(this->own);
    total->scope = LoadShare::Scope::Fleet;
    total->sequence = ++this->sequence;
    sum.describe(*total);
    const auto bytes = static_cast<std::int64_t>(total->running.size()) * BytesPerBackend;
    this->nextFleetAt =
            now
            + std::max<microseconds>(MinFleetPeriod,
                                     microseconds(bytes * 1'000'000 / FleetBytesPerSecond));
    for (const auto &[sender, received] : this->entriesHere) {
        if (received.share.wantsFleet)
            messages.push_back({sender, total});
    }
}

std::optional<std::uint32_t> LoadExchange::runningElsewhere(const std::string &backend,
                                                            Instant now) const
{
    if (!this->isFresh(now))
        return std::nullopt;
    const std::uint32_t id = LoadShare::hashOf(backend);
    const std::uint32_t all = this->fleet.running(id);
    return all
           - std::min(all, this->ownPart([id](const LoadSum &load) { return load.running(id); }));
}

template <typename Read>
std::uint32_t LoadExchange::ownPart(Read read) const
{
    std::uint32_t least = this->ownLoads.empty() ? 0 : read(this->ownLoads.front());
    for (const LoadSum &load : this->ownLoads)
        least = std::min(least, read(load));
    return least;
}

std::optional<std::uint32_t> LoadExchange::waitingElsewhere(const std::string &service,
                                                            Instant now) const
{
    if (!this->isFresh(now))
        return std::nullopt;
    const std::uint32_t all = this->fleet.waiting(service);
    return all - std::min(all, this->ownPart([&service](const LoadSum &load) {
               return load.waiting(service);
           }));
}

} // namespace Nutmegrill
