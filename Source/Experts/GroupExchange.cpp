#include "Experts/GroupExchange.h"

#include "Experts/GroupPaces.h"
#include "Experts/PackedMap.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Period of states outside of changes. It grows with the group, so that the traffic of the hub
/// does not.
constexpr milliseconds StatePeriodPerRank{16};
constexpr milliseconds MinStatePeriod{250};
/// Reports that may get lost in a row before a rank counts as failed.
constexpr int MissedStates = 3;
/// The group may be held during a change, so a failed agent must be noticed fast.
constexpr milliseconds SwitchingStatePeriod{60};
constexpr milliseconds SwitchingSilenceLimit{250};
/// Entries learn of a slow rank within a second, and its pace expires at the hub after two, so it
/// is told this often while it is above 1, and for a second after its last change.
constexpr milliseconds PacePeriod{200};
constexpr milliseconds PaceRepeatTime{1000};
/// States of an earlier incarnation arrive within this time.
constexpr milliseconds MaxMessageDelay{500};
/// Time for a command to be confirmed: a round trip and the tick periods of both agents.
constexpr milliseconds CommandResendDelay{100};
/// A map also waits in the sender's link behind the maps for other ranks.
constexpr milliseconds MapResendDelay{300};
/// Maps that may be sent ahead of the rate: those of one tick.
constexpr milliseconds MapBurst{20};
constexpr milliseconds MinCountsPeriod{300};
constexpr milliseconds DefaultCountsPeriod{2000};
constexpr std::uint64_t MicrosecondsPerSecond = 1000000;
/// An agent of another group that still sends states has not received the reply.
constexpr milliseconds ReplyPeriod{2000};

milliseconds statePeriod(std::uint32_t ranks)
{
    return std::max<milliseconds>(MinStatePeriod, ranks * StatePeriodPerRank);
}

/// Whether a state tells anything that other agents wait for.
bool isNews(const RankState &before, const RankState &after)
{
    const auto facts = [](const RankState &state) {
        const EngineState &engine = state.engine;
        return std::make_tuple(engine.epoch, engine.rank, engine.isOpen, engine.mapVersion,
                               engine.preparedVersion, engine.heldStep, state.ballot,
                               state.refusedVersion, state.receivedVersion, state.isHub,
                               state.groupHeldStep, state.wantsExperts, state.knownVersion);
    };
    return facts(before) != facts(after) || before.engine.armed != after.engine.armed
           || before.switching != after.switching || before.groupSwitch != after.groupSwitch
           || before.allArmed != after.allArmed || before.holderArmed != after.holderArmed
           || before.acknowledgedStep != after.acknowledgedStep;
}

/// Whether the agent with this state needs the command no more.
bool isFollowed(const OwnerCommand &command, const RankState &state)
{
    const std::uint64_t version = command.change.version;
    switch (command.phase) {
    case OwnerCommand::Phase::Survey:
        return state.ballot >= command.ballot;
    case OwnerCommand::Phase::Prepare:
        return state.ballot >= command.ballot && state.receivedVersion >= version;
    case OwnerCommand::Phase::Switch:
        return state.switching == command.change || state.engine.armed == command.change
               || state.engine.mapVersion >= version || state.engine.step >= command.change.step;
    }
    return false;
}

} // namespace

milliseconds GroupExchange::livenessTimeout(std::uint32_t ranks)
{
    return MissedStates * statePeriod(ranks);
}

void GroupExchange::setPeers(const std::set<std::string> &addresses)
{
    std::erase_if(this->peers, [&](const auto &entry) { return !addresses.contains(entry.first); });
    for (const std::string &address : addresses)
        this->peers.try_emplace(address);
}

void GroupExchange::followGroup(const EngineState &own)
{
    if (this->group && own.isOfGroup(*this->group))
        return;
    const bool isFirst = !this->group.has_value();
    this->group = GroupIdentity{own.group, own.ranks};
    std::erase_if(this->rows, [&](const auto &entry) {
        return !entry.second.state.engine.isOfGroup(*this->group);
    });
    if (isFirst)
        return;
    this->mode = Mode::Mesh;
    this->listeningSince.reset();
    this->switchingSince.reset();
    this->sample.reset();
    this->wholeCommand.reset();
    this->deltaCommand.reset();
    this->nextStateAt = Instant();
    for (auto &[address, peer] : this->peers)
        peer = {};
}

bool GroupExchange::isNewer(Instant now, const RankState &state, const Row &known)
{
    // A lower incarnation is accepted only after MaxMessageDelay: the incarnation is the time of
    // the start, and the clock may have been set back between two starts.
    return state.incarnation == known.state.incarnation
                   ? state.sequence > known.state.sequence
                   : state.incarnation > known.state.incarnation
                             || now > known.heardAt + MaxMessageDelay;
}

void GroupExchange::noteOtherGroup(Instant now, const RankState &state)
{
    const auto isSender = [&](const auto &entry) {
        return entry.second.state.address == state.address;
    };
    if (const auto row = std::find_if(this->rows.begin(), this->rows.end(), isSender);
        row != this->rows.end()) {
        if (!isNewer(now, state, row->second))
            return;
        this->rows.erase(row);
    }
    if (const auto peer = this->peers.find(state.address); peer != this->peers.end()) {
        peer->second.isOfOtherGroup = true;
        peer->second.awaitsReply = now >= peer->second.nextReplyAt;
    }
}

GroupExchange::Receipt GroupExchange::stateReceived(Instant now, const RankState &state)
{
    if (state.engine.rank >= state.engine.ranks)
        return Receipt::Invalid;
    if (this->group && !state.engine.isOfGroup(*this->group)) {
        this->noteOtherGroup(now, state);
        return Receipt::OfOtherGroup;
    }
    // From an earlier agent of this rank.
    if (this->sentState && state.engine.rank == this->ownRank)
        return Receipt::Outdated;
    Row &row = this->rows[state.engine.rank];
    const RankState &known = row.state;
    if (!isNewer(now, state, row))
        return Receipt::Outdated;
    if (const auto peer = this->peers.find(state.address); peer != this->peers.end())
        peer->second.isOfOtherGroup = false;
    std::vector<std::vector<std::uint32_t>> experts;
    if (state.experts.empty() && known.engine.epoch == state.engine.epoch
        && known.engine.mapVersion == state.engine.mapVersion)
        experts = std::move(row.state.experts);
    row.state = state;
    if (state.experts.empty())
        row.state.experts = std::move(experts);
    row.heardAt = now;
    row.isFailedHub = false;
    return Receipt::New;
}

void GroupExchange::commandReceived(Instant now, const OwnerCommand &command)
{
    const auto found = this->rows.find(command.owner);
    if (found != this->rows.end() && found->second.state.engine.group == command.group)
        found->second.heardAt = now;
}

void GroupExchange::countsSampled(ExpertCounts counts)
{
    this->sample = std::move(counts);
}

milliseconds GroupExchange::silenceLimit() const
{
    return this->switchingSince ? SwitchingSilenceLimit : livenessTimeout(this->ranks);
}

Instant GroupExchange::silentSince(std::uint32_t rank, const Row &row) const
{
    Instant since = row.heardAt;
    if (this->switchingSince)
        since = std::max(since, *this->switchingSince);
    // The former hub reported to this agent all the time, the other ranks did not.
    return rank == this->hub || row.isFailedHub
                   ? since
                   : std::max(since, this->listeningSince.value_or(since));
}

bool GroupExchange::isLowestLive(Instant now) const
{
    if (now >= *this->listeningSince + this->silenceLimit())
        return true;
    for (std::uint32_t rank = 0; rank < this->ownRank; ++rank) {
        if (this->rows.count(rank) == 0)
            return false;
    }
    return true;
}

void GroupExchange::updateMode(Instant now, const RankState &own)
{
    this->ranks = own.engine.ranks;
    this->ownRank = own.engine.rank;
    this->rows.erase(this->ownRank);
    if (own.switching && !this->switchingSince)
        this->switchingSince = now;
    else if (!own.switching)
        this->switchingSince.reset();

    const Mode before = this->mode;
    if (!this->listeningSince)
        this->listeningSince = now;
    // Without its hub, the agent has to hear the other ranks before it can tell which ones live.
    if (const auto row = this->rows.find(this->hub);
        before == Mode::Star
        && (row == this->rows.end() || !row->second.state.isHub
            || now >= this->silentSince(this->hub, row->second) + this->silenceLimit())) {
        this->listeningSince = now;
        if (row != this->rows.end())
            row->second.isFailedHub = row->second.state.isHub;
    }
    const auto lowest = std::find_if(this->rows.begin(), this->rows.end(), [&](const auto &entry) {
        return now < this->silentSince(entry.first, entry.second) + this->silenceLimit();
    });
    if (lowest == this->rows.end() || lowest->first > this->ownRank) {
        this->mode = before == Mode::Hub || this->isLowestLive(now) ? Mode::Hub : Mode::Mesh;
    } else if (lowest->second.state.isHub) {
        this->mode = Mode::Star;
        this->hub = lowest->first;
    } else {
        this->mode = Mode::Mesh;
    }
}

void GroupExchange::tick(Instant now, RankState &own, const std::optional<OwnerCommand> &command,
                         Messages &messages)
{
    this->followGroup(own.engine);
    this->updateMode(now, own);
    own.isHub = this->isHub();
    own.countsPeriod = this->countsPeriod();
    this->sendState(now, own, messages);
    this->sendReplies(now, messages);
    if (command)
        this->sendCommand(now, *command, messages);
    this->sendCounts(now, own, messages);
}

bool GroupExchange::owesPace(Instant now, const RankState &own)
{
    // Without a hub, states go to all agents, and nobody tells the entries.
    if (this->mode != Mode::Star || !this->sentState)
        return false;
    if (this->sentState->engine.pace != own.engine.pace) {
        this->paceToldUntil = now + PaceRepeatTime;
        return true;
    }
    return (own.engine.pace > 1 || now < this->paceToldUntil) && now >= this->nextPaceAt;
}

void GroupExchange::sendState(Instant now, const RankState &own, Messages &messages)
{
    const bool owesPace = this->owesPace(now, own);
    if (now < this->nextStateAt && this->sentState && !isNews(*this->sentState, own) && !owesPace)
        return;
    this->nextPaceAt = now + PacePeriod;
    this->nextStateAt =
            now + (this->switchingSince ? SwitchingStatePeriod : statePeriod(this->ranks));
    auto state = std::make_shared<RankState>(own);
    state->sequence = this->sentState ? this->sentState->sequence + 1 : 1;
    this->sentState = *state;
    if (this->mode == Mode::Star) {
        const RankState &hubState = this->rows[this->hub].state;
        if (!hubState.wantsExperts)
            state->experts.clear();
        messages.push_back({hubState.address, state});
        return;
    }
    if (this->isHub())
        state->experts.clear();
    std::set<std::string> addresses;
    for (auto &[address, peer] : this->peers) {
        if (peer.isOfOtherGroup)
            continue;
        addresses.insert(address);
        peer.nextReplyAt = now + ReplyPeriod;
    }
    for (const auto &[rank, row] : this->rows)
        addresses.insert(row.state.address);
    for (const std::string &address : addresses)
        messages.push_back({address, state});
}

void GroupExchange::sendReplies(Instant now, Messages &messages)
{
    std::shared_ptr<RankState> reply;
    for (auto &[address, peer] : this->peers) {
        if (!peer.awaitsReply)
            continue;
        peer.awaitsReply = false;
        peer.nextReplyAt = now + ReplyPeriod;
        if (reply == nullptr) {
            reply = std::make_shared<RankState>(*this->sentState);
            reply->experts.clear();
        }
        messages.push_back({address, reply});
    }
}

void GroupExchange::shareCommand(const OwnerCommand &command)
{
    if (this->wholeCommand != nullptr && this->wholeCommand->phase == command.phase
        && this->wholeCommand->ballot == command.ballot
        && this->wholeCommand->change == command.change)
        return;
    auto whole = std::make_shared<OwnerCommand>(command);
    whole->delta.reset();
    auto delta = std::make_shared<OwnerCommand>(command);
    delta->map.clear();
    this->wholeCommand = std::move(whole);
    this->deltaCommand = std::move(delta);
}

void GroupExchange::sendCommand(Instant now, const OwnerCommand &command, Messages &messages)
{
    this->shareCommand(command);
    const auto key = std::make_tuple(command.phase, command.ballot, command.change.version,
                                     command.change.step);
    const bool hasMap = command.phase == OwnerCommand::Phase::Prepare;
    const milliseconds resendDelay = hasMap ? MapResendDelay : CommandResendDelay;
    const auto timeOf = [this](std::size_t bytes) {
        return std::chrono::microseconds(
                bytes * MicrosecondsPerSecond
                / std::max<std::uint64_t>(1, this->settings.mapBytesPerSecond));
    };
    const auto wholeTime = timeOf(hasMap ? packedMapSize(command.map) : 0);
    const auto deltaTime = timeOf(hasMap && command.delta ? command.delta->packedSize() : 0);
    this->nextMapAt = std::max(this->nextMapAt, now);
    for (auto &[rank, row] : this->rows) {
        if (isFollowed(command, row.state)
            || (row.sentCommand == key && now < row.commandSentAt + resendDelay))
            continue;
        if (hasMap && this->nextMapAt > now + MapBurst)
            return;
        const bool useDelta = command.delta && row.state.knownVersion == command.delta->base;
        this->nextMapAt += useDelta ? deltaTime : wholeTime;
        row.sentCommand = key;
        row.commandSentAt = now;
        messages.push_back({row.state.address, useDelta ? this->deltaCommand : this->wholeCommand});
    }
}

milliseconds GroupExchange::countsPeriod() const
{
    if (!this->sample || this->settings.countBytesPerSecond == 0)
        return DefaultCountsPeriod;
    const std::uint64_t bytes = this->ranks * this->sample->counts.size();
    return std::max(MinCountsPeriod,
                    milliseconds(bytes * 1000 / this->settings.countBytesPerSecond));
}

void GroupExchange::sendCounts(Instant now, const RankState &own, Messages &messages)
{
    if (this->mode != Mode::Star || !this->sample || this->ranks == 0)
        return;
    const RankState &hubState = this->rows[this->hub].state;
    // Spreads the ranks over the period.
    if (this->nextCountsAt == Instant())
        this->nextCountsAt = now + hubState.countsPeriod * own.engine.rank / this->ranks;
    if (now < this->nextCountsAt)
        return;
    this->nextCountsAt = now + hubState.countsPeriod;
    messages.push_back(
            {hubState.address, std::make_shared<ExpertCounts>(std::move(*this->sample))});
    this->sample.reset();
}

bool GroupExchange::isSettled(Instant now) const
{
    if (this->mode != Mode::Hub)
        return this->mode == Mode::Star;
    return this->rows.size() + 1 >= this->ranks
           && std::all_of(this->rows.begin(), this->rows.end(), [&](const auto &entry) {
                  return now < entry.second.heardAt + livenessTimeout(this->ranks);
              });
}

std::vector<std::uint32_t> GroupExchange::silentRanks(Instant now) const
{
    std::vector<std::uint32_t> silent;
    if (!this->isHub() || !this->switchingSince)
        return silent;
    for (const auto &[rank, row] : this->rows) {
        if (now >= this->silentSince(rank, row) + SwitchingSilenceLimit)
            silent.push_back(rank);
    }
    return silent;
}

std::vector<const RankState *> GroupExchange::states() const
{
    std::vector<const RankState *> list;
    for (const auto &[rank, row] : this->rows)
        list.push_back(&row.state);
    return list;
}

const RankState *GroupExchange::find(std::uint32_t rank) const
{
    const auto found = this->rows.find(rank);
    return found == this->rows.end() ? nullptr : &found->second.state;
}

Instant GroupExchange::heardAt(std::uint32_t rank) const
{
    const auto found = this->rows.find(rank);
    return found == this->rows.end() ? Instant() : found->second.heardAt;
}

std::vector<SlowRank> GroupExchange::slowRanks(Instant now, const RankState &own) const
{
    GroupPaces group(own.engine.ranks);
    group.add(own.engine.rank, own.engine.pace, now);
    for (const auto &[rank, row] : this->rows)
        group.add(rank, row.state.engine.pace, row.heardAt);
    const std::vector<double> paces = group.at(now);
    std::vector<SlowRank> slow;
    for (std::uint32_t rank = 0; rank < paces.size(); ++rank) {
        if (paces[rank] <= 1)
            continue;
        const auto found = this->rows.find(rank);
        const bool isOwn = rank == own.engine.rank || found == this->rows.end();
        const Instant heardAt = isOwn ? now : found->second.heardAt;
        slow.push_back({isOwn ? own.engineAddress : found->second.state.engineAddress, paces[rank],
                        std::chrono::duration_cast<milliseconds>(now - heardAt)});
    }
    return slow;
}

} // namespace Nutmegrill
