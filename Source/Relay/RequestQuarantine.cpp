#include "Relay/RequestQuarantine.h"

#include "Core/Hash.h"
#include "Relay/RelayRequest.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Crashes that quarantine a trait. A trait under which requests ran well before may have been in
/// flight by chance and needs more; a rack that fails takes several servers with it at once.
constexpr CrashRecords::Rules Rules{2, 4, milliseconds(100)};
/// How long a broken connection waits for the sign that its backend server has ended.
constexpr std::chrono::seconds BreakRetention{10};
/// Successes older than this do not vouch for a trait; the lifetime of a crash record.
constexpr std::chrono::minutes SuccessLifetime{10};
constexpr std::size_t MaxSuccesses = 4096;
/// Time from the last crash to the first test of a trait; each further crash doubles it. The
/// longest is below the lifetime of a record, so that a crash in a test renews the record.
constexpr std::chrono::seconds FirstTestInterval{60};
constexpr std::chrono::seconds MaxTestInterval{300};
/// Time for which a test keeps further ones away: a group stalls before its requests break.
constexpr milliseconds TestTime{4000};
/// Reports are datagrams that may be lost.
constexpr std::uint32_t NewsRepeats = 3;
constexpr std::size_t MaxNews = 8;
constexpr milliseconds RepeatPeriod{500};
/// Another entry may write a record after each such period without one in the store.
constexpr milliseconds StorePeriod{1500};
constexpr milliseconds MinStoreTime{5000};
/// Records also change by expiry.
constexpr milliseconds RecountPeriod{1000};

bool contains(const RequestQuarantine::Traits &traits, std::uint64_t trait)
{
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

Instant nextTest(const CrashRecords::Crashes &crashes)
{
    Instant last;
    for (const auto &[id, at] : crashes)
        last = std::max(last, at);
    const auto doublings = crashes.size() - std::min(crashes.size(), Rules.crashes);
    return last
           + std::min<std::chrono::seconds>(MaxTestInterval, FirstTestInterval * (1U << doublings));
}

/// Whether each crash of \a part happened together with one of \a whole.
bool isSubset(const CrashRecords::Crashes &part, const CrashRecords::Crashes &whole)
{
    return std::all_of(part.begin(), part.end(), [&](const auto &crash) {
        return std::any_of(whole.begin(), whole.end(), [&](const auto &other) {
            return crash.second < other.second + Rules.spacing
                   && other.second < crash.second + Rules.spacing;
        });
    });
}

} // namespace

RequestQuarantine::RequestQuarantine() : records(CrashRecords::Switches{}, Rules) {}

RequestQuarantine::Traits RequestQuarantine::traitsOf(const std::string &service,
                                                      const RelayRequest &request)
{
    Traits traits;
    if (const auto content = contentTraitOf(request))
        traits.push_back(*content);
    for (const std::string &part : request.sharedParts)
        traits.push_back(hash64(service + '\n' + part));
    return traits;
}

std::optional<std::uint64_t> RequestQuarantine::contentTraitOf(const RelayRequest &request)
{
    return request.contentHash == 0 ? std::nullopt : std::optional(request.contentHash);
}

bool RequestQuarantine::recordBreak(Instant now, const std::string &incarnation,
                                    const Traits &traits, std::optional<std::uint64_t> repeated)
{
    const auto [found, isFirst] = this->broken.try_emplace(incarnation);
    Break &row = found->second;
    if (isFirst)
        row.at = now;
    row.traits.insert(traits.begin(), traits.end());
    if (repeated)
        row.repeated.insert(*repeated);
    if (!row.isEnd)
        return isFirst;
    for (const std::uint64_t trait : traits)
        this->countCrash(now, trait, incarnation, repeated == trait);
    return false;
}

void RequestQuarantine::recordAlive(const std::string &incarnation, Instant since)
{
    if (const auto found = this->broken.find(incarnation);
        found != this->broken.end() && !found->second.isEnd && found->second.at < since)
        this->broken.erase(found);
}

std::optional<std::size_t> RequestQuarantine::recordEnd(Instant now, const std::string &incarnation)
{
    const auto found = this->broken.find(incarnation);
    if (found == this->broken.end() || found->second.isEnd)
        return std::nullopt;
    Break &row = found->second;
    row.isEnd = true;
    return static_cast<std::size_t>(
            std::count_if(row.traits.begin(), row.traits.end(), [&](std::uint64_t trait) {
                return this->countCrash(now, trait, incarnation, row.repeated.count(trait) != 0);
            }));
}

void RequestQuarantine::recordUnknown(const std::string &incarnation)
{
    if (const auto found = this->broken.find(incarnation); found != this->broken.end())
        found->second.isChecked = true;
}

bool RequestQuarantine::awaitsCheck(Instant now, std::optional<std::uint64_t> content) const
{
    if (!content)
        return false;
    const auto unchecked =
            std::count_if(this->broken.begin(), this->broken.end(), [content](const auto &entry) {
                const Break &row = entry.second;
                return !row.isEnd && !row.isChecked && row.traits.count(*content) != 0;
            });
    return unchecked > 0
           && this->records.crashes(now, *content).size() + static_cast<std::size_t>(unchecked)
                      >= this->records.quarantineThreshold(*content);
}

std::vector<std::string> RequestQuarantine::unexplained() const
{
    std::vector<std::string> incarnations;
    for (const auto &[incarnation, row] : this->broken) {
        if (!row.isEnd)
            incarnations.push_back(incarnation);
    }
    return incarnations;
}

bool RequestQuarantine::countCrash(Instant now, std::uint64_t trait, const std::string &incarnation,
                                   bool isRepeat)
{
    if (isRepeat ? !this->records.addRepeat(now, trait, incarnation)
                 : !this->records.add(now, trait, incarnation))
        return false;
    this->recordLocalSuccess(now, trait);
    this->announce(trait, NewsRepeats);
    return true;
}

bool RequestQuarantine::recordLocalSuccess(Instant now, std::uint64_t trait)
{
    const auto found = this->successes.find(trait);
    return found != this->successes.end() && now < found->second + SuccessLifetime
           && this->records.recordSuccess(found->second, trait);
}

void RequestQuarantine::announce(std::uint64_t trait, std::uint32_t times)
{
    std::uint32_t &left = this->news[trait];
    left = std::max(left, times);
    ++this->changes;
}

void RequestQuarantine::recordSuccess(Instant now, const Traits &traits)
{
    for (const std::uint64_t trait : traits) {
        if (this->records.recordSuccess(now, trait))
            this->announce(trait, NewsRepeats);
        this->rememberSuccess(now, trait);
    }
}

void RequestQuarantine::rememberSuccess(Instant now, std::uint64_t trait)
{
    if (!this->successes.insert_or_assign(trait, now).second)
        return;
    this->successOrder.push_back(trait);
    if (this->successOrder.size() <= MaxSuccesses)
        return;
    this->successes.erase(this->successOrder.front());
    this->successOrder.pop_front();
}

bool RequestQuarantine::isSuspect(Instant now, const Traits &traits) const
{
    return std::any_of(traits.begin(), traits.end(), [this, now](std::uint64_t trait) {
        return !this->records.crashes(now, trait).empty()
               || std::any_of(this->broken.begin(), this->broken.end(), [trait](const auto &entry) {
                      return entry.second.traits.count(trait) != 0;
                  });
    });
}

bool RequestQuarantine::blocks(Instant now, const Traits &traits, const IsTester &isTester) const
{
    for (const std::uint64_t trait : traits) {
        if (!this->records.isQuarantined(now, trait))
            continue;
        const CrashRecords::Crashes crashes = this->records.crashes(now, trait);
        const bool ranWell = this->records.hasRunWell(now, trait);
        bool isExplained = false;
        bool isUndecided = false;
        for (const std::uint64_t other : this->quarantined) {
            if (contains(traits, other))
                continue;
            const CrashRecords::Crashes others = this->records.crashes(now, other);
            if (!isSubset(crashes, others))
                continue;
            isUndecided = true;
            isExplained = isExplained || others.size() > crashes.size()
                          || (ranWell && !this->records.hasRunWell(now, other));
        }
        if (isExplained)
            continue;
        const auto tested = this->testedUntil.find(trait);
        const bool mayTest = (isUndecided || now >= nextTest(crashes))
                             && (tested == this->testedUntil.end() || now >= tested->second)
                             && isTester(trait);
        if (!mayTest)
            return true;
    }
    return false;
}

bool RequestQuarantine::recordSent(Instant now, const Traits &traits)
{
    bool isTest = false;
    for (const std::uint64_t trait : traits) {
        if (!this->records.isQuarantined(now, trait))
            continue;
        this->testedUntil[trait] = now + TestTime;
        isTest = true;
    }
    return isTest;
}

void RequestQuarantine::fillReports(Instant now, std::vector<CrashReport> &reports)
{
    // What has been reported least comes first, so that all news reach the others soon.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> order;
    order.reserve(this->news.size());
    for (const auto &[trait, left] : this->news)
        order.emplace_back(left, trait);
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), MaxNews));
    for (const auto &[left, trait] : order) {
        reports.push_back(this->records.report(now, trait));
        if (--this->news.at(trait) == 0)
            this->news.erase(trait);
    }
    // Repeats one record in turn, for entries that have missed it or have just started.
    if (this->quarantined.empty() || now < this->nextRepeatAt)
        return;
    this->nextRepeatAt = now + RepeatPeriod;
    const auto next = std::upper_bound(this->quarantined.begin(), this->quarantined.end(),
                                       this->lastRepeated);
    this->lastRepeated = next == this->quarantined.end() ? this->quarantined.front() : *next;
    reports.push_back(this->records.report(now, this->lastRepeated));
}

void RequestQuarantine::merge(Instant now, const CrashReport &report)
{
    if (!this->records.mergeReport(now, report))
        return;
    if (this->recordLocalSuccess(now, report.fingerprint))
        this->announce(report.fingerprint, NewsRepeats);
    // An entry out of reach of the reporting one learns the news from this one.
    this->announce(report.fingerprint, 1);
}

void RequestQuarantine::recordStored(Instant now, const CrashReport &report, std::uint64_t revision)
{
    StoredRow &row = this->stored[report.fingerprint];
    row.revision = revision;
    row.isQuarantined = report.crashes.size()
                        >= (report.sinceSuccess ? Rules.crashesAfterSuccess : Rules.crashes);
    this->merge(now, report);
}

std::vector<RequestQuarantine::StoreWrite>
RequestQuarantine::takeStoreWrites(Instant now, const IsWriter &isWriter)
{
    std::vector<StoreWrite> writes;
    for (const std::uint64_t trait : this->quarantined)
        this->stored.try_emplace(trait);
    for (auto &[trait, row] : this->stored) {
        if (this->records.isQuarantined(now, trait) == row.isQuarantined) {
            row.differsSince = NoDeadline;
            continue;
        }
        row.differsSince = std::min(row.differsSince, now);
        const auto writers = static_cast<std::uint32_t>(1 + (now - row.differsSince) / StorePeriod);
        CrashReport report = this->records.report(now, trait);
        // A record that is about to expire also expires in the store.
        if (now < row.notBefore || report.remaining < MinStoreTime || !isWriter(trait, writers))
            continue;
        row.notBefore = now + StorePeriod;
        writes.push_back({std::move(report), row.revision});
    }
    return writes;
}

void RequestQuarantine::tick(Instant now)
{
    this->records.tick(now);
    if (this->countedChanges != this->changes || now >= this->quarantinedUntil) {
        this->countedChanges = this->changes;
        this->quarantinedUntil = now + RecountPeriod;
        this->quarantined = this->records.quarantined(now);
    }
    std::erase_if(this->broken,
                  [now](const auto &row) { return now >= row.second.at + BreakRetention; });
    std::erase_if(this->testedUntil, [now](const auto &row) { return now >= row.second; });
    std::erase_if(this->stored, [this, now](const auto &row) {
        return row.second.revision == 0 && !this->records.isQuarantined(now, row.first);
    });
}

} // namespace Nutmegrill
