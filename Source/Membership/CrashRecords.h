#pragma once

#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Nutmegrill {

/// Fingerprints of requests that were running when a backend server crashed. One crash marks a
/// fingerprint as suspect, two crashes quarantine it; both states expire at a deadline.
class CrashRecords
{
public:
    /// Mechanisms that tests disable to show that a property test detects their absence.
    struct Switches
    {
        /// A merged notice moves the deadline only if it contains a new crash.
        bool fixedDeadline = true;
        /// The ids of crashes that no longer count are kept, see Record::endedIds.
        bool rememberEnded = true;
    };

    CrashRecords() : CrashRecords(Switches{}) {}
    explicit CrashRecords(Switches switches) : switches(switches) {}

    /// Adds one crash of a backend server. \a crashId identifies the crash, so that duplicate
    /// notices count once. Returns whether the crash is new.
    bool add(Instant now, std::uint64_t fingerprint, const std::string &crashId);

    /// Merges a peer's notice. Only a crash that is new here moves the deadline. Returns whether
    /// the notice contained a new crash and must be forwarded.
    bool merge(Instant now, const PeerMessage::CrashNotice &notice);

    bool isSuspect(Instant now, std::uint64_t fingerprint) const;
    bool isQuarantined(Instant now, std::uint64_t fingerprint) const;

    /// Clears a suspect whose request ran to completion. A quarantine stays, and a peer that knows
    /// of a second crash still quarantines the fingerprint.
    void clearSuspect(std::uint64_t fingerprint);

    /// Returns the record as a notice for peers.
    PeerMessage::CrashNotice notice(Instant now, std::uint64_t fingerprint) const;

    /// Removes records that expired at least one record lifetime ago.
    void tick(Instant now);

    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        std::set<std::string> crashIds;
        /// Crashes that no longer count. They are kept so that a delayed copy of a notice, whose
        /// deadline moves a little with each peer that forwards it, does not revive the record.
        std::set<std::string> endedIds;
        Instant deadline;
    };

    Record &findOrCreate(Instant now, std::uint64_t fingerprint);
    void expire(Record &record) const;
    void evictRecord();
    const Record *find(Instant now, std::uint64_t fingerprint) const;

    Switches switches;
    std::map<std::uint64_t, Record> records;
};

} // namespace Nutmegrill
