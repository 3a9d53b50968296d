#pragma once

#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Nutmegrill {

/// Fingerprints of requests that were running when a backend server crashed. One crash makes a
/// fingerprint a suspect, two crashes quarantine it; both end by deadline.
class CrashRecords
{
public:
    /// Mechanisms that tests turn off to show that their proofs notice.
    struct Switches
    {
        bool fixedDeadline = true;
        bool rememberEnded = true;
    };

    CrashRecords() : CrashRecords(Switches{}) {}
    explicit CrashRecords(Switches switches) : switches(switches) {}

    /// Adds one crash of a backend server. \a crashId names the crash, so that a notice that
    /// arrives twice counts once. Returns whether the crash is new.
    bool add(Instant now, std::uint64_t fingerprint, const std::string &crashId);

    /// Merges a peer's notice. Only a crash that is new here moves the deadline. Returns whether it
    /// brought something new, to be passed on.
    bool merge(Instant now, const PeerMessage::CrashNotice &notice);

    bool isSuspect(Instant now, std::uint64_t fingerprint) const;
    bool isQuarantined(Instant now, std::uint64_t fingerprint) const;

    /// The request ran to its end, so it is no longer suspected. A quarantine stays, and a peer
    /// that knows of a second crash quarantines it still.
    void clearSuspect(std::uint64_t fingerprint);

    /// The record as a notice for peers.
    PeerMessage::CrashNotice notice(Instant now, std::uint64_t fingerprint) const;

    /// Drops records some time past their deadline.
    void tick(Instant now);

    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        std::set<std::string> crashIds;
        /// Crashes that no longer count. They are remembered so that a copy of the notice, which
        /// ends a little later at each peer that passes it on, does not begin them anew.
        std::set<std::string> endedIds;
        Instant deadline;
    };

    Record &open(Instant now, std::uint64_t fingerprint);
    void end(Record &record) const;
    void makeRoom();
    const Record *find(Instant now, std::uint64_t fingerprint) const;

    Switches switches;
    std::map<std::uint64_t, Record> records;
};

} // namespace Nutmegrill
