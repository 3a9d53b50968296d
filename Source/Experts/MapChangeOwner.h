#pragma once

#include "Core/Time.h"
#include "Experts/MapChangeCommand.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Drives map changes of one model group for as long as its process holds the owner lease. It keeps
/// no state that the ranks do not have: if it fails at any point, the ranks or the next owner
/// finish the change.
///
/// Each change begins with a survey of all ranks, which makes them refuse earlier owners, finishes
/// a change that an earlier owner left open, founds a group without a map, and measures the round
/// trip time from which the step of the change is chosen.
class MapChangeOwner
{
public:
    using Peer = MapMessage::Peer;
    using Commands = MapChangeCommand::List;

    enum class Result {
        None,      ///< no change has ended yet
        Committed, ///< all ranks armed
        Aborted,   ///< a rank refused
        Outdated,  ///< the ranks run another map than the one that the plan is based on
        TimedOut,  ///< a rank did not stage in time; nothing was armed
        Deposed    ///< a rank knows a later owner
    };

    /// \a fence is the store revision of the lease, \a initial the map for a group that has none.
    MapChangeOwner(std::uint32_t ranks, std::uint64_t fence, ExpertMap initial);

    /// Surveys the ranks and then changes to \a plan, whose epoch is that of the map that it is
    /// based on plus one. Ignored while a change is running.
    void propose(Instant now, ExpertMap plan, Commands &commands);

    /// Surveys the ranks, which also finishes open changes and founds the group.
    void survey(Instant now, Commands &commands);

    void handle(Instant now, Peer from, const MapMessage::Any &message, Commands &commands);
    void tick(Instant now, Commands &commands);

    bool isIdle() const { return this->phase == Phase::Idle; }
    bool isArming() const { return this->phase == Phase::Arming; }
    Result lastResult() const { return this->result; }

    /// Map of the ranks after the last survey or commit; epoch 0 before.
    const ExpertMap &currentMap() const { return this->current; }

private:
    enum class Phase { Idle, Survey, Staging, Arming, Settling };

    struct Rank
    {
        std::optional<MapMessage::MapInfo> info;
        std::uint64_t incarnation = 0;
        bool staged = false;
        MapMessage::Answer vote = MapMessage::Answer::Unknown;
        /// Last reported step and the time of the report, from which the step time is measured.
        std::uint64_t step = 0;
        Instant stepAt;
    };

    void receive(Instant now, Peer from, const MapMessage::MapInfo &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Staged &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Armed &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Refused &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Vote &message, Commands &commands);
    // The other messages are addressed to ranks.
    template <typename Other>
    void receive(Instant, Peer, const Other &, Commands &)
    {}

    void enter(Instant now, Phase next, Commands &commands);
    void sendPhase(Instant now, Commands &commands) const;
    bool hasAnswered(const Rank &row) const;
    MapMessage::Any phaseMessage(Instant now) const;
    void endSurvey(Instant now, Commands &commands);
    void found(Commands &commands) const;
    void count(Instant now, Peer from, const MapChangeId &change, std::uint64_t incarnation,
               MapMessage::Answer vote, Commands &commands);
    void settle(Instant now, bool commit, Commands &commands);
    void finish(Result how);
    void recordStep(Instant now, Rank &row, std::uint64_t step);
    std::uint64_t chooseStep(Instant now) const;
    std::vector<std::uint64_t> incarnations() const;

    std::uint32_t ranks;
    std::uint64_t fence;
    ExpertMap initial;
    ExpertMap current;
    std::optional<ExpertMap> plan;
    Phase phase = Phase::Idle;
    Result result = Result::None;
    /// The own change, or in the phase Settling that of an earlier owner.
    MapChangeId change;
    std::uint64_t changes = 0;
    std::uint64_t surveys = 0;
    std::uint64_t step = 0;
    std::vector<Rank> rows;
    std::chrono::microseconds roundTripTime{0};
    std::chrono::microseconds stepTime;
    Instant phaseStart;
    Instant resendAt;
    Instant phaseDeadline = NoDeadline;
};

} // namespace Nutmegrill
