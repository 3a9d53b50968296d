#include "Experts/MapChangeMember.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

// An armed rank without an outcome asks the other ranks for their votes after this time. The ranks
// ask at staggered times, because the first one usually settles the change for all of them.
constexpr std::chrono::milliseconds VoteQueryDelay(500);
constexpr std::chrono::milliseconds VoteQueryStagger(50);
constexpr std::chrono::milliseconds JoinRetryPeriod(200);
constexpr unsigned FoundingShift = 28;

MapChangeId predecessor(const MapChangeId &change)
{
    return {change.fence, change.number == 0 ? 0 : change.number - 1};
}

} // namespace

MapChangeMember::MapChangeMember(Peer rank, std::uint32_t ranks, std::uint64_t incarnation,
                                 const MapChangeRules &rules)
    : rank(rank), ranks(ranks), rules(rules)
{
    this->state.incarnations.resize(ranks);
    this->state.incarnations[rank] = incarnation;
}

void MapChangeMember::handle(Instant now, Peer from, const MapMessage::Any &message,
                             Commands &commands)
{
    std::visit([&](const auto &body) { this->receive(now, from, body, commands); }, message);
}

void MapChangeMember::tick(Instant now, Commands &commands)
{
    if (now < this->nextQueryAt)
        return;
    if (!this->state.member) {
        this->nextQueryAt = now + JoinRetryPeriod;
        this->sendToOthers(MapMessage::MapWanted{this->state.incarnations[this->rank], 0, 0},
                           commands);
    } else if (this->open.has_value()) {
        this->nextQueryAt = now + VoteQueryDelay + this->rank * VoteQueryStagger;
        this->sendToOthers(MapMessage::AskVote{this->open->change}, commands);
    }
}

MapChangeMember::Permission MapChangeMember::mayRun(std::uint64_t step)
{
    if (!this->state.member || step < this->state.firstStep || step < this->state.step)
        return {};
    if (this->open.has_value() && step >= this->open->step && this->rules.waitAtStep)
        return {};
    this->state.step = std::max(this->state.step, step);
    const bool current = step >= this->state.mapStep;
    return {true, current ? this->state.map.epoch : this->state.previousMap.epoch};
}

std::uint64_t MapChangeMember::firstStep() const
{
    return std::max(this->state.firstStep, this->state.step + 1);
}

void MapChangeMember::receive(Instant, Peer from, const MapMessage::Stage &message,
                              Commands &commands)
{
    if (this->ignores(from, message.change, commands))
        return;
    if (message.change <= this->state.refusedUpTo)
        return this->refuse(from, message.change, "a later change or owner is known", commands);
    if (this->rules.fencing)
        this->raiseRefused(predecessor(message.change));
    if (!this->staged.has_value() || this->staged->change != message.change) {
        this->staged = StagedMap{message.change, message.map, from, false};
        commands.emplace_back(MapChangeCommand::StageWeights{message.change, message.map});
    } else if (this->staged->loaded) {
        commands.emplace_back(
                MapChangeCommand::Send{from, MapMessage::Staged{message.change, this->state.step}});
    }
}

void MapChangeMember::weightsStaged(const MapChangeId &change, bool loaded, Commands &commands)
{
    if (!this->staged.has_value() || this->staged->change != change)
        return;
    if (!loaded)
        return this->refuse(this->staged->owner, change, "the weights cannot be loaded", commands);
    this->staged->loaded = true;
    commands.emplace_back(MapChangeCommand::Send{this->staged->owner,
                                                 MapMessage::Staged{change, this->state.step}});
}

bool MapChangeMember::ignores(Peer from, const MapChangeId &change, Commands &commands) const
{
    if (!this->state.member)
        return true;
    if (change.fence >= this->state.founding)
        return false;
    if (from >= this->ranks)
        commands.emplace_back(MapChangeCommand::Send{from, this->describe(0)});
    return true;
}

const char *MapChangeMember::reasonToRefuse(const MapMessage::Arm &message) const
{
    const MapMessage::MapInfo &own = this->state;
    if (message.change <= own.refusedUpTo)
        return "a later change or owner is known";
    if (this->open.has_value())
        return "another change is open";
    if (!this->staged.has_value() || this->staged->change != message.change
        || !this->staged->loaded)
        return "the weights are not staged";
    if (this->staged->map.epoch != own.map.epoch + 1)
        return "the change is based on another map";
    if (message.step <= own.step)
        return "the step has started";
    if (own.step < own.mapStep)
        return "the map before this one is still in use";
    return nullptr;
}

void MapChangeMember::receive(Instant now, Peer from, const MapMessage::Arm &message,
                              Commands &commands)
{
    if (this->ignores(from, message.change, commands))
        return;
    const bool repeated = message.change == this->state.mapChange
                          || (this->open.has_value() && this->open->change == message.change);
    if (!repeated) {
        if (const char *reason = this->reasonToRefuse(message))
            return this->refuse(from, message.change, reason, commands);
        this->open = OpenChange{message.change, std::move(this->staged->map), message.step, {}};
        this->staged.reset();
        this->nextQueryAt = now + VoteQueryDelay + this->rank * VoteQueryStagger;
    }
    commands.emplace_back(MapChangeCommand::Send{
            from, MapMessage::Armed{message.change, this->state.incarnations[this->rank]}});
}

void MapChangeMember::receive(Instant now, Peer, const MapMessage::Outcome &message,
                              Commands &commands)
{
    if (!this->state.member)
        return;
    if (!this->open.has_value() || this->open->change != message.change) {
        if (!message.commit)
            this->raiseRefused(message.change);
        return;
    }
    // An outcome that includes the vote of another incarnation may differ from the outcome of the
    // present incarnations, so the rank counts the votes itself.
    if (message.incarnations == this->state.incarnations || !this->rules.dropOldIncarnations)
        this->settle(message.commit, commands);
    else
        this->nextQueryAt = now;
}

void MapChangeMember::receive(Instant, Peer from, const MapMessage::AskVote &message,
                              Commands &commands)
{
    if (this->ignores(from, message.change, commands))
        return;
    auto answer = MapMessage::Answer::Refused;
    if (message.change == this->state.mapChange
        || (this->open.has_value() && this->open->change == message.change)) {
        answer = MapMessage::Answer::Armed;
    } else if (this->rules.refuseBeforeUnknown) {
        this->raiseRefused(message.change);
    } else if (message.change > this->state.refusedUpTo) {
        answer = MapMessage::Answer::Unknown;
    }
    commands.emplace_back(MapChangeCommand::Send{
            from, MapMessage::Vote{message.change, answer, this->state.incarnations[this->rank]}});
}

void MapChangeMember::receive(Instant, Peer from, const MapMessage::Vote &message,
                              Commands &commands)
{
    if (!this->open.has_value() || this->open->change != message.change || from >= this->ranks)
        return;
    if (message.incarnation != this->state.incarnations[from] && this->rules.dropOldIncarnations)
        return;
    this->open->votes[from] = message.answer;
    this->countVotes(commands);
}

void MapChangeMember::countVotes(Commands &commands)
{
    const auto &votes = this->open->votes;
    const bool commit = std::all_of(votes.begin(), votes.end(), [](const auto &vote) {
        return vote.second == MapMessage::Answer::Armed;
    });
    if (commit && votes.size() + 1 < this->ranks)
        return;
    const MapChangeId change = this->open->change;
    this->settle(commit, commands);
    this->sendToOthers(MapMessage::Outcome{change, commit, this->state.incarnations}, commands);
}

void MapChangeMember::settle(bool commit, Commands &commands)
{
    const MapChangeId change = this->open->change;
    if (commit) {
        this->state.previousMap = std::exchange(this->state.map, std::move(this->open->map));
        this->state.mapChange = change;
        this->state.mapStep = this->open->step;
        commands.emplace_back(MapChangeCommand::UseMap{this->state.map, this->state.mapStep});
    }
    this->open.reset();
    this->raiseRefused(change);
}

void MapChangeMember::receive(Instant, Peer from, const MapMessage::MapWanted &message,
                              Commands &commands)
{
    if (from < this->ranks)
        this->recordIncarnation(from, message.incarnation);
    else if (this->state.member && this->rules.fencing)
        this->raiseRefused({message.fence, 0});
    commands.emplace_back(MapChangeCommand::Send{from, this->describe(message.survey)});
}

void MapChangeMember::recordIncarnation(Peer rank, std::uint64_t incarnation)
{
    if (incarnation <= this->state.incarnations[rank])
        return;
    this->state.incarnations[rank] = incarnation;
    if (!this->state.member || !this->rules.dropOldIncarnations)
        return;
    if (this->open.has_value())
        this->open->votes.erase(rank);
    this->state.firstStep = std::max(this->state.firstStep, this->state.step + 2);
}

MapMessage::MapInfo MapChangeMember::describe(std::uint64_t survey) const
{
    MapMessage::MapInfo info = this->state;
    info.survey = survey;
    if (this->open.has_value())
        info.open = this->open->change;
    return info;
}

void MapChangeMember::receive(Instant, Peer from, const MapMessage::MapInfo &message,
                              Commands &commands)
{
    const std::uint64_t own = this->state.incarnations[this->rank];
    if (from >= this->ranks || message.incarnations.size() != this->ranks)
        return;
    if (this->state.member) {
        // A rank that has joined reports the first step that the group may run.
        if (message.member && message.founding == this->state.founding)
            this->state.firstStep = std::max(this->state.firstStep, message.firstStep);
        return;
    }
    if (message.incarnations[this->rank] > own) {
        this->state.incarnations[this->rank] = message.incarnations[this->rank] + 1;
        this->answers.clear();
        this->nextQueryAt = Instant();
    } else if (message.incarnations[this->rank] == own) {
        this->answers[from] = message;
        this->tryJoin(commands);
    }
}

void MapChangeMember::tryJoin(Commands &commands)
{
    if (this->answers.size() + 1 < this->ranks)
        return;
    const MapMessage::MapInfo *best = nullptr;
    for (const auto &[peer, info] : this->answers) {
        if (!info.member)
            continue;
        if (best != nullptr && info.founding != best->founding)
            return;
        if (best == nullptr || info.map.epoch > best->map.epoch)
            best = &info;
    }
    if (best == nullptr)
        return;
    MapMessage::MapInfo joined = *best;
    for (const auto &[peer, info] : this->answers) {
        joined.refusedUpTo = std::max({joined.refusedUpTo, info.refusedUpTo, info.open});
        joined.firstStep = std::max(joined.firstStep, info.firstStep);
        for (Peer other = 0; other < this->ranks; ++other)
            joined.incarnations[other] =
                    std::max(joined.incarnations[other], info.incarnations[other]);
    }
    for (Peer other = 0; other < this->ranks; ++other)
        joined.incarnations[other] =
                std::max(joined.incarnations[other], this->state.incarnations[other]);
    joined.open = {};
    joined.step = joined.firstStep - 1;
    this->state = std::move(joined);
    this->answers.clear();
    commands.emplace_back(MapChangeCommand::UseMap{this->state.map, this->state.mapStep});
    this->sendToOthers(this->describe(0), commands);
}

void MapChangeMember::receive(Instant, Peer, const MapMessage::Found &message, Commands &commands)
{
    MapMessage::MapInfo &own = this->state;
    if (message.fence <= own.founding || message.fence < own.refusedUpTo.fence
        || message.incarnations.size() != this->ranks
        || message.incarnations[this->rank] != own.incarnations[this->rank])
        return;
    const std::uint64_t start = message.fence << FoundingShift;
    own = {};
    own.member = true;
    own.founding = message.fence;
    own.map = message.map;
    own.map.epoch = start;
    own.previousMap = own.map;
    own.mapStep = start;
    own.step = start;
    own.firstStep = start + 1;
    own.refusedUpTo = {message.fence, 0};
    own.incarnations = message.incarnations;
    this->open.reset();
    this->staged.reset();
    this->answers.clear();
    commands.emplace_back(MapChangeCommand::UseMap{own.map, own.mapStep});
}

void MapChangeMember::refuse(Peer to, const MapChangeId &change, const char *reason,
                             Commands &commands)
{
    this->raiseRefused(change);
    commands.emplace_back(MapChangeCommand::Send{
            to, MapMessage::Refused{change, this->state.incarnations[this->rank], reason}});
}

void MapChangeMember::raiseRefused(const MapChangeId &change)
{
    this->state.refusedUpTo = std::max(this->state.refusedUpTo, change);
}

void MapChangeMember::sendToOthers(const MapMessage::Any &message, Commands &commands) const
{
    for (Peer peer = 0; peer < this->ranks; ++peer) {
        if (peer != this->rank)
            commands.emplace_back(MapChangeCommand::Send{peer, message});
    }
}

} // namespace Nutmegrill
