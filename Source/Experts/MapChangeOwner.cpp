#include "Experts/MapChangeOwner.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds ResendPeriod(200);
// Loading weights takes seconds to minutes; a rank that takes longer has probably failed.
constexpr std::chrono::minutes StagingTimeout(10);
// If votes are missing after this time, the owner sends AskVote, which makes ranks that do not know
// the change refuse it.
constexpr std::chrono::milliseconds ArmingTimeout(400);
// Arm, Armed and Outcome take one and a half round trips; the rest is a margin for a slow message.
constexpr int LeadRoundTrips = 4;
constexpr std::uint64_t MinLeadSteps = 4;
// Step time until two reports of one rank allow a measurement.
constexpr std::chrono::milliseconds DefaultStepTime(5);

} // namespace

MapChangeOwner::MapChangeOwner(std::uint32_t ranks, std::uint64_t fence, ExpertMap initial)
    : ranks(ranks), fence(fence), initial(std::move(initial)), rows(ranks),
      stepTime(DefaultStepTime)
{}

void MapChangeOwner::propose(Instant now, ExpertMap plan, Commands &commands)
{
    if (!this->isIdle())
        return;
    this->plan = std::move(plan);
    this->survey(now, commands);
}

void MapChangeOwner::survey(Instant now, Commands &commands)
{
    ++this->surveys;
    for (Rank &row : this->rows)
        row.info.reset();
    this->enter(now, Phase::Survey, commands);
}

void MapChangeOwner::handle(Instant now, Peer from, const MapMessage::Any &message,
                            Commands &commands)
{
    if (from < this->ranks)
        std::visit([&](const auto &body) { this->receive(now, from, body, commands); }, message);
}

void MapChangeOwner::tick(Instant now, Commands &commands)
{
    if (this->phase == Phase::Idle || now < this->resendAt)
        return;
    if (this->phase == Phase::Staging && now >= this->phaseDeadline)
        return this->finish(Result::TimedOut);
    this->resendAt = now + ResendPeriod;
    // A new survey each time: the answer of a rank may have changed since the last one.
    if (this->phase == Phase::Survey
        && std::all_of(this->rows.begin(), this->rows.end(),
                       [](const Rank &row) { return row.info.has_value(); }))
        return this->survey(now, commands);
    this->sendPhase(now, commands);
}

void MapChangeOwner::enter(Instant now, Phase next, Commands &commands)
{
    this->phase = next;
    this->phaseStart = now;
    this->resendAt = now + ResendPeriod;
    this->phaseDeadline = now + (next == Phase::Staging ? StagingTimeout : ArmingTimeout);
    for (Rank &row : this->rows) {
        row.vote = MapMessage::Answer::Unknown;
        row.staged = row.staged && next != Phase::Staging;
    }
    this->sendPhase(now, commands);
}

bool MapChangeOwner::hasAnswered(const Rank &row) const
{
    if (this->phase == Phase::Survey)
        return row.info.has_value();
    if (this->phase == Phase::Staging)
        return row.staged;
    return row.vote != MapMessage::Answer::Unknown;
}

MapMessage::Any MapChangeOwner::phaseMessage(Instant now) const
{
    if (this->phase == Phase::Survey)
        return MapMessage::MapWanted{0, this->fence, this->surveys};
    if (this->phase == Phase::Staging)
        return MapMessage::Stage{this->change, *this->plan};
    if (this->phase == Phase::Arming && now < this->phaseDeadline)
        return MapMessage::Arm{this->change, this->step};
    return MapMessage::AskVote{this->change};
}

void MapChangeOwner::sendPhase(Instant now, Commands &commands) const
{
    const MapMessage::Any message = this->phaseMessage(now);
    for (Peer peer = 0; peer < this->ranks; ++peer) {
        if (!this->hasAnswered(this->rows[peer]))
            commands.emplace_back(MapChangeCommand::Send{peer, message});
    }
}

void MapChangeOwner::receive(Instant now, Peer from, const MapMessage::MapInfo &message,
                             Commands &commands)
{
    if (message.refusedUpTo.fence > this->fence && !this->isIdle())
        return this->finish(Result::Deposed);
    Rank &row = this->rows[from];
    if (this->phase != Phase::Survey || message.survey != this->surveys
        || message.incarnations.size() != this->ranks)
        return;
    const std::uint64_t incarnation = message.incarnations[from];
    if (incarnation < row.incarnation)
        return;
    row.incarnation = incarnation;
    if (message.member)
        this->recordStep(now, row, message.step);
    row.info = message;
    // Only answers before the first resend measure the round-trip time: with a later answer the
    // time could include the resend period.
    if (now < this->phaseStart + ResendPeriod)
        this->roundTripTime = std::max(this->roundTripTime, now - this->phaseStart);
    this->endSurvey(now, commands);
}

void MapChangeOwner::endSurvey(Instant now, Commands &commands)
{
    std::uint32_t members = 0;
    const MapMessage::MapInfo *first = nullptr;
    bool agreed = true;
    MapChangeId open;
    for (const Rank &row : this->rows) {
        if (!row.info.has_value())
            return;
        if (!row.info->member)
            continue;
        ++members;
        first = first == nullptr ? &*row.info : first;
        agreed = agreed && row.info->map.epoch == first->map.epoch
                 && row.info->step >= row.info->mapStep;
        open = std::max(open, row.info->open);
    }
    if (members == 0)
        return this->found(commands);
    if (open.fence != 0) {
        this->change = open;
        return this->enter(now, Phase::Settling, commands);
    }
    // Otherwise tick() surveys again until the last rank has joined and runs the newest map.
    if (members < this->ranks || !agreed)
        return;
    this->current = first->map;
    if (!this->plan.has_value())
        return this->finish(this->result);
    if (this->plan->epoch != this->current.epoch + 1)
        return this->finish(Result::Outdated);
    this->change = {this->fence, ++this->changes};
    this->enter(now, Phase::Staging, commands);
}

void MapChangeOwner::found(Commands &commands) const
{
    const MapMessage::Found message{this->fence, this->initial, this->incarnations()};
    for (Peer peer = 0; peer < this->ranks; ++peer)
        commands.emplace_back(MapChangeCommand::Send{peer, message});
}

void MapChangeOwner::receive(Instant now, Peer from, const MapMessage::Staged &message,
                             Commands &commands)
{
    if (this->phase != Phase::Staging || message.change != this->change)
        return;
    this->rows[from].staged = true;
    this->recordStep(now, this->rows[from], message.step);
    if (std::all_of(this->rows.begin(), this->rows.end(),
                    [](const Rank &row) { return row.staged; })) {
        this->step = this->chooseStep(now);
        this->enter(now, Phase::Arming, commands);
    }
}

void MapChangeOwner::recordStep(Instant now, Rank &row, std::uint64_t step)
{
    if (row.stepAt != Instant() && step > row.step && now > row.stepAt)
        this->stepTime = (now - row.stepAt) / (step - row.step);
    row.step = step;
    row.stepAt = now;
}

std::uint64_t MapChangeOwner::chooseStep(Instant now) const
{
    const auto time = std::max(this->stepTime, std::chrono::microseconds(1));
    std::uint64_t latest = 0;
    for (const Rank &row : this->rows)
        latest = std::max(latest, row.step + static_cast<std::uint64_t>((now - row.stepAt) / time));
    return latest + static_cast<std::uint64_t>(LeadRoundTrips * this->roundTripTime / time)
           + MinLeadSteps;
}

void MapChangeOwner::receive(Instant now, Peer from, const MapMessage::Armed &message,
                             Commands &commands)
{
    this->count(now, from, message.change, message.incarnation, MapMessage::Answer::Armed,
                commands);
}

void MapChangeOwner::receive(Instant now, Peer from, const MapMessage::Refused &message,
                             Commands &commands)
{
    if (this->phase == Phase::Staging && message.change == this->change)
        this->finish(Result::Aborted);
    else
        this->count(now, from, message.change, message.incarnation, MapMessage::Answer::Refused,
                    commands);
}

void MapChangeOwner::receive(Instant now, Peer from, const MapMessage::Vote &message,
                             Commands &commands)
{
    // A rank that answers Unknown has not received the change and counts as a refusal.
    const auto vote = message.answer == MapMessage::Answer::Armed ? MapMessage::Answer::Armed
                                                                  : MapMessage::Answer::Refused;
    this->count(now, from, message.change, message.incarnation, vote, commands);
}

void MapChangeOwner::count(Instant now, Peer from, const MapChangeId &change,
                           std::uint64_t incarnation, MapMessage::Answer vote, Commands &commands)
{
    if ((this->phase != Phase::Arming && this->phase != Phase::Settling) || change != this->change
        || incarnation < this->rows[from].incarnation)
        return;
    this->rows[from].incarnation = incarnation;
    this->rows[from].vote = vote;
    if (vote == MapMessage::Answer::Refused)
        this->settle(now, false, commands);
    else if (std::all_of(this->rows.begin(), this->rows.end(),
                         [](const Rank &row) { return row.vote == MapMessage::Answer::Armed; }))
        this->settle(now, true, commands);
}

void MapChangeOwner::settle(Instant now, bool commit, Commands &commands)
{
    const MapMessage::Outcome outcome{this->change, commit, this->incarnations()};
    for (Peer peer = 0; peer < this->ranks; ++peer)
        commands.emplace_back(MapChangeCommand::Send{peer, outcome});
    if (this->phase == Phase::Settling)
        return this->survey(now, commands);
    if (commit)
        this->current = *this->plan;
    this->finish(commit ? Result::Committed : Result::Aborted);
}

void MapChangeOwner::finish(Result how)
{
    this->phase = Phase::Idle;
    this->result = how;
    this->plan.reset();
}

std::vector<std::uint64_t> MapChangeOwner::incarnations() const
{
    std::vector<std::uint64_t> list;
    for (const Rank &row : this->rows)
        list.push_back(row.incarnation);
    return list;
}

} // namespace Nutmegrill
