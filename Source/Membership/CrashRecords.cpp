#include "Membership/CrashRecords.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

constexpr std::chrono::minutes RecordLifetime(10);
constexpr std::size_t QuarantineCrashes = 2;

} // namespace

bool CrashRecords::add(Instant now, std::uint64_t fingerprint, const std::string &crashId)
{
    Record &record = this->records[fingerprint];
    record.deadline = std::max(record.deadline, now + RecordLifetime);
    return record.crashIds.insert(crashId).second;
}

bool CrashRecords::merge(Instant now, const PeerMessage::CrashNotice &notice)
{
    Record &record = this->records[notice.fingerprint];
    const std::size_t before = record.crashIds.size();
    record.crashIds.insert(notice.crashIds.begin(), notice.crashIds.end());
    record.deadline = std::max(record.deadline,
                               now + std::min<Instant::duration>(notice.remaining, RecordLifetime));
    return record.crashIds.size() > before;
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
        this->records.erase(found);
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
    std::erase_if(this->records, [now](const auto &row) { return row.second.deadline <= now; });
}

const CrashRecords::Record *CrashRecords::find(Instant now, std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.deadline <= now)
        return nullptr;
    return &found->second;
}

} // namespace Nutmegrill
