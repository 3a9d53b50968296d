#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// Placement of one layer's experts during planning. The tokens of an expert are assumed to split
/// evenly over its replicas. Every expert keeps at least one replica. The load of a rank is its
/// tokens times its pace.
class LayerPlacement
{
public:
    /// slots[rank] lists the experts of a rank.
    using Slots = std::vector<std::vector<std::uint32_t>>;

    struct Limits
    {
        /// Experts that a rank may load in this layer. 0: no limit.
        std::uint32_t loadsPerRank = 0;
        /// Moves over three ranks. They find more, but take most of the time of the search.
        bool chains = true;
    };

    LayerPlacement(Slots slots, std::vector<double> tokens);
    /// \a paces lists the factor by which each rank is slower; empty: no rank is.
    LayerPlacement(Slots slots, std::vector<double> tokens, const Limits &limits,
                   std::vector<double> paces = {});

    /// Makes the move that gains most per expert loaded; false when no move helps.
    bool improveOnce();

    /// Part of the slowest rank in a step: its tokens times its pace.
    double slowest() const;
    /// Part of each rank if they all took the same time, which gives slow ranks fewer tokens.
    double mean() const { return this->meanLoad; }
    /// Slowest rank over the mean of all ranks.
    double skew() const { return this->meanLoad > 0 ? this->slowest() / this->meanLoad : 1; }
    const Slots &slots() const { return this->placed; }

    /// Experts that a rank holds in \a after and did not hold in \a before.
    static std::uint64_t countLoads(const Slots &before, const Slots &after);

    /// Even placement without knowledge of the load: replicas go to the experts in turn.
    static Slots even(std::uint32_t ranks, std::uint32_t experts, std::uint32_t slotsPerRank);

private:
    /// A slot that takes another expert.
    struct Assignment
    {
        std::size_t rank = 0;
        std::size_t slot = 0;
        std::uint32_t expert = 0;
    };

    /// One or two assignments that take effect together.
    struct Move
    {
        std::array<Assignment, 2> assignments;
        std::size_t count = 0;
        /// Potential gained per expert loaded.
        double value = 0;
    };

    Move findMove();
    /// Experts in \a after that the rank did not hold before the search.
    std::size_t loadsOf(std::size_t rank, const std::vector<std::uint32_t> &after) const;
    bool mayLoadMore(std::size_t rank) const;
    bool isWithinLimits(const Move &move) const;
    bool holds(std::size_t rank, std::uint32_t expert) const;
    bool isRedundant(std::size_t rank, std::size_t slot) const;
    double potential(std::size_t rank, double change) const;
    double gain(const Move &move);
    double cost(const Move &move) const;
    void consider(Move move, Move &best);
    void trySwaps(std::size_t hottest, Move &best);
    void tryReplicas(std::size_t hottest, Move &best);
    void tryChains(std::size_t hottest, Move &best);
    void tryCoolerExperts(std::size_t hottest, Move &best);
    void apply(const Move &move);
    void count();
    void addChange(std::size_t rank, double change);
    /// The first \a count ranks in the order of their loads.
    template <typename Order>
    std::vector<std::size_t> firstRanks(std::size_t count, Order before) const;

    Limits limits;
    Slots placed;
    Slots original;
    std::vector<double> tokens;
    /// Ranks that hold each expert.
    std::vector<std::vector<std::size_t>> holders;
    std::vector<double> paces;
    /// Tokens times pace.
    std::vector<double> rankLoads;
    double meanLoad = 0;
    int moves = 0;
    /// Scratch space of gain(): load differences of the ranks that a move touches.
    std::vector<double> difference;
    std::vector<std::size_t> touched;
    std::vector<int> countChange;
    /// Limits of the present search: ranks to trade with, coolest first, and how many of them may
    /// take part in a chain.
    std::vector<std::size_t> partners;
    std::size_t chainLength = 0;
};

} // namespace Nutmegrill
