#include "Experts/LayerPlacement.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace Nutmegrill {

namespace {

// A move must gain this share of the hottest rank's potential: less does not lower the maximum, but
// costs loads and planning time.
constexpr double MinGain = 1e-2;
constexpr int MaxMoves = 100;
// Groups of up to MaxFullSearchRanks ranks are searched in full. In larger ones the hottest ranks
// exchange experts only with the coolest ones, which keeps the search of 128 ranks within
// milliseconds.
constexpr std::size_t MaxFullSearchRanks = 16;
constexpr std::size_t MinPartnerRanks = 8;
constexpr std::size_t PartnerGrowth = 4;
constexpr std::size_t MaxPartnerRanks = 32;
constexpr std::size_t MaxChainRanks = 4;
constexpr std::size_t MaxHotRanks = 2;
// Cost of a move that loads nothing because it undoes an earlier one.
constexpr double MinCost = 0.25;

} // namespace

LayerPlacement::LayerPlacement(Slots slots, std::vector<double> tokens)
    : LayerPlacement(std::move(slots), std::move(tokens), Limits())
{}

LayerPlacement::LayerPlacement(Slots slots, std::vector<double> tokens, const Limits &limits,
                               std::vector<double> paces)
    : limits(limits), placed(std::move(slots)), original(this->placed), tokens(std::move(tokens)),
      paces(std::move(paces)), difference(this->placed.size()), countChange(this->tokens.size())
{
    this->paces.resize(this->placed.size(), 1);
    const double capacity = std::accumulate(this->paces.begin(), this->paces.end(), 0.0,
                                            [](double sum, double pace) { return sum + 1 / pace; });
    this->meanLoad = std::accumulate(this->tokens.begin(), this->tokens.end(), 0.0) / capacity;
    this->count();
}

void LayerPlacement::count()
{
    this->holders.assign(this->tokens.size(), {});
    this->rankLoads.assign(this->placed.size(), 0);
    for (std::size_t rank = 0; rank < this->placed.size(); ++rank) {
        for (const auto expert : this->placed[rank])
            this->holders[expert].push_back(rank);
    }
    for (std::size_t expert = 0; expert < this->tokens.size(); ++expert) {
        for (const auto rank : this->holders[expert])
            this->rankLoads[rank] += this->paces[rank] * this->tokens[expert]
                                     / static_cast<double>(this->holders[expert].size());
    }
}

template <typename Order>
std::vector<std::size_t> LayerPlacement::firstRanks(std::size_t count, Order before) const
{
    std::vector<std::size_t> ranks(this->placed.size());
    std::iota(ranks.begin(), ranks.end(), std::size_t(0));
    count = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end(), [&](std::size_t left, std::size_t right) {
                          const double leftLoad = this->rankLoads[left];
                          const double rightLoad = this->rankLoads[right];
                          return leftLoad == rightLoad ? left < right : before(leftLoad, rightLoad);
                      });
    ranks.resize(count);
    return ranks;
}

bool LayerPlacement::improveOnce()
{
    if (this->meanLoad <= 0 || this->moves == MaxMoves)
        return false;
    ++this->moves;
    const Move move = this->findMove();
    if (move.count == 0)
        return false;
    this->apply(move);
    return true;
}

// Most moves of a large group are found among the few coolest ranks, so the wider searches run only
// if a narrower one finds nothing. If the hottest rank has no move, one of the next rank may make a
// later move of the hottest possible. Chains are numerous and come last.
LayerPlacement::Move LayerPlacement::findMove()
{
    const std::size_t ranks = this->placed.size();
    const bool fullSearch = ranks <= MaxFullSearchRanks;
    const auto hottest = this->firstRanks(fullSearch ? ranks : MaxHotRanks, std::greater<>());
    auto coolest = this->firstRanks(fullSearch ? ranks : MaxPartnerRanks, std::less<>());
    if (!fullSearch)
        std::stable_partition(coolest.begin(), coolest.end(),
                              [this](std::size_t rank) { return this->mayLoadMore(rank); });
    this->chainLength = fullSearch ? ranks : MaxChainRanks;
    for (std::size_t count = fullSearch ? ranks : MinPartnerRanks;; count *= PartnerGrowth) {
        count = std::min(count, coolest.size());
        this->partners.assign(coolest.begin(),
                              coolest.begin() + static_cast<std::ptrdiff_t>(count));
        for (const auto hot : hottest) {
            Move best;
            best.value = MinGain * this->potential(hottest.front(), 0);
            this->tryReplicas(hot, best);
            this->tryCoolerExperts(hot, best);
            this->trySwaps(hot, best);
            if (this->limits.chains && count == coolest.size() && (fullSearch || best.count == 0))
                this->tryChains(hot, best);
            if (best.count != 0)
                return best;
        }
        if (count == coolest.size())
            return {};
    }
}

std::size_t LayerPlacement::loadsOf(std::size_t rank, const std::vector<std::uint32_t> &after) const
{
    const auto &before = this->original[rank];
    return static_cast<std::size_t>(
            std::count_if(after.begin(), after.end(), [&before](std::uint32_t expert) {
                return std::find(before.begin(), before.end(), expert) == before.end();
            }));
}

bool LayerPlacement::mayLoadMore(std::size_t rank) const
{
    return this->limits.loadsPerRank == 0
           || this->loadsOf(rank, this->placed[rank]) < this->limits.loadsPerRank;
}

double LayerPlacement::slowest() const
{
    return *std::max_element(this->rankLoads.begin(), this->rankLoads.end());
}

// The 16th power approximates the maximum, and it also rewards a move that lowers one of several
// equally hot ranks.
double LayerPlacement::potential(std::size_t rank, double load) const
{
    const double ratio = (this->rankLoads[rank] + load) / this->meanLoad;
    const double square = ratio * ratio;
    const double fourth = square * square;
    return fourth * fourth * fourth * fourth;
}

bool LayerPlacement::holds(std::size_t rank, std::uint32_t expert) const
{
    return std::find(this->placed[rank].begin(), this->placed[rank].end(), expert)
           != this->placed[rank].end();
}

void LayerPlacement::addChange(std::size_t rank, double change)
{
    if (this->difference[rank] == 0)
        this->touched.push_back(rank);
    this->difference[rank] += change * this->paces[rank];
}

bool LayerPlacement::isRedundant(std::size_t rank, std::size_t slot) const
{
    return this->holders[this->placed[rank][slot]].size() > 1;
}

double LayerPlacement::gain(const Move &move)
{
    for (std::size_t index = 0; index < move.count; ++index) {
        const auto &[rank, slot, expert] = move.assignments[index];
        --this->countChange[this->placed[rank][slot]];
        ++this->countChange[expert];
    }
    const auto share = [this](std::uint32_t expert, int change) {
        return this->tokens[expert]
               / static_cast<double>(static_cast<int>(this->holders[expert].size()) + change);
    };
    const auto addHolderChanges = [&](std::uint32_t expert) {
        const int change = std::exchange(this->countChange[expert], 0);
        // An expert without load changes nothing, whoever holds it.
        if (change == 0 || this->tokens[expert] <= 0)
            return;
        for (const auto holder : this->holders[expert])
            this->addChange(holder, share(expert, change) - share(expert, 0));
    };
    for (std::size_t index = 0; index < move.count; ++index) {
        const auto &[rank, slot, expert] = move.assignments[index];
        const std::uint32_t old = this->placed[rank][slot];
        this->addChange(rank, share(expert, this->countChange[expert])
                                      - share(old, this->countChange[old]));
    }
    for (std::size_t index = 0; index < move.count; ++index) {
        const auto &[rank, slot, expert] = move.assignments[index];
        addHolderChanges(this->placed[rank][slot]);
        addHolderChanges(expert);
    }
    double sum = 0;
    for (const auto rank : this->touched) {
        sum += this->potential(rank, 0) - this->potential(rank, this->difference[rank]);
        this->difference[rank] = 0;
    }
    this->touched.clear();
    return sum;
}

double LayerPlacement::cost(const Move &move) const
{
    double loads = 0;
    for (std::size_t index = 0; index < move.count; ++index) {
        const auto &[rank, slot, expert] = move.assignments[index];
        const auto &before = this->original[rank];
        const auto heldBefore = [&before](std::uint32_t candidate) {
            return std::find(before.begin(), before.end(), candidate) != before.end();
        };
        loads += heldBefore(expert) ? 0 : 1;
        loads -= heldBefore(this->placed[rank][slot]) ? 0 : 1;
    }
    return std::max(loads, MinCost);
}

void LayerPlacement::consider(Move move, Move &best)
{
    const double value = this->gain(move);
    // The cost is at least MinCost, so most moves are discarded without computing it.
    if (value / MinCost <= best.value)
        return;
    move.value = value / this->cost(move);
    if (move.value > best.value && this->isWithinLimits(move))
        best = move;
}

bool LayerPlacement::isWithinLimits(const Move &move) const
{
    if (this->limits.loadsPerRank == 0)
        return true;
    for (std::size_t index = 0; index < move.count; ++index) {
        const std::size_t rank = move.assignments[index].rank;
        std::vector<std::uint32_t> after = this->placed[rank];
        for (std::size_t other = 0; other < move.count; ++other) {
            if (move.assignments[other].rank == rank)
                after[move.assignments[other].slot] = move.assignments[other].expert;
        }
        if (this->loadsOf(rank, after) > this->limits.loadsPerRank)
            return false;
    }
    return true;
}

// Another rank takes a replica of one of the hottest rank's experts.
void LayerPlacement::tryReplicas(std::size_t hottest, Move &best)
{
    for (const auto expert : this->placed[hottest]) {
        for (const auto rank : this->partners) {
            if (this->holds(rank, expert))
                continue;
            for (std::size_t slot = 0; slot < this->placed[rank].size(); ++slot) {
                if (this->isRedundant(rank, slot))
                    this->consider({{{{rank, slot, expert}, {}}}, 1, 0}, best);
            }
        }
    }
}

// The hottest rank gives up a replica for one of another expert.
void LayerPlacement::tryCoolerExperts(std::size_t hottest, Move &best)
{
    for (std::size_t slot = 0; slot < this->placed[hottest].size(); ++slot) {
        if (!this->isRedundant(hottest, slot))
            continue;
        for (std::uint32_t expert = 0; expert < this->tokens.size(); ++expert) {
            if (!this->holds(hottest, expert))
                this->consider({{{{hottest, slot, expert}, {}}}, 1, 0}, best);
        }
    }
}

void LayerPlacement::trySwaps(std::size_t hottest, Move &best)
{
    for (std::size_t slot = 0; slot < this->placed[hottest].size(); ++slot) {
        const std::uint32_t given = this->placed[hottest][slot];
        for (const auto rank : this->partners) {
            if (this->holds(rank, given))
                continue;
            for (std::size_t other = 0; other < this->placed[rank].size(); ++other) {
                const std::uint32_t taken = this->placed[rank][other];
                if (!this->holds(hottest, taken))
                    this->consider({{{{hottest, slot, taken}, {rank, other, given}}}, 2, 0}, best);
            }
        }
    }
}

// A cool rank gives up a replica for an expert of a third rank, which takes a replica of one of the
// hottest rank's experts. Without chains an expert whose other holders have no redundant slot gets
// no replica.
void LayerPlacement::tryChains(std::size_t hottest, Move &best)
{
    for (std::size_t index = 0; index < this->chainLength; ++index) {
        const std::size_t cool = this->partners[index];
        for (std::size_t slot = 0; slot < this->placed[cool].size(); ++slot) {
            if (!this->isRedundant(cool, slot))
                continue;
            const std::uint32_t dropped = this->placed[cool][slot];
            for (std::size_t rank = 0; rank < this->placed.size(); ++rank) {
                for (std::size_t other = 0; other < this->placed[rank].size(); ++other) {
                    const std::uint32_t moved = this->placed[rank][other];
                    if (rank == cool || moved == dropped || this->holds(cool, moved))
                        continue;
                    for (const auto expert : this->placed[hottest]) {
                        if (expert != dropped && !this->holds(rank, expert))
                            this->consider({{{{cool, slot, moved}, {rank, other, expert}}}, 2, 0},
                                           best);
                    }
                }
            }
        }
    }
}

void LayerPlacement::apply(const Move &move)
{
    for (std::size_t index = 0; index < move.count; ++index) {
        const auto &[rank, slot, expert] = move.assignments[index];
        this->placed[rank][slot] = expert;
    }
    this->count();
}

std::uint64_t LayerPlacement::countLoads(const Slots &before, const Slots &after)
{
    std::uint64_t loads = 0;
    for (std::size_t rank = 0; rank < after.size(); ++rank) {
        for (const auto expert : after[rank])
            loads += static_cast<std::uint64_t>(
                    std::count(before[rank].begin(), before[rank].end(), expert) == 0);
    }
    return loads;
}

LayerPlacement::Slots LayerPlacement::even(std::uint32_t ranks, std::uint32_t experts,
                                           std::uint32_t slotsPerRank)
{
    Slots slots(ranks);
    // Consecutive experts fill the ranks one after the other, so that a rank holds one twice only
    // if it has more slots than there are experts.
    for (std::uint32_t slot = 0; slot < ranks * slotsPerRank; ++slot)
        slots[slot / slotsPerRank].push_back(slot % experts);
    return slots;
}

} // namespace Nutmegrill
