#include "Membership/CrashRecords.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::minutes RecordLifetime(10);
// Memory limits. A few crashes already quarantine a fingerprint, and one crash adds at most the
// running requests of one backend server.
constexpr std::size_t MaxCrashIds = 8;
constexpr std::size_t MaxRecords = 4096;

} // namespace

bool CrashRecords::add(Instant now, std::uint64_t fingerprint, const std::string &crashId)
{
    return this->addObserved(now, fingerprint, {crashId, {}, false});
}

bool CrashRecords::addRepeat(Instant now, std::uint64_t fingerprint, const std::string &crashId)
{
    return this->addObserved(now, fingerprint, {crashId, {}, true});
}

bool CrashRecords::addObserved(Instant now, std::uint64_t fingerprint,
                               const CrashReport::Crash &crash)
{
    Record &record = this->findOrCreate(now, fingerprint);
    if (record.crashes.count(crash.id) != 0 || record.endedIds.count(crash.id) != 0)
        return false;
    record.deadline = std::max(record.deadline, now + RecordLifetime);
    return this->addCrash(record, crash, now);
}

bool CrashRecords::addCrash(Record &record, const CrashReport::Crash &crash, Instant at) const
{
    const bool isOld =
            record.endedIds.count(crash.id) != 0 || (record.ranWellAt && at <= *record.ranWellAt);
    const bool isCounted =
            !crash.isRepeat
            && std::any_of(record.crashes.begin(), record.crashes.end(), [&](const auto &other) {
                   return record.repeats.count(other.first) == 0
                          && at < other.second + this->rules.spacing
                          && other.second < at + this->rules.spacing;
               });
    if (isOld || isCounted || !record.crashes.emplace(crash.id, at).second)
        return false;
    if (crash.isRepeat)
        record.repeats.insert(crash.id);
    if (record.crashes.size() <= MaxCrashIds)
        return true;
    // The latest crashes decide when the fingerprint is tested again.
    const auto earliest = std::min_element(
            record.crashes.begin(), record.crashes.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    const bool isKept = earliest->first != crash.id;
    record.repeats.erase(earliest->first);
    record.crashes.erase(earliest);
    return isKept;
}

bool CrashRecords::merge(Instant now, const PeerMessage::CrashNotice &notice)
{
    if (notice.crashIds.empty() || notice.remaining <= std::chrono::milliseconds(0))
        return false;
    Record &record = this->findOrCreate(now, notice.fingerprint);
    const bool isActive = !record.crashes.empty();
    const bool quarantines = notice.crashIds.size() >= this->rules.crashes;
    bool isNew = false;
    for (const std::string &crashId : notice.crashIds) {
        const bool ended = record.endedIds.count(crashId) != 0;
        // A crash that was cleared here counts again when the peer knows of a second one, so that
        // both sides agree on the quarantine.
        if (record.crashes.size() < MaxCrashIds && (!ended || (isActive && quarantines)))
            isNew = record.crashes.emplace(crashId, now).second && !ended ? true : isNew;
    }
    if (isNew || !this->switches.fixedDeadline)
        record.deadline = std::max(
                record.deadline,
                now + std::min<std::chrono::milliseconds>(notice.remaining, RecordLifetime));
    return isNew;
}

bool CrashRecords::mergeReport(Instant now, const CrashReport &report)
{
    if (report.remaining <= std::chrono::milliseconds(0))
        return false;
    Record &record = this->findOrCreate(now, report.fingerprint);
    bool isNew = report.sinceSuccess && recordSuccess(record, now - *report.sinceSuccess);
    for (const CrashReport::Crash &crash : report.crashes)
        isNew = this->addCrash(record, crash, now - crash.age) || isNew;
    if (isNew)
        record.deadline = std::max(
                record.deadline,
                now + std::min<std::chrono::milliseconds>(report.remaining, RecordLifetime));
    return isNew;
}

bool CrashRecords::isSuspect(Instant now, std::uint64_t fingerprint) const
{
    return this->find(now, fingerprint) != nullptr;
}

bool CrashRecords::isQuarantined(Instant now, std::uint64_t fingerprint) const
{
    const Record *record = this->find(now, fingerprint);
    return record != nullptr && this->isQuarantined(*record);
}

bool CrashRecords::isQuarantined(const Record &record) const
{
    return record.crashes.size() >= this->quarantineThreshold(record);
}

std::size_t CrashRecords::quarantineThreshold(const Record &record) const
{
    return record.ranWellAt ? this->rules.crashesAfterSuccess : this->rules.crashes;
}

std::size_t CrashRecords::quarantineThreshold(std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    return found == this->records.end() ? this->rules.crashes
                                        : this->quarantineThreshold(found->second);
}

void CrashRecords::clearSuspect(std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end() && !this->isQuarantined(found->second))
        this->expire(found->second);
}

bool CrashRecords::recordSuccess(Instant at, std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    return found != this->records.end() && recordSuccess(found->second, at);
}

bool CrashRecords::recordSuccess(Record &record, Instant at)
{
    const bool isFirst = !record.ranWellAt;
    record.ranWellAt = std::max(record.ranWellAt.value_or(at), at);
    const bool isShorter =
            std::erase_if(record.crashes,
                          [&](const auto &crash) { return crash.second <= *record.ranWellAt; })
            > 0;
    std::erase_if(record.repeats,
                  [&](const std::string &id) { return record.crashes.count(id) == 0; });
    return isShorter || isFirst;
}

bool CrashRecords::hasRunWell(Instant now, std::uint64_t fingerprint) const
{
    const Record *record = this->find(now, fingerprint);
    return record != nullptr && record->ranWellAt.has_value();
}

CrashRecords::Crashes CrashRecords::crashes(Instant now, std::uint64_t fingerprint) const
{
    const Record *record = this->find(now, fingerprint);
    return record == nullptr ? Crashes() : record->crashes;
}

std::vector<std::uint64_t> CrashRecords::quarantined(Instant now) const
{
    std::vector<std::uint64_t> fingerprints;
    for (const auto &[fingerprint, record] : this->records) {
        if (this->isQuarantined(now, fingerprint))
            fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

CrashReport CrashRecords::report(Instant now, std::uint64_t fingerprint) const
{
    using std::chrono::milliseconds;
    CrashReport report;
    report.fingerprint = fingerprint;
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.deadline <= now)
        return report;
    const Record &record = found->second;
    for (const auto &[id, at] : record.crashes)
        report.crashes.push_back({id, std::chrono::duration_cast<milliseconds>(now - at),
                                  record.repeats.count(id) != 0});
    if (record.ranWellAt)
        report.sinceSuccess = std::chrono::duration_cast<milliseconds>(now - *record.ranWellAt);
    report.remaining = std::chrono::duration_cast<milliseconds>(record.deadline - now);
    return report;
}

PeerMessage::CrashNotice CrashRecords::notice(Instant now, std::uint64_t fingerprint) const
{
    PeerMessage::CrashNotice notice;
    notice.fingerprint = fingerprint;
    if (const Record *record = this->find(now, fingerprint)) {
        for (const auto &[id, at] : record->crashes)
            notice.crashIds.push_back(id);
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
    for (const auto &[id, at] : record.crashes) {
        if (this->switches.rememberEnded)
            record.endedIds.insert(id);
    }
    record.crashes.clear();
    record.repeats.clear();
    while (record.endedIds.size() > MaxCrashIds)
        record.endedIds.erase(record.endedIds.begin());
}

void CrashRecords::evictRecord()
{
    // Evicts suspects before quarantined fingerprints, and records with earlier deadlines first.
    const auto rank = [this](const auto &row) {
        return std::pair(this->isQuarantined(row.second), row.second.deadline);
    };
    this->records.erase(std::min_element(
            this->records.begin(), this->records.end(),
            [rank](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

const CrashRecords::Record *CrashRecords::find(Instant now, std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.deadline <= now
        || found->second.crashes.empty())
        return nullptr;
    return &found->second;
}

} // namespace Nutmegrill
