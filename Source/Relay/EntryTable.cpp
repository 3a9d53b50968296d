#include "Relay/EntryTable.h"

#include "Core/Hash.h"
#include "Membership/RelaySelector.h"
#include "Relay/ReportSchedule.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace Nutmegrill {

namespace {

/// An entry is considered dead after this time without a report, and after some periods of reports
/// in a large fleet; lost datagrams and short pauses of a loaded instance must not remove an entry.
constexpr std::chrono::milliseconds MinLivenessTimeout{2500};
constexpr double LivenessPeriods = 3.5;
/// A dead entry counts for the shared limits this much longer: it may be running behind a network
/// partition, and its earlier requests still count in the limits' windows of ten seconds.
constexpr std::chrono::milliseconds SilentEntryRetention{7500};
/// Older reports of running requests are ignored: most requests end within two seconds.
constexpr std::chrono::milliseconds MaxLoadReportAge{1500};
constexpr int MaxLoadReportPeriods = 2;
/// From the event that changes a load to the report that tells it, and on the network.
constexpr std::chrono::milliseconds ReportDelay{20};
/// A lower incarnation is accepted after this silence of the previous one, because the clock may
/// have been set back between the two starts. Delayed datagrams of an earlier start arrive sooner.
constexpr std::chrono::milliseconds MinSilenceBeforeEarlierStart{500};
/// A process that decides nothing for this long has been paused.
constexpr std::chrono::milliseconds MinOwnPause{1000};
/// Addresses are deleted after this time without a report.
constexpr std::chrono::seconds AddressRetention{60};
/// An entry without a report for this long, or some periods, is not counted on to watch the store.
/// An additional watcher costs little, and changes have to be known within two seconds.
constexpr std::chrono::milliseconds MinWatcherTimeout{500};
constexpr int WatcherPeriods = 3;

} // namespace

void EntryTable::addAddress(Instant now, const std::string &peerAddress)
{
    const auto [entry, isNew] = this->rows.try_emplace(peerAddress);
    // Counts for shared limits from now on, but is live only after its first report.
    if (isNew)
        entry->second.lastSeenAt = now;
    entry->second.peerAddress = peerAddress;
}

bool EntryTable::update(Instant now, const EntryReport &report)
{
    Row &row = this->rows[report.peerAddress];
    row.peerAddress = report.peerAddress;
    if (row.report && report.incarnation == row.report->incarnation
        && report.sequence <= row.report->sequence)
        return false;
    if (row.report && report.incarnation < row.report->incarnation
        && (now < row.lastSeenAt + MinSilenceBeforeEarlierStart
            || !this->switches.acceptsEarlierStart))
        return false;
    if (row.isSummed)
        this->reportedLoads.remove(*row.report);
    row.report = report;
    row.lastSeenAt = now;
    row.isSummed = true;
    this->reportedLoads.add(report);
    this->loadsValidUntil = std::min(this->loadsValidUntil, now + this->maxLoadAge());
    return true;
}

std::chrono::milliseconds EntryTable::maxLoadAge() const
{
    return std::max<std::chrono::milliseconds>(
            MaxLoadReportAge, MaxLoadReportPeriods * ReportSchedule::period(this->rows.size() + 1));
}

std::chrono::milliseconds EntryTable::livenessTimeout() const
{
    const auto period = ReportSchedule::period(this->rows.size() + 1);
    return std::max(MinLivenessTimeout,
                    std::chrono::milliseconds(static_cast<std::int64_t>(
                            LivenessPeriods * static_cast<double>(period.count()))));
}

void EntryTable::dropOldLoads(Instant now) const
{
    if (now <= this->loadsValidUntil)
        return;
    this->loadsValidUntil = NoDeadline;
    for (auto &[address, row] : this->rows) {
        if (!row.isSummed)
            continue;
        const Instant validUntil = row.lastSeenAt + this->maxLoadAge();
        if (now <= validUntil) {
            this->loadsValidUntil = std::min(this->loadsValidUntil, validUntil);
            continue;
        }
        row.isSummed = false;
        this->reportedLoads.remove(*row.report);
    }
}

std::vector<std::string> EntryTable::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, row] : this->rows)
        addresses.push_back(address);
    return addresses;
}

bool EntryTable::isLive(const Row &row, Instant now) const
{
    return row.report && now < row.lastSeenAt + this->livenessTimeout();
}

std::vector<std::string> EntryTable::servingAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, row] : this->rows) {
        if (this->isLive(row, now) && row.report->isServing && !row.report->isLeaving)
            addresses.push_back(row.report->callerAddress);
    }
    return addresses;
}

std::vector<std::string> EntryTable::liveAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, row] : this->rows) {
        if (this->isLive(row, now) && !row.report->isLeaving)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> EntryTable::storePeers(Instant now) const
{
    std::vector<std::string> addresses = this->liveAddresses(now);
    std::erase_if(addresses, [this](const std::string &address) {
        return !this->rows.at(address).report->reachesStore;
    });
    return addresses;
}

bool EntryTable::countsForLimits(const Row &row, Instant now) const
{
    const auto silence =
            this->switches.countsSilent ? SilentEntryRetention : std::chrono::milliseconds(0);
    const bool isKnown = row.report.has_value() || this->switches.countsAnnounced;
    const bool isAfterPause = this->switches.countsAfterOwnPause && this->resumedAt != Instant()
                              && now < this->resumedAt + this->livenessTimeout();
    const Instant at = isAfterPause ? std::min(now, this->pausedAt) : now;
    return isKnown && at <= row.lastSeenAt + this->livenessTimeout() + silence;
}

void EntryTable::noteTime(Instant now)
{
    if (this->notedAt != Instant() && now >= this->notedAt + MinOwnPause) {
        this->pausedAt = this->notedAt;
        this->resumedAt = now;
    }
    this->notedAt = now;
}

std::uint32_t EntryTable::entryCount(Instant now) const
{
    std::uint32_t count = 1;
    for (const auto &[address, row] : this->rows)
        count += this->countsForLimits(row, now) ? 1 : 0;
    return count;
}

bool EntryTable::isAmongChosen(const std::string &backend, const std::string &ownAddress,
                               std::uint32_t count, Instant now) const
{
    if (!this->switches.choosesEntries)
        return true;
    const std::uint64_t ownWeight = rendezvousWeight(backend, ownAddress);
    std::uint32_t ahead = 0;
    for (const auto &[address, row] : this->rows) {
        if (this->countsForLimits(row, now) && rendezvousWeight(backend, address) > ownWeight)
            ++ahead;
    }
    return ahead < count;
}

std::uint32_t EntryTable::runningElsewhere(const std::string &backend, Instant now) const
{
    if (const auto sum = this->loadExchange.runningElsewhere(backend, now))
        return *sum;
    this->dropOldLoads(now);
    return this->reportedLoads.running(backend);
}

std::uint32_t EntryTable::waitingElsewhere(const std::string &service, Instant now) const
{
    if (const auto sum = this->loadExchange.waitingElsewhere(service, now))
        return *sum;
    this->dropOldLoads(now);
    return this->reportedLoads.waiting(service);
}

std::chrono::milliseconds EntryTable::loadAge(Instant now) const
{
    if (this->rows.empty())
        return std::chrono::milliseconds(0);
    if (this->loadExchange.isFresh(now))
        return LoadExchange::MeanAge;
    // A report is told at the end of its period, and holds for another one.
    return ReportSchedule::period(this->rows.size() + 1) / 2 + ReportDelay;
}

void EntryTable::setOwn(const EntryReport &facts)
{
    this->own = facts;
    LoadShare share;
    share.sender = facts.peerAddress;
    share.failureDomain = facts.failureDomain;
    share.incarnation = facts.incarnation;
    this->loadExchange.setOwn(share);
}

std::vector<std::string> EntryTable::relaysOf(const std::string &domain, Instant now) const
{
    // Relays are selected by peer address here.
    std::vector<InstanceRecord> instances;
    const auto add = [&](const EntryReport &report) {
        if (report.failureDomain != domain || report.isLeaving)
            return;
        InstanceRecord record;
        record.name = report.peerAddress;
        record.failureDomain = domain;
        instances.push_back(record);
    };
    add(this->own);
    for (const auto &[address, row] : this->rows) {
        if (this->isLive(row, now))
            add(*row.report);
    }
    return RelaySelector::relaysOf(domain, instances);
}

std::vector<std::string> EntryTable::domains(Instant now) const
{
    std::set<std::string> found{this->own.failureDomain};
    for (const auto &[address, row] : this->rows) {
        if (this->isLive(row, now))
            found.insert(row.report->failureDomain);
    }
    return {found.begin(), found.end()};
}

std::vector<const EntryReport *> EntryTable::recentReports(const std::string &domain,
                                                           Instant now) const
{
    std::vector<const EntryReport *> reports;
    for (const auto &[address, row] : this->rows) {
        if (row.report && row.report->failureDomain == domain
            && now <= row.lastSeenAt + this->maxLoadAge())
            reports.push_back(&*row.report);
    }
    return reports;
}

std::optional<std::string> EntryTable::findPeerAhead(StorePosition position,
                                                     const std::string &domain, Instant now,
                                                     const std::set<std::string> &avoided) const
{
    const auto preference = [&domain](const Row &row) {
        return std::make_tuple(row.report->known.generation, row.report->failureDomain == domain,
                               row.report->known.revision);
    };
    const Row *best = nullptr;
    for (const auto &[address, row] : this->rows) {
        if (this->isLive(row, now) && position < row.report->known && avoided.count(address) == 0
            && (best == nullptr || preference(row) > preference(*best)))
            best = &row;
    }
    return best == nullptr ? std::nullopt : std::optional(best->peerAddress);
}

bool EntryTable::watchesStore(const std::string &name, const std::string &domain, Instant now) const
{
    const auto recordOf = [](const std::string &entry, const std::string &failureDomain) {
        InstanceRecord record;
        record.name = entry;
        record.failureDomain = failureDomain;
        return record;
    };
    const auto timeout = std::max<std::chrono::milliseconds>(
            MinWatcherTimeout, WatcherPeriods * ReportSchedule::period(this->rows.size() + 1));
    std::vector<InstanceRecord> watchers = {recordOf(name, domain)};
    for (const auto &[address, row] : this->rows) {
        if (row.report && now < row.lastSeenAt + timeout && !row.report->isLeaving
            && (row.report->reachesStore || !this->switches.replacesCutWatchers))
            watchers.push_back(recordOf(row.report->name, row.report->failureDomain));
    }
    return RelaySelector::isRelay(name, domain, watchers);
}

void EntryTable::tick(Instant now)
{
    this->noteTime(now);
    this->dropOldLoads(now);
    // After a pause of this process the addresses stay for as long as they would have without it.
    if (this->resumedAt != Instant() && now < this->resumedAt + AddressRetention)
        return;
    std::erase_if(this->rows, [now](const auto &entry) {
        return now > entry.second.lastSeenAt + AddressRetention;
    });
}

} // namespace Nutmegrill
