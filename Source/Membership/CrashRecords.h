#pragma once

#include "Core/Time.h"
#include "Membership/CrashReport.h"
#include "Messages/PeerMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Fingerprints of requests, or of parts of requests, that were running when a backend server
/// crashed. One crash marks a fingerprint as suspect, several crashes quarantine it; both states
/// expire at a deadline.
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

    struct Rules
    {
        /// Crashes that quarantine a fingerprint.
        std::size_t crashes = 2;
        /// The same for a fingerprint under which a request has run well before.
        std::size_t crashesAfterSuccess = 2;
        /// Crashes closer together than this have one cause, such as a lost rack, and count once.
        /// This does not hold for a repeat, which was sent because of the crash before.
        std::chrono::milliseconds spacing{0};
    };

    using Crashes = std::map<std::string, Instant>;

    CrashRecords() : CrashRecords(Switches{}) {}
    explicit CrashRecords(Switches switches) : CrashRecords(switches, Rules{}) {}
    CrashRecords(Switches switches, Rules rules) : switches(switches), rules(rules) {}

    /// Adds one crash of a backend server. \a crashId identifies the crash, so that duplicate
    /// notices count once. Returns whether the crash is new.
    bool add(Instant now, std::uint64_t fingerprint, const std::string &crashId);
    /// The same for a request that had broken at another backend server before.
    bool addRepeat(Instant now, std::uint64_t fingerprint, const std::string &crashId);

    /// Merges a peer's notice. Only a crash that is new here moves the deadline. Returns whether
    /// the notice contained a new crash and must be forwarded.
    bool merge(Instant now, const PeerMessage::CrashNotice &notice);

    /// Merges what a peer or the store reports. Returns whether the report contained news.
    bool mergeReport(Instant now, const CrashReport &report);

    bool isSuspect(Instant now, std::uint64_t fingerprint) const;
    bool isQuarantined(Instant now, std::uint64_t fingerprint) const;

    /// Clears a suspect whose request ran to completion. A quarantine stays, and a peer that knows
    /// of a second crash still quarantines the fingerprint.
    void clearSuspect(std::uint64_t fingerprint);

    /// A request with the fingerprint ran well at the given time: crashes until then had another
    /// cause and no longer count. Returns whether that changes the decision about the fingerprint.
    bool recordSuccess(Instant at, std::uint64_t fingerprint);
    bool hasRunWell(Instant now, std::uint64_t fingerprint) const;

    /// Number of crashes that quarantine the fingerprint.
    std::size_t quarantineThreshold(std::uint64_t fingerprint) const;

    /// The crashes that count, with their times.
    Crashes crashes(Instant now, std::uint64_t fingerprint) const;
    std::vector<std::uint64_t> quarantined(Instant now) const;
    CrashReport report(Instant now, std::uint64_t fingerprint) const;

    /// Returns the record as a notice for peers.
    PeerMessage::CrashNotice notice(Instant now, std::uint64_t fingerprint) const;

    /// Removes records that expired at least one record lifetime ago.
    void tick(Instant now);

    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        Crashes crashes;
        /// Ids of the crashes by repeats.
        std::set<std::string> repeats;
        /// Crashes that no longer count. They are kept so that a delayed copy of a notice, whose
        /// deadline moves a little with each peer that forwards it, does not revive the record.
        std::set<std::string> endedIds;
        std::optional<Instant> ranWellAt;
        Instant deadline;
    };

    Record &findOrCreate(Instant now, std::uint64_t fingerprint);
    void expire(Record &record) const;
    bool addObserved(Instant now, std::uint64_t fingerprint, const CrashReport::Crash &crash);
    bool addCrash(Record &record, const CrashReport::Crash &crash, Instant at) const;
    static bool recordSuccess(Record &record, Instant at);
    bool isQuarantined(const Record &record) const;
    std::size_t quarantineThreshold(const Record &record) const;
    void evictRecord();
    const Record *find(Instant now, std::uint64_t fingerprint) const;

    Switches switches;
    Rules rules;
    std::map<std::uint64_t, Record> records;
};

} // namespace Nutmegrill
