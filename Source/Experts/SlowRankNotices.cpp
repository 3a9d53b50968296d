#include "Experts/SlowRankNotices.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Figures of slow ranks expire after two seconds at the entries, so several notices may get lost.
constexpr milliseconds NoticePeriod{300};
/// A change is told again at once, because each notice may get lost.
constexpr milliseconds RepeatDelay{100};
constexpr int RepeatsOfChange = 2;
/// Time for which a recovery is told.
constexpr milliseconds RecoveryNoticeTime{1000};
/// Entries ask once a minute; one that has missed two turns has ended.
constexpr std::chrono::seconds EntryRetention{150};
constexpr std::size_t MaxEntries = 16;

bool isSameNews(const std::vector<SlowRank> &left, const std::vector<SlowRank> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const SlowRank &one, const SlowRank &other) {
                          return one.address == other.address && one.pace == other.pace;
                      });
}

} // namespace

void SlowRankNotices::entryHeard(Instant now, const std::string &address)
{
    this->entries[address] = now;
    if (this->entries.size() <= MaxEntries)
        return;
    this->entries.erase(std::min_element(
            this->entries.begin(), this->entries.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
}

void SlowRankNotices::update(Instant now, const std::vector<SlowRank> &slow)
{
    for (const SlowRank &rank : this->known) {
        if (rank.pace > 1)
            this->recoveredUntil[rank.address] = now + RecoveryNoticeTime;
    }
    std::vector<SlowRank> ranks = slow;
    for (const SlowRank &rank : slow)
        this->recoveredUntil.erase(rank.address);
    std::erase_if(this->recoveredUntil, [now](const auto &entry) { return now >= entry.second; });
    for (const auto &[address, until] : this->recoveredUntil)
        ranks.push_back({address, 1, milliseconds(0)});
    if (!isSameNews(this->known, ranks) && !ranks.empty()) {
        this->nextAt = now;
        this->repeats = RepeatsOfChange;
    }
    this->known = std::move(ranks);
}

std::optional<SlowRankNotices::Notice> SlowRankNotices::tick(Instant now,
                                                             const std::vector<SlowRank> &slow)
{
    std::erase_if(this->entries,
                  [now](const auto &entry) { return now >= entry.second + EntryRetention; });
    this->update(now, slow);
    if (this->known.empty() || this->entries.empty() || now < this->nextAt)
        return std::nullopt;
    this->nextAt = now + (this->repeats > 0 ? RepeatDelay : NoticePeriod);
    this->repeats = std::max(0, this->repeats - 1);
    return Notice{this->chooseEntries(), this->known};
}

std::vector<std::string> SlowRankNotices::chooseEntries()
{
    std::vector<std::string> chosen;
    auto next = this->entries.upper_bound(this->lastTold);
    for (std::size_t count = std::min(EntriesPerNotice, this->entries.size());
         chosen.size() < count; ++next) {
        if (next == this->entries.end())
            next = this->entries.begin();
        chosen.push_back(next->first);
    }
    this->lastTold = chosen.back();
    return chosen;
}

void SlowRankNotices::stop()
{
    this->known.clear();
    this->recoveredUntil.clear();
    this->nextAt = Instant();
    this->repeats = 0;
}

} // namespace Nutmegrill
