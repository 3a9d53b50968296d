#include "Experts/RankSwitch.h"

#include "Experts/PlanNumbering.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

/// Delay before a command is retried. The engine is on the same machine and answers within a few
/// milliseconds; its report shows the effect of a command.
constexpr std::chrono::milliseconds CommandRetryDelay{20};
/// Time for all agents to acknowledge a hold. States during a change are sent every 60 ms, so that
/// several may get lost. Steps are held 400 ms ahead, and callers leave after 2 s without an event.
constexpr std::chrono::milliseconds MaxAcknowledgeTime{600};

} // namespace

void RankSwitch::beginEpoch()
{
    this->toPrepare.reset();
    this->endSwitch();
    this->refusedVersion = 0;
    this->highestVersion = 0;
    this->armedPeers.clear();
    this->switchingPeers.clear();
    this->acknowledgedSteps.clear();
    this->holderHolds.reset();
    this->holdAcceptedFor.reset();
    this->holderArmed.reset();
    this->allArmedReported.reset();
    this->receivedVersion = 0;
    this->receivedMaps.clear();
}

void RankSwitch::endSwitch()
{
    this->target.reset();
    this->armSent = false;
    this->giveUpAt.reset();
}

void RankSwitch::engineReported(const EngineState &engine)
{
    if (!this->state || this->state->epoch != engine.epoch || this->state->group != engine.group
        || this->state->rank != engine.rank)
        this->beginEpoch();
    this->state = engine;
    this->highestVersion =
            std::max({this->highestVersion, engine.mapVersion, engine.preparedVersion.value_or(0)});
    this->receivedVersion = std::max(this->receivedVersion, this->highestVersion);
    if (engine.armed)
        this->highestVersion = std::max(this->highestVersion, engine.armed->version);

    if (this->target && engine.step >= this->target->step && engine.heldStep != this->target->step)
        this->endSwitch();
    // The rank is held or armed, but this agent has no change in progress: the agent has restarted,
    // or the engine executed an earlier command late.
    if (!this->target && engine.armed && engine.armed->step > engine.step)
        this->target = engine.armed;
    else if (!this->target && engine.heldStep && *engine.heldStep > engine.step
             && engine.preparedVersion && !PlanNumbering::isSubstitute(*engine.preparedVersion))
        this->target = MapSwitch{*engine.preparedVersion, *engine.heldStep};
    this->receivedMaps.erase(this->receivedMaps.begin(),
                             this->receivedMaps.lower_bound(engine.mapVersion));
    if (this->toPrepare
        && (engine.preparedVersion == this->toPrepare->version
            || engine.mapVersion >= this->toPrepare->version))
        this->toPrepare.reset();
    this->joinPeers();
}

void RankSwitch::ownerCommanded(const OwnerCommand &command)
{
    if (!this->state || command.epoch != this->state->epoch || command.group != this->state->group
        || command.ballot < this->ballot)
        return;
    if (command.ballot > this->ballot) {
        this->ballot = command.ballot;
        this->toPrepare.reset();
    }
    if (this->target)
        return;
    switch (command.phase) {
    case OwnerCommand::Phase::Survey:
        return;
    case OwnerCommand::Phase::Prepare:
        this->receiveMap(command);
        return;
    case OwnerCommand::Phase::Switch:
        if (this->state->preparedVersion == command.change.version
            && this->state->step < command.change.step)
            this->target = command.change;
        return;
    }
}

void RankSwitch::receiveMap(const OwnerCommand &command)
{
    const std::uint64_t version = command.change.version;
    std::optional<ExpertSlots> map;
    if (!command.delta)
        map = command.map;
    else if (const auto base = this->receivedMaps.find(command.delta->base);
             base != this->receivedMaps.end())
        map = command.delta->applyTo(base->second);
    // Without the base the version counts as not received, and the owner sends the whole map.
    if (!map)
        return;
    this->receivedVersion = std::max(this->receivedVersion, version);
    if (this->state->preparedVersion != version && this->refusedVersion < version
        && this->state->mapVersion < version)
        this->toPrepare = Prepare{version, *map};
    this->receivedMaps.insert_or_assign(version, std::move(*map));
}

void RankSwitch::peerReported(const RankState &peer)
{
    if (!this->state || peer.engine.group != this->state->group
        || peer.engine.epoch != this->state->epoch)
        return;
    if (peer.engine.armed)
        this->armedPeers[peer.engine.rank] = *peer.engine.armed;
    if (peer.engine.rank == Holder && peer.engine.heldStep)
        this->holderHolds = peer.engine.heldStep;
    else if (peer.groupHeldStep)
        this->holderHolds = peer.groupHeldStep;
    if (peer.engine.rank == Holder && peer.engine.armed)
        this->holderArmed = peer.engine.armed;
    else if (peer.holderArmed)
        this->holderArmed = peer.holderArmed;
    if (peer.acknowledgedStep)
        this->acknowledgedSteps[peer.engine.rank] = *peer.acknowledgedStep;
    if (peer.switching)
        this->switchingPeers[peer.engine.rank] = *peer.switching;
    else if (peer.groupSwitch)
        this->switchingPeers[peer.engine.rank] = *peer.groupSwitch;
    if (peer.allArmed)
        this->allArmedReported = peer.allArmed;
    this->joinPeers();
}

void RankSwitch::joinPeers()
{
    if (this->target || !this->state->preparedVersion)
        return;
    for (const auto *peers : {&this->armedPeers, &this->switchingPeers}) {
        for (const auto &[rank, change] : *peers) {
            if (change.version == *this->state->preparedVersion && change.step > this->state->step)
                this->target = change;
        }
    }
}

bool RankSwitch::isArmedHere() const
{
    return this->state->armed == this->target;
}

bool RankSwitch::holdsOwnStep() const
{
    return this->state->heldStep == this->target->step;
}

bool RankSwitch::isHolderArmed() const
{
    return !this->rules.holdBeforeArm || this->holderArmed == this->target;
}

bool RankSwitch::isHoldAcknowledged() const
{
    for (std::uint32_t rank = 0; rank < this->state->ranks; ++rank) {
        if (rank == this->state->rank)
            continue;
        const auto armed = this->armedPeers.find(rank);
        const auto acknowledged = this->acknowledgedSteps.find(rank);
        const bool isArmed = armed != this->armedPeers.end() && armed->second == *this->target;
        if (!isArmed
            && (acknowledged == this->acknowledgedSteps.end()
                || acknowledged->second != this->target->step))
            return false;
    }
    return true;
}

bool RankSwitch::isGivenUp() const
{
    return !this->isArmedHere() && this->state->preparedVersion.value_or(0) > this->target->version;
}

std::optional<EngineCommand::Kind> RankSwitch::nextHolderCommand(Instant now)
{
    if (this->isArmedHere())
        return std::nullopt;
    if (!this->rules.holdBeforeArm)
        return EngineCommand::Kind::Arm;
    if (!this->holdsOwnStep())
        return this->state->ranks > HoldGiver ? std::nullopt
                                              : std::optional(EngineCommand::Kind::Hold);
    if (this->isGivenUp())
        return EngineCommand::Kind::Release;
    if (this->isHoldAcknowledged())
        return EngineCommand::Kind::Arm;
    if (!this->giveUpAt)
        this->giveUpAt = now + MaxAcknowledgeTime;
    const bool isMapKnown = this->receivedMaps.count(this->target->version) != 0;
    return now >= *this->giveUpAt && isMapKnown ? std::optional(EngineCommand::Kind::Prepare)
                                                : std::nullopt;
}

bool RankSwitch::allArmed() const
{
    if (!this->rules.releaseWhenAllArmed)
        return this->isArmedHere();
    if (this->allArmedReported == this->target)
        return true;
    for (std::uint32_t rank = 0; rank < this->state->ranks; ++rank) {
        if (rank == this->state->rank)
            continue;
        const auto found = this->armedPeers.find(rank);
        if (found == this->armedPeers.end() || found->second != *this->target)
            return false;
    }
    return this->isArmedHere();
}

std::optional<EngineCommand> RankSwitch::nextCommand(Instant now)
{
    if (this->commandOutstanding || now < this->nextCommandAt || !this->state
        || !this->state->isOpen)
        return std::nullopt;
    EngineCommand command;
    command.epoch = this->state->epoch;
    if (this->target) {
        command.change = *this->target;
        if (this->allArmed()) {
            if (!this->holdsOwnStep())
                return std::nullopt;
            command.kind = EngineCommand::Kind::Release;
        } else if (this->state->rank == Holder) {
            const auto kind = this->nextHolderCommand(now);
            if (!kind)
                return std::nullopt;
            command.kind = *kind;
            if (*kind == EngineCommand::Kind::Prepare) {
                command.map = this->receivedMaps.at(this->target->version);
                command.change = {PlanNumbering::substituteFor(this->target->version), 0};
            }
        } else if (this->isHolderArmed() && !this->isArmedHere()) {
            command.kind = EngineCommand::Kind::Arm;
        } else {
            return std::nullopt;
        }
        this->armSent = this->armSent || command.kind == EngineCommand::Kind::Arm;
    } else if (this->state->heldStep && *this->state->heldStep > this->state->step) {
        // The step is held, but no map is prepared that the rank could be armed for.
        command.kind = EngineCommand::Kind::Release;
        command.change.step = *this->state->heldStep;
    } else if (this->toPrepare) {
        command.kind = EngineCommand::Kind::Prepare;
        command.change.version = this->toPrepare->version;
        command.map = this->toPrepare->map;
    } else {
        return std::nullopt;
    }
    this->commandOutstanding = true;
    return command;
}

void RankSwitch::commandAnswered(Instant now, const EngineCommand &command,
                                 EngineCommandResult answer)
{
    this->commandOutstanding = false;
    this->lostCommands += answer == EngineCommandResult::Unknown ? 1 : 0;
    this->nextCommandAt = answer == EngineCommandResult::Accepted ? now : now + CommandRetryDelay;
    if (!this->state || command.epoch != this->state->epoch)
        return;
    switch (command.kind) {
    case EngineCommand::Kind::Prepare:
        if (PlanNumbering::isSubstitute(command.change.version)) {
            // The report shows whether the engine has given the change up.
            this->nextCommandAt = now + CommandRetryDelay;
        } else if (answer == EngineCommandResult::Accepted) {
            // Loading takes longer than the call, and the engine refuses a repeated command
            // meanwhile. Its report shows the completion.
            this->nextCommandAt = now + 10 * CommandRetryDelay;
        } else if (answer == EngineCommandResult::Refused && this->toPrepare
                   && this->toPrepare->version == command.change.version) {
            // The engine also refuses a repeated command if it executed the first one but the
            // answer was lost. In this case its report shows the map, which the owner relies on.
            this->refusedVersion = command.change.version;
            this->highestVersion = std::max(this->highestVersion, command.change.version);
            this->toPrepare.reset();
        }
        return;
    case EngineCommand::Kind::Hold:
        if (answer == EngineCommandResult::Accepted)
            this->state->heldStep = command.change.step;
        else if (answer == EngineCommandResult::Refused && !this->armSent
                 && this->target == command.change)
            // The step has begun, so no rank is armed for it.
            this->endSwitch();
        return;
    case EngineCommand::Kind::Arm:
        if (answer == EngineCommandResult::Accepted)
            this->state->armed = command.change;
        return;
    case EngineCommand::Kind::Release:
        if (answer == EngineCommandResult::Accepted)
            this->state->heldStep.reset();
        return;
    }
}

std::optional<EngineCommand> RankSwitch::nextHold(Instant now)
{
    if (this->holdOutstanding || now < this->nextHoldAt || !this->state || !this->state->isOpen
        || !this->target || this->state->rank != HoldGiver || this->armSent
        || this->holderHolds == this->target->step || this->holdAcceptedFor == this->target->step
        || this->state->step >= this->target->step || !this->rules.holdBeforeArm)
        return std::nullopt;
    EngineCommand command;
    command.kind = EngineCommand::Kind::Hold;
    command.epoch = this->state->epoch;
    command.change = *this->target;
    this->holdOutstanding = true;
    return command;
}

void RankSwitch::holdAnswered(Instant now, const EngineCommand &command, EngineCommandResult answer)
{
    this->holdOutstanding = false;
    this->nextHoldAt = now + CommandRetryDelay;
    this->lostCommands += answer == EngineCommandResult::Unknown ? 1 : 0;
    if (!this->state || command.epoch != this->state->epoch || this->target != command.change)
        return;
    // Only the report of the holder counts as known hold: it shows that this agent has not paused.
    if (answer == EngineCommandResult::Accepted)
        this->holdAcceptedFor = command.change.step;
    else if (answer == EngineCommandResult::Refused && !this->armSent)
        // The step has begun, so no rank is armed for it.
        this->endSwitch();
}

std::optional<MapSwitch> RankSwitch::knownGroupSwitch() const
{
    if (this->target || !this->state)
        return this->target;
    for (const auto *peers : {&this->armedPeers, &this->switchingPeers}) {
        for (const auto &[rank, change] : *peers) {
            if (change.step > this->state->step)
                return change;
        }
    }
    return std::nullopt;
}

void RankSwitch::describe(RankState &description) const
{
    if (this->state)
        description.engine = *this->state;
    description.groupSwitch = this->knownGroupSwitch();
    description.groupHeldStep =
            this->state && this->state->rank == Holder ? this->state->heldStep : this->holderHolds;
    description.holderArmed =
            this->state && this->state->rank == Holder ? this->state->armed : this->holderArmed;
    if (this->target && this->state->rank != Holder && this->holderHolds == this->target->step)
        description.acknowledgedStep = this->target->step;
    else
        description.acknowledgedStep.reset();
    description.allArmed = this->target && this->allArmed() ? this->target : std::nullopt;
    description.receivedVersion = this->receivedVersion;
    description.knownVersion = this->state && this->receivedMaps.count(this->state->mapVersion) != 0
                                       ? this->state->mapVersion
                                       : 0;
    description.ballot = this->ballot;
    description.switching = this->target;
    description.highestVersion = this->highestVersion;
    description.lostCommands = this->lostCommands;
    description.refusedVersion = this->refusedVersion;
}

} // namespace Nutmegrill
