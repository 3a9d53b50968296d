#pragma once

#include "Core/Time.h"
#include "Experts/ExpertCounts.h"
#include "Experts/ExpertLoad.h"
#include "Experts/PlacementPlanner.h"
#include "Experts/PlanNumbering.h"
#include "Experts/RankState.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Plans and drives the map changes of one model group whose engines switch by themselves. The
/// agent of the lowest live rank owns the group. Two owners at a time are harmless: agents follow
/// the higher ballot, and RankSwitch keeps every change safe whichever owner requests it. This
/// makes a lease unnecessary, and changes continue while the store is unreachable.
class SwitchOwner
{
public:
    struct Settings
    {
        PlannerSettings planner;
        /// Experts that a rank can hold in a layer, and that it can load for one change.
        std::uint32_t placements = 0;
        std::uint32_t spares = 0;
        std::uint32_t experts = 0;
        std::uint32_t layers = 0;
    };

    SwitchOwner(const Settings &settings, const PlanNumbering &numbering);

    /// Group of the own rank; a change of it drops what was known of the former one.
    void enterGroup(const GroupIdentity &identity);
    /// States and counts of other groups are ignored.
    void report(Instant now, const RankState &state);
    void addCounts(const ExpertCounts &sample);

    /// The command to send to all agents now, the own one included; nullopt when no change is
    /// in progress.
    std::optional<OwnerCommand> tick(Instant now, std::uint32_t ownRank);

    /// Log text of the last decision; empty if there was none since the last call.
    std::string takeLogText();

    /// Log text on the steps of the group, at most once a second and only for the owner; empty
    /// otherwise.
    std::string takeObservation(Instant now);

    /// The experts of a rank are missing, so that no change can be planned.
    bool wantsExperts() const { return !this->currentMap(); }

private:
    struct Rank
    {
        RankState state;
        Instant lastReportAt;
        /// Begin of the span over which the step time is measured.
        std::uint64_t firstStep = 0;
        Instant firstStepAt;
        std::chrono::microseconds stepTime = std::chrono::milliseconds(80);
    };

    bool isLive(const Rank &rank, Instant now) const;
    bool isOwner(Instant now, std::uint32_t ownRank) const;
    bool isGroupComplete(Instant now) const;
    void observe(Instant now);
    void considerPlan(Instant now);
    std::optional<ExpertMap> currentMap() const;
    /// Version of the map in use; nullopt if ranks differ or use the initial map.
    std::optional<std::uint64_t> currentVersion() const;
    std::vector<double> paces(Instant now) const;
    ExpertMap padded(const ExpertMap &map) const;
    ExpertMap unpadded(const ExpertMap &map) const;
    void enter(OwnerCommand::Phase next, Instant now, std::chrono::milliseconds limit);
    void abandon(Instant now, const std::string &why);
    std::uint64_t chooseStep(Instant now) const;
    /// Extends the deadline when further ranks have prepared the map.
    void notePreparedRanks(Instant now);

    Settings settings;
    PlanNumbering numbering;
    GroupIdentity group;
    PlacementPlanner planner;
    ExpertLoad load;
    std::map<std::uint32_t, Rank> ranks;
    std::optional<OwnerCommand> command;
    Instant phaseDeadline = NoDeadline;
    Instant phaseStart;
    /// Ranks that have prepared the map of the command.
    std::size_t preparedRanks = 0;
    Instant nextPlanAt;
    Instant nextObservationAt;
    std::uint64_t epoch = 0;
    /// Ballot of the last change that all ranks completed; 0 after any other outcome.
    std::uint64_t completedBallot = 0;
    /// Choices reported since the last observation.
    ExpertLoad::Tokens reported;
    bool hasReported = false;
    std::uint64_t observations = 0;
    /// Highest version of a change of this owner.
    std::uint64_t lastVersion = 0;
    /// When an agent last reported an engine command without an answer.
    std::optional<Instant> lostCommandAt;
    std::string logText;
    bool isActive = false;
    Instant nextLoggedObservationAt;
};

} // namespace Nutmegrill
