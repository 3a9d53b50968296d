#include "Membership/CrashRecords.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::minutes RecordLifetime(10);
constexpr std::size_t QuarantineCrashes = 2;
// Memory limits. Two crashes already quarantine a fingerprint, and one crash adds at most the
// running requests of one backend server.
constexpr std::size_t MaxCrashIds = 8;
constexpr std::size_t MaxRecords = 4096;

} // namespace

bool CrashRecords::add(Instant now, std::uint64_t fingerprint, const std::string &crashId)
{
    Record &record = this->findOrCreate(now, fingerprint);
    if (record.crashIds.count(crashId) != 0 || record.endedIds.count(crashId) != 0)
        return false;
    record.deadline = std::max(record.deadline, now + RecordLifetime);
    return record.crashIds.size() < MaxCrashIds && record.crashIds.insert(crashId).second;
}

bool CrashRecords::merge(Instant now, const PeerMessage::CrashNotice &notice)
{
    if (notice.crashIds.empty() || notice.remaining <= std::chrono::milliseconds(0))
        return false;
    Record &record = this->findOrCreate(now, notice.fingerprint);
    const bool isActive = !record.crashIds.empty();
    const bool quarantines = notice.crashIds.size() >= QuarantineCrashes;
    bool isNew = false;
    for (const std::string &crashId : notice.crashIds) {
        const bool ended = record.endedIds.count(crashId) != 0;
        // A crash that was cleared here counts again when the peer knows of a second one, so that
        // both sides agree on the quarantine.
        if (record.crashIds.size() < MaxCrashIds && (!ended || (isActive && quarantines)))
            isNew = record.crashIds.insert(crashId).second && !ended ? true : isNew;
    }
    if (isNew || !this->switches.fixedDeadline)
        record.deadline = std::max(
                record.deadline,
                now + std::min<std::chrono::milliseconds>(notice.remaining, RecordLifetime));
    return isNew;
}

bool CrashRecords::isSuspect(Instant now, std::uint64_t fingerprint) const
{
    return this->find(now, fingerprint) != nullptr;
}

bool CrashRecords::isQuarantined(Instant now, std::uint64_t fingerprint) const
{
    const Record *record = this->find(now, fingerprint);
    return record != nullptr && record->crashIds.size() >= QuarantineCrashes;
}

void CrashRecords::clearSuspect(std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end() && found->second.crashIds.size() < QuarantineCrashes)
        this->expire(found->second);
}

PeerMessage::CrashNotice CrashRecords::notice(Instant now, std::uint64_t fingerprint) const
{
    PeerMessage::CrashNotice notice;
    notice.fingerprint = fingerprint;
    if (const Record *record = this->find(now, fingerprint)) {
        notice.crashIds.assign(record->crashIds.begin(), record->crashIds.end());
        notice.remaining =
                std::chrono::duration_cast<std::chrono::milliseconds>(record->deadline - now);
    }
    return notice;
}

void CrashRecords::tick(Instant now)
{
    const auto kept = this->switches.rememberEnded ? Instant::duration(RecordLifetime)
                                                   : Instant::duration::zero();
    std::erase_if(this->records,
                  [now, kept](const auto &row) { return row.second.deadline + kept <= now; });
}

CrashRecords::Record &CrashRecords::findOrCreate(Instant now, std::uint64_t fingerprint)
{
    if (this->records.size() >= MaxRecords && this->records.count(fingerprint) == 0)
        this->evictRecord();
    Record &record = this->records[fingerprint];
    if (record.deadline <= now)
        this->expire(record);
    return record;
}

void CrashRecords::expire(Record &record) const
{
    if (this->switches.rememberEnded)
        record.endedIds.merge(record.crashIds);
    record.crashIds.clear();
    while (record.endedIds.size() > MaxCrashIds)
        record.endedIds.erase(record.endedIds.begin());
}

void CrashRecords::evictRecord()
{
    // Evicts suspects before quarantined fingerprints, and records with earlier deadlines first.
    const auto rank = [](const auto &row) {
        return std::pair(row.second.crashIds.size() >= QuarantineCrashes, row.second.deadline);
    };
    this->records.erase(std::min_element(
            this->records.begin(), this->records.end(),
            [rank](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

const CrashRecords::Record *CrashRecords::find(Instant now, std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.deadline <= now
        || found->second.crashIds.empty())
        return nullptr;
    return &found->second;
}

} // namespace Nutmegrill
