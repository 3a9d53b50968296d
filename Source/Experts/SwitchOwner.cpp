#include "Experts/SwitchOwner.h"

#include "Experts/GroupExchange.h"
#include "Experts/GroupPaces.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Demand shifts every few seconds, so the weight of a count decays with this half-life.
constexpr milliseconds DemandHalfLife{900};
constexpr milliseconds TrendHalfLife{6000};
constexpr milliseconds ObservationPeriod{300};
constexpr milliseconds LoggedObservationPeriod{1000};
/// A change takes about a second from plan to step.
constexpr milliseconds MinPlanInterval{600};
constexpr milliseconds SurveyTimeout{1500};
/// Time until the first rank, or a further one, has prepared the map. Copying three experts a layer
/// takes half a second; late commands are repeated meanwhile. How long all ranks take depends on
/// their number: the owner's link carries one map after the other.
constexpr milliseconds PrepareTimeout{4000};
constexpr milliseconds SwitchTimeout{15000};
/// Time from the owner's command to the step of the change. Commands and reports of a dozen agents
/// take some tens of milliseconds; a step that comes too early is held, which delays every stream.
constexpr milliseconds StepLead{400};
/// Step lead while commands get lost: some ranks repeat hold and arm several times.
constexpr milliseconds LossyStepLead{1100};
constexpr milliseconds CommandLossWindow{8000};
constexpr std::uint64_t MinLeadSteps = 4;
constexpr std::chrono::microseconds DefaultStepTime = milliseconds(80);
constexpr std::chrono::microseconds MinStepTime = milliseconds(10);
/// Time span over which the step time is measured.
constexpr milliseconds StepTimeWindow{1000};
constexpr std::uint64_t MinObservations = 2;

} // namespace

SwitchOwner::SwitchOwner(const Settings &settings, const PlanNumbering &numbering)
    : settings(settings), numbering(numbering), planner(settings.planner),
      load(DemandHalfLife, TrendHalfLife)
{}

std::string SwitchOwner::takeLogText()
{
    return std::exchange(this->logText, {});
}

std::string SwitchOwner::takeObservation(Instant now)
{
    if (!this->isActive || now < this->nextLoggedObservationAt)
        return {};
    this->nextLoggedObservationAt = now + LoggedObservationPeriod;
    std::ostringstream text;
    std::size_t live = 0;
    std::uint64_t step = 0;
    std::chrono::microseconds stepTime{0};
    std::chrono::microseconds oldest{0};
    for (const auto &[number, rank] : this->ranks) {
        live += this->isLive(rank, now) ? 1 : 0;
        step = std::max(step, rank.state.engine.step);
        stepTime = std::max(stepTime, rank.stepTime);
        oldest = std::max(oldest, now - rank.lastReportAt);
    }
    text << "live=" << live << " step=" << step << " step_us=" << stepTime.count()
         << " oldest_report_us=" << oldest.count();
    if (const auto map = this->currentMap(); map && this->observations > 0)
        text << " skew="
             << PlacementPlanner::skew(this->padded(*map), this->load.tokens(), this->paces(now));
    return text.str();
}

void SwitchOwner::enterGroup(const GroupIdentity &identity)
{
    if (this->group == identity)
        return;
    *this = SwitchOwner(this->settings, this->numbering);
    this->group = identity;
}

void SwitchOwner::report(Instant now, const RankState &state)
{
    if (!state.engine.isOfGroup(this->group) || state.engine.rank >= state.engine.ranks)
        return;
    Rank &rank = this->ranks[state.engine.rank];
    const RankState &known = rank.state;
    if (std::make_pair(state.incarnation, state.sequence)
        <= std::make_pair(known.incarnation, known.sequence))
        return;
    if (state.lostCommands > known.lostCommands && state.incarnation == known.incarnation)
        this->lostCommandAt = now;
    const auto span = now - rank.firstStepAt;
    const std::uint64_t steps = state.engine.step - std::min(state.engine.step, rank.firstStep);
    if (state.engine.epoch == known.engine.epoch && span >= StepTimeWindow && steps > 0)
        rank.stepTime = span / static_cast<std::int64_t>(steps);
    if (state.engine.epoch != known.engine.epoch || span >= StepTimeWindow) {
        rank.firstStep = state.engine.step;
        rank.firstStepAt = now;
    }
    RankState next = state;
    if (next.experts.empty() && next.engine.epoch == known.engine.epoch
        && next.engine.mapVersion == known.engine.mapVersion)
        next.experts = known.experts;
    rank.state = std::move(next);
    rank.lastReportAt = now;
}

bool SwitchOwner::isLive(const Rank &rank, Instant now) const
{
    return now < rank.lastReportAt + GroupExchange::livenessTimeout(rank.state.engine.ranks);
}

bool SwitchOwner::isOwner(Instant now, std::uint32_t ownRank) const
{
    return std::none_of(this->ranks.begin(), this->ranks.end(), [&](const auto &entry) {
        return entry.first < ownRank && this->isLive(entry.second, now);
    });
}

bool SwitchOwner::isGroupComplete(Instant now) const
{
    if (this->ranks.empty())
        return false;
    const EngineState &first = this->ranks.begin()->second.state.engine;
    if (first.ranks == 0 || this->ranks.size() < first.ranks)
        return false;
    for (std::uint32_t number = 0; number < first.ranks; ++number) {
        const auto found = this->ranks.find(number);
        if (found == this->ranks.end() || !this->isLive(found->second, now))
            return false;
        const EngineState &engine = found->second.state.engine;
        if (!engine.isOpen || engine.epoch != first.epoch || engine.group != first.group)
            return false;
    }
    return true;
}

void SwitchOwner::observe(Instant now)
{
    if (now < this->nextObservationAt)
        return;
    this->nextObservationAt = now + ObservationPeriod;
    if (!this->hasReported)
        return;
    this->load.observe(now, this->reported);
    this->reported.clear();
    this->hasReported = false;
    ++this->observations;
}

void SwitchOwner::addCounts(const ExpertCounts &sample)
{
    const std::size_t length = std::size_t(this->settings.layers) * this->settings.experts;
    if (sample.counts.size() != length || sample.group != this->group.name)
        return;
    if (this->reported.empty())
        this->reported.assign(this->settings.layers,
                              std::vector<double>(this->settings.experts + 1, 0));
    for (std::size_t index = 0; index < length; ++index) {
        const std::uint64_t chosen = sample.counts[index];
        this->reported[index / this->settings.experts][index % this->settings.experts] +=
                static_cast<double>(chosen);
        this->hasReported = this->hasReported || chosen > 0;
    }
}

std::optional<ExpertMap> SwitchOwner::currentMap() const
{
    ExpertMap map;
    map.slots.assign(this->settings.layers, {});
    for (const auto &[number, rank] : this->ranks) {
        if (rank.state.experts.size() != this->settings.layers)
            return std::nullopt;
        for (std::size_t layer = 0; layer < this->settings.layers; ++layer)
            map.slots[layer].push_back(rank.state.experts[layer]);
    }
    return map;
}

std::optional<std::uint64_t> SwitchOwner::currentVersion() const
{
    const std::uint64_t version = this->ranks.begin()->second.state.engine.mapVersion;
    const bool isCommon =
            std::all_of(this->ranks.begin(), this->ranks.end(), [version](const auto &entry) {
                return entry.second.state.engine.mapVersion == version;
            });
    return isCommon && version != 0 ? std::optional(version) : std::nullopt;
}

std::vector<double> SwitchOwner::paces(Instant now) const
{
    if (this->ranks.empty())
        return {};
    GroupPaces paces(this->ranks.begin()->second.state.engine.ranks);
    for (const auto &[number, rank] : this->ranks)
        paces.add(number, rank.state.engine.pace, rank.lastReportAt);
    return paces.at(now);
}

ExpertMap SwitchOwner::padded(const ExpertMap &map) const
{
    ExpertMap paddedMap = map;
    // An unused slot is filled with a placeholder expert, whose load is always 0.
    for (auto &layer : paddedMap.slots) {
        for (auto &rank : layer) {
            if (rank.size() < this->settings.placements)
                rank.resize(this->settings.placements, this->settings.experts);
        }
    }
    return paddedMap;
}

ExpertMap SwitchOwner::unpadded(const ExpertMap &map) const
{
    ExpertMap unpaddedMap = map;
    for (auto &layer : unpaddedMap.slots) {
        for (auto &rank : layer) {
            std::erase(rank, this->settings.experts);
            std::sort(rank.begin(), rank.end());
        }
    }
    return unpaddedMap;
}

void SwitchOwner::considerPlan(Instant now)
{
    if (now < this->nextPlanAt || this->observations < MinObservations)
        return;
    this->nextPlanAt = now + MinPlanInterval;
    const std::optional<ExpertMap> map = this->currentMap();
    if (!map)
        return;
    const std::vector<double> paces = this->paces(now);
    const auto plan = this->planner.consider(now, this->padded(*map), this->load.tokens(), paces);
    if (!plan)
        return;
    std::uint64_t version = this->lastVersion;
    std::uint64_t ballot = 0;
    for (const auto &[number, rank] : this->ranks) {
        version = std::max({version, rank.state.highestVersion, rank.state.refusedVersion,
                            rank.state.receivedVersion});
        ballot = std::max(ballot, rank.state.ballot);
    }
    const EngineState &engine = this->ranks.begin()->second.state.engine;
    OwnerCommand next;
    next.group = engine.group;
    next.epoch = engine.epoch;
    // No survey is needed after a change that all ranks have completed under the own ballot: its
    // commands can have no further effect.
    const bool surveyed =
            this->completedBallot == ballot && ballot != 0
            && std::all_of(this->ranks.begin(), this->ranks.end(), [&](const auto &entry) {
                   return entry.second.state.ballot == ballot && !entry.second.state.engine.armed;
               });
    next.ballot = surveyed ? ballot : this->numbering.next(ballot);
    next.owner = this->ranks.begin()->first;
    next.change.version = this->lastVersion = this->numbering.next(version);
    next.map = this->unpadded(plan->map).slots;
    if (const auto base = this->currentVersion())
        next.delta = MapDelta::between(*base, this->unpadded(*map).slots, next.map);
    this->command = next;
    this->epoch = engine.epoch;
    if (surveyed)
        this->enter(OwnerCommand::Phase::Prepare, now, PrepareTimeout);
    else
        this->enter(OwnerCommand::Phase::Survey, now, SurveyTimeout);
    this->completedBallot = 0;
    std::ostringstream text;
    text << "plan version=" << next.change.version << " epoch=" << next.epoch
         << " ballot=" << next.ballot << " skew_before=" << plan->skewBefore
         << " skew_after=" << plan->skewAfter << " loads=" << plan->loads;
    if (const auto slow =
                std::count_if(paces.begin(), paces.end(), [](double pace) { return pace > 1; });
        slow > 0)
        text << " slow_ranks=" << slow;
    this->logText = text.str();
}

void SwitchOwner::enter(OwnerCommand::Phase next, Instant now, milliseconds limit)
{
    this->command->phase = next;
    this->phaseStart = now;
    this->phaseDeadline = now + limit;
    this->preparedRanks = 0;
}

void SwitchOwner::notePreparedRanks(Instant now)
{
    const auto count = static_cast<std::size_t>(
            std::count_if(this->ranks.begin(), this->ranks.end(), [this](const auto &entry) {
                return entry.second.state.engine.preparedVersion == this->command->change.version;
            }));
    if (count <= this->preparedRanks)
        return;
    this->preparedRanks = count;
    this->phaseDeadline = now + PrepareTimeout;
}

void SwitchOwner::abandon(Instant now, const std::string &why)
{
    this->logText = "abandoned version=" + std::to_string(this->command->change.version) + " why=\""
                    + why + "\"";
    this->command.reset();
    this->nextPlanAt = now + MinPlanInterval;
}

std::uint64_t SwitchOwner::chooseStep(Instant now) const
{
    std::uint64_t latest = 0;
    std::chrono::microseconds stepTime = DefaultStepTime;
    for (const auto &[number, rank] : this->ranks) {
        latest = std::max(latest, rank.state.engine.step);
        stepTime = std::min(stepTime, rank.stepTime);
    }
    const bool commandsLost = this->lostCommandAt && now < *this->lostCommandAt + CommandLossWindow;
    const std::chrono::microseconds leadTime = commandsLost ? LossyStepLead : StepLead;
    const auto lead = static_cast<std::uint64_t>(leadTime / std::max(stepTime, MinStepTime));
    return latest + std::max(MinLeadSteps, lead);
}

std::optional<OwnerCommand> SwitchOwner::tick(Instant now, std::uint32_t ownRank)
{
    this->isActive = this->isOwner(now, ownRank);
    if (!this->isActive || !this->isGroupComplete(now)) {
        if (this->command)
            this->abandon(now, "group incomplete, or another owner is active");
        return std::nullopt;
    }
    this->observe(now);
    if (!this->command) {
        // The agents first complete a change that another owner began.
        if (std::any_of(this->ranks.begin(), this->ranks.end(),
                        [](const auto &entry) { return entry.second.state.switching.has_value(); }))
            return std::nullopt;
        this->considerPlan(now);
        return this->command;
    }
    const auto all = [this](auto predicate) {
        return std::all_of(this->ranks.begin(), this->ranks.end(),
                           [&](const auto &entry) { return predicate(entry.second.state); });
    };
    const std::uint64_t version = this->command->change.version;
    const std::uint64_t ballot = this->command->ballot;
    if (this->ranks.begin()->second.state.engine.epoch != this->epoch) {
        this->abandon(now, "the group formed again");
        return std::nullopt;
    }
    if (!all([&](const RankState &state) { return state.ballot <= ballot; })) {
        this->abandon(now, "another owner has a higher ballot");
        return std::nullopt;
    }
    switch (this->command->phase) {
    case OwnerCommand::Phase::Survey:
        if (all([&](const RankState &state) {
                return state.ballot == ballot && !state.switching && !state.engine.armed;
            }))
            this->enter(OwnerCommand::Phase::Prepare, now, PrepareTimeout);
        break;
    case OwnerCommand::Phase::Prepare:
        this->notePreparedRanks(now);
        if (all([&](const RankState &state) { return state.engine.preparedVersion == version; })) {
            this->command->change.step = this->chooseStep(now);
            this->enter(OwnerCommand::Phase::Switch, now, SwitchTimeout);
        }
        break;
    case OwnerCommand::Phase::Switch:
        if (all([&](const RankState &state) { return state.engine.mapVersion >= version; })) {
            this->logText = "changed version=" + std::to_string(version)
                            + " step=" + std::to_string(this->command->change.step);
            this->completedBallot = ballot;
            for (auto &[number, rank] : this->ranks) {
                rank.state.experts.clear();
                for (const auto &layer : this->command->map)
                    rank.state.experts.push_back(layer[number]);
            }
            this->command.reset();
            return std::nullopt;
        }
        if (now >= this->phaseStart + StepLead && all([&](const RankState &state) {
                return !state.switching && !state.engine.armed
                       && state.engine.step >= this->command->change.step;
            })) {
            this->abandon(now, "the step began before it was held");
            return std::nullopt;
        }
        break;
    }
    if (now >= this->phaseDeadline) {
        this->abandon(now, this->command->phase == OwnerCommand::Phase::Survey    ? "survey"
                           : this->command->phase == OwnerCommand::Phase::Prepare ? "prepare"
                                                                                  : "switch");
        return std::nullopt;
    }
    return this->command;
}

} // namespace Nutmegrill
