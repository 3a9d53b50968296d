#pragma once

#include "Core/Time.h"
#include "Membership/CrashRecords.h"
#include "Membership/CrashReport.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

struct RelayRequest;

/// Keeps requests that crash backend servers away from them. A request is known by its traits: its
/// content and the shared parts of its prompt. A crash counts against the traits of all requests
/// that had not made progress when it happened; a request that runs well clears its traits. The
/// entries exchange their records, so each of them counts every crash.
class RequestQuarantine
{
public:
    using Traits = std::vector<std::uint64_t>;
    /// Whether this entry is the one that may test a trait.
    using IsTester = std::function<bool(std::uint64_t trait)>;

    RequestQuarantine();

    static Traits traitsOf(const std::string &service, const RelayRequest &request);

    /// The content of a request alone, whichever service it is sent to; none if it is unknown.
    static std::optional<std::uint64_t> contentTraitOf(const RelayRequest &request);

    /// The connection of an attempt broke before it made progress. \a incarnation names one start
    /// of a backend server. \a repeated is the content of a request that had broken at another
    /// backend server before. Returns whether it has to be checked that this start has ended.
    bool recordBreak(Instant now, const std::string &incarnation, const Traits &traits,
                     std::optional<std::uint64_t> repeated = std::nullopt);
    /// The backend server accepted a connection or answered a request that began at \a since.
    /// Breaks before that had another reason.
    void recordAlive(const std::string &incarnation, Instant since);
    /// The start of the backend server has ended: the breaks were a crash. Returns the number of
    /// traits that it counts against; nothing without breaks.
    std::optional<std::size_t> recordEnd(Instant now, const std::string &incarnation);
    /// The check found out nothing.
    void recordUnknown(const std::string &incarnation);
    /// Whether a check is under way that decides whether the content of a request is quarantined.
    /// Shared parts do not wait: sound requests have them too.
    bool awaitsCheck(Instant now, std::optional<std::uint64_t> content) const;
    /// Starts of backend servers with breaks that are not explained yet.
    std::vector<std::string> unexplained() const;

    /// A request made progress or was answered.
    void recordSuccess(Instant now, const Traits &traits);

    /// Whether a request may not be sent. Traits whose crashes all happened under another
    /// quarantined trait do not block. Single requests of one entry are let through as a test when
    /// it is not decided which of two traits is the cause, and at growing intervals after a crash.
    bool blocks(Instant now, const Traits &traits, const IsTester &isTester) const;
    /// Whether a crash or a break that is not explained yet counts against one of the traits.
    bool isSuspect(Instant now, const Traits &traits) const;
    /// A request was sent. Returns whether it tests a quarantined trait.
    bool recordSent(Instant now, const Traits &traits);

    bool hasNews() const { return !this->news.empty(); }
    /// Adds news, and now and then the record of a quarantined trait, for the other entries.
    void fillReports(Instant now, std::vector<CrashReport> &reports);
    void merge(Instant now, const CrashReport &report);

    struct StoreWrite
    {
        CrashReport report;
        /// Revision of the record in the store; 0 if there is none.
        std::uint64_t revision = 0;
    };
    /// Whether this entry is among the given number of entries that may write a trait.
    using IsWriter = std::function<bool(std::uint64_t trait, std::uint32_t writers)>;

    /// The store has a record of a trait.
    void recordStored(Instant now, const CrashReport &report, std::uint64_t revision);
    /// The store came back from a copy: what is in it has to be learned again.
    void forgetStored() { this->stored.clear(); }
    /// The record of a trait was removed from the store.
    void recordUnstored(std::uint64_t trait) { this->stored.erase(trait); }
    /// Records that this entry has to write to the store now: those of quarantined traits, which
    /// outlast a restart of all entries there, and those of traits that no longer are.
    std::vector<StoreWrite> takeStoreWrites(Instant now, const IsWriter &isWriter);

    /// Changes whenever a trait may have become quarantined.
    std::uint64_t generation() const { return this->changes; }
    std::size_t size() const { return this->records.size(); }

    void tick(Instant now);

private:
    struct Break
    {
        Instant at;
        std::set<std::uint64_t> traits;
        /// The traits of requests that had broken before.
        std::set<std::uint64_t> repeated;
        bool isEnd = false;
        bool isChecked = false;
    };

    struct StoredRow
    {
        std::uint64_t revision = 0;
        bool isQuarantined = false;
        /// Since when the store differs from this entry; NoDeadline while it does not.
        Instant differsSince = NoDeadline;
        Instant notBefore;
    };

    bool countCrash(Instant now, std::uint64_t trait, const std::string &incarnation,
                    bool isRepeat);
    /// Applies what this entry itself has seen run well to the record of a trait.
    bool recordLocalSuccess(Instant now, std::uint64_t trait);
    void rememberSuccess(Instant now, std::uint64_t trait);
    void announce(std::uint64_t trait, std::uint32_t times);

    CrashRecords records;
    /// By incarnation.
    std::map<std::string, Break> broken;
    /// When a request with the trait last ran well here; the oldest rows are dropped first.
    std::map<std::uint64_t, Instant> successes;
    std::deque<std::uint64_t> successOrder;
    std::map<std::uint64_t, Instant> testedUntil;
    /// In how many further reports a changed record is included.
    std::map<std::uint64_t, std::uint32_t> news;
    std::uint64_t lastRepeated = 0;
    Instant nextRepeatAt;
    std::map<std::uint64_t, StoredRow> stored;
    /// Quarantined traits at the last tick, in ascending order.
    std::vector<std::uint64_t> quarantined;
    Instant quarantinedUntil;
    std::uint64_t changes = 0;
    std::uint64_t countedChanges = 0;
};

} // namespace Nutmegrill
