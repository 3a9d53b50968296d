#include "Relay/BackendRoster.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

/// Live backend servers whose rows expired during an outage of the store are registered again
/// within about two seconds of its return.
constexpr std::chrono::milliseconds ReregistrationTime{2200};
/// How long a removed row is kept, so that its open requests can end.
constexpr std::chrono::seconds RemovedRowRetention{30};

} // namespace

bool BackendRoster::update(Instant now, const BackendRecord &record)
{
    std::uint64_t &latest = this->latestIncarnation[record.address];
    latest = std::max(latest, record.incarnation);
    const auto found = this->table.find(record.id);
    if (found == this->table.end()) {
        Row row;
        row.record = record;
        row.unit = record.service;
        row.coldUntil = now + record.coldLeft;
        this->table.emplace(record.id, row);
        return true;
    }
    Row &row = found->second;
    const bool restarted =
            row.record.incarnation != record.incarnation || row.record.address != record.address;
    const bool changed = !(row.record == record) || row.removedAt.has_value();
    if (restarted) {
        row.health = {};
        row.saysItLeaves = false;
        row.pace = 1;
        row.paceUntil = Instant();
    }
    if (restarted || row.record.service != record.service) {
        row.unit = record.service;
        row.isGroupKnown = false;
        row.nextGroupQueryAt = now;
    }
    if (row.record.coldLeft != record.coldLeft || restarted)
        row.coldUntil = now + record.coldLeft;
    row.record = record;
    row.removedAt.reset();
    row.usableUntil = NoDeadline;
    return changed;
}

bool BackendRoster::updateDoubtful(Instant now, const BackendRecord &record)
{
    const Row *row = this->find(record.id);
    const bool isKnownStart = row != nullptr && row->record.incarnation == record.incarnation;
    if (isKnownStart && (row->removedAt || row->record.isLeaving))
        return false;
    return this->update(now, record);
}

Instant BackendRoster::remove(Instant now, const std::string &id)
{
    Row *row = this->find(id);
    if (row == nullptr)
        return now;
    if (!row->removedAt) {
        row->removedAt = now;
        row->usableUntil = std::max(now, this->reregistrationUntil);
    }
    return row->usableUntil;
}

void BackendRoster::removeUnreadable(Instant now, const std::string &id)
{
    Row *row = this->find(id);
    if (row == nullptr)
        return;
    row->removedAt = row->removedAt.value_or(now);
    row->usableUntil = std::min(now, row->usableUntil);
}

void BackendRoster::recordGroup(const std::string &address, const std::string &group,
                                Instant nextQueryAt)
{
    for (auto &[id, row] : this->table) {
        if (row.record.address != address || this->isSuperseded(row))
            continue;
        row.unit = row.record.service + "/" + group;
        row.isGroupKnown = true;
        row.nextGroupQueryAt = nextQueryAt;
    }
}

bool BackendRoster::recordPace(const std::string &address, double pace, Instant until)
{
    bool isNews = false;
    for (auto &[id, row] : this->table) {
        if (row.record.address != address || this->isSuperseded(row) || until < row.paceUntil)
            continue;
        isNews = isNews || row.pace != pace;
        row.pace = pace;
        row.paceUntil = until;
    }
    return isNews;
}

void BackendRoster::storeReturned(Instant at)
{
    this->reregistrationUntil = std::max(this->reregistrationUntil, at + ReregistrationTime);
}

void BackendRoster::tick(Instant now)
{
    std::erase_if(this->table, [now](const auto &entry) {
        return entry.second.removedAt && now > *entry.second.removedAt + RemovedRowRetention;
    });
    for (auto &[id, row] : this->table)
        row.pace = row.paceAt(now);
    std::erase_if(this->latestIncarnation, [this](const auto &entry) {
        return std::none_of(this->table.begin(), this->table.end(), [&](const auto &row) {
            return row.second.record.address == entry.first;
        });
    });
}

bool BackendRoster::recordLeaving(const std::string &id, std::uint64_t incarnation)
{
    Row *row = this->find(id);
    return row != nullptr && row->record.incarnation == incarnation
           && !std::exchange(row->saysItLeaves, true);
}

BackendRoster::Row *BackendRoster::find(const std::string &id)
{
    const auto found = this->table.find(id);
    return found == this->table.end() ? nullptr : &found->second;
}

bool BackendRoster::isSuperseded(const Row &row) const
{
    const auto found = this->latestIncarnation.find(row.record.address);
    return found != this->latestIncarnation.end() && row.record.incarnation < found->second;
}

bool BackendRoster::isEligible(const Row &row, Instant now) const
{
    return !row.record.isLeaving && !row.saysItLeaves && !this->isSuperseded(row)
           && now < row.usableUntil && this->domainsTakenOut.count(row.record.failureDomain) == 0;
}

} // namespace Nutmegrill
