#include "SwitchWorld.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Experts = 12;
constexpr milliseconds Tick{20};
constexpr milliseconds StepTime{60};

} // namespace

SwitchWorld::SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                         RankSwitch::SafetyRules rules)
    : ranks(ranks), random(seed), faults(faults), rules(rules), engines(ranks), agents(ranks),
      counts(ranks, std::vector<std::uint64_t>(Experts, 0))
{
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        EngineState &state = this->engines[rank].state;
        state.group = "g";
        state.epoch = 1;
        state.rank = rank;
        state.ranks = ranks;
        state.isOpen = true;
        this->startAgent(rank);
    }
}

void SwitchWorld::startAgent(std::uint32_t rank)
{
    Agent &agent = this->agents[rank];
    agent.rankSwitch = std::make_unique<RankSwitch>(this->rules);
    SwitchOwner::Settings settings;
    settings.layers = 1;
    settings.experts = Experts;
    settings.placements = Experts;
    settings.spares = 3;
    settings.planner.startSkew = 1.1;
    settings.planner.startAfter = std::chrono::seconds(0);
    settings.planner.minImprovement = 0.01;
    settings.planner.loadsPerRank = 3;
    settings.planner.chains = false;
    agent.owner = std::make_unique<SwitchOwner>(settings);
    agent.state = {};
    agent.state.incarnation = ++this->incarnations;
}

EngineCommandResult SwitchWorld::execute(std::uint32_t rank, const EngineCommand &engineCommand)
{
    Engine &engine = this->engines[rank];
    EngineState &state = engine.state;
    if (engineCommand.epoch != state.epoch)
        return EngineCommandResult::Refused;
    switch (engineCommand.kind) {
    case EngineCommand::Kind::Prepare:
        if (engineCommand.change.version <= engine.highestVersion || state.armed)
            return EngineCommandResult::Refused;
        engine.highestVersion = engineCommand.change.version;
        state.preparedVersion = engineCommand.change.version;
        return EngineCommandResult::Accepted;
    case EngineCommand::Kind::Hold:
        if (engineCommand.change.step <= this->currentStep)
            return EngineCommandResult::Refused;
        state.heldStep = engineCommand.change.step;
        return EngineCommandResult::Accepted;
    case EngineCommand::Kind::Arm:
        if (state.preparedVersion != engineCommand.change.version
            || engineCommand.change.step <= this->currentStep)
            return EngineCommandResult::Refused;
        state.armed = engineCommand.change;
        return EngineCommandResult::Accepted;
    case EngineCommand::Kind::Release:
        if (state.heldStep == engineCommand.change.step)
            state.heldStep.reset();
        return EngineCommandResult::Accepted;
    }
    return EngineCommandResult::Refused;
}

std::string SwitchWorld::advanceStep()
{
    if (this->now < this->nextStepAt)
        return {};
    const std::uint64_t next = this->currentStep + 1;
    const bool isHeld =
            std::any_of(this->engines.begin(), this->engines.end(),
                        [&](const Engine &engine) { return engine.state.heldStep == next; });
    if (isHeld)
        return {};
    this->nextStepAt = this->now + StepTime;
    this->currentStep = next;
    const std::uint64_t before = this->lowestMap();
    for (Engine &engine : this->engines) {
        engine.state.step = next;
        if (engine.state.armed && engine.state.armed->step == next) {
            engine.state.mapVersion = engine.state.armed->version;
            engine.state.armed.reset();
            engine.state.preparedVersion.reset();
        }
    }
    for (const Engine &engine : this->engines) {
        if (engine.state.mapVersion != this->engines.front().state.mapVersion)
            return "step " + std::to_string(next) + " began with maps "
                   + std::to_string(this->engines.front().state.mapVersion) + " and "
                   + std::to_string(engine.state.mapVersion);
    }
    this->changes += this->lowestMap() > before ? 1 : 0;
    this->shiftDemand();
    return {};
}

void SwitchWorld::shiftDemand()
{
    if (this->random.below(40) == 0)
        this->hotExpert = static_cast<std::uint32_t>(this->random.below(Experts));
    for (auto &row : this->counts) {
        for (std::uint32_t expert = 0; expert < Experts; ++expert)
            row[expert] += expert == this->hotExpert ? 60 : 10;
    }
}

std::uint64_t SwitchWorld::lowestMap() const
{
    return std::min_element(this->engines.begin(), this->engines.end(),
                            [](const Engine &left, const Engine &right) {
                                return left.state.mapVersion < right.state.mapVersion;
                            })
            ->state.mapVersion;
}

void SwitchWorld::send(std::uint32_t from, const RankState &state,
                       const std::optional<OwnerCommand> &command)
{
    for (std::uint32_t to = 0; to < this->ranks; ++to) {
        if (to == from || this->random.unit() < this->faults.lostMessages)
            continue;
        this->messages.push_back(
                {this->now + milliseconds(1 + this->random.below(60)), to, state, command});
    }
}

void SwitchWorld::deliver()
{
    for (const LateCommand &late : this->lateCommands) {
        if (late.due <= this->now)
            this->execute(late.rank, late.order);
    }
    std::erase_if(this->lateCommands,
                  [this](const LateCommand &late) { return late.due <= this->now; });
    std::vector<Message> due;
    for (const Message &message : this->messages) {
        if (message.due <= this->now)
            due.push_back(message);
    }
    std::erase_if(this->messages,
                  [this](const Message &message) { return message.due <= this->now; });
    for (const Message &message : due) {
        Agent &agent = this->agents[message.to];
        if (this->now < agent.pausedUntil)
            continue;
        if (message.command) {
            agent.rankSwitch->ownerCommanded(*message.command);
        } else {
            agent.rankSwitch->peerReported(message.state);
            agent.owner->report(this->now, message.state);
        }
    }
}

void SwitchWorld::runAgent(std::uint32_t rank)
{
    Agent &agent = this->agents[rank];
    if (this->now < agent.pausedUntil)
        return;
    if (this->faults.pauses && this->random.below(600) == 0) {
        agent.pausedUntil = this->now + milliseconds(200 + this->random.below(2000));
        return;
    }
    if (this->faults.restarts && this->random.below(900) == 0) {
        this->startAgent(rank);
        agent.pausedUntil = this->now + milliseconds(300);
        return;
    }
    if (this->now >= agent.nextReportAt) {
        agent.nextReportAt = this->now + (agent.rankSwitch->isBusy() ? Tick : 5 * Tick);
        agent.rankSwitch->engineReported(this->engines[rank].state);
    }
    if (const auto engineCommand = agent.rankSwitch->nextCommand(this->now)) {
        if (this->random.unit() < this->faults.lateCommands) {
            this->lateCommands.push_back({this->now + milliseconds(100 + this->random.below(6000)),
                                          rank, *engineCommand});
            agent.rankSwitch->commandAnswered(this->now, *engineCommand,
                                              EngineCommandResult::Unknown);
        } else {
            agent.rankSwitch->commandAnswered(this->now, *engineCommand,
                                              this->execute(rank, *engineCommand));
        }
    }
    agent.rankSwitch->describe(agent.state);
    ++agent.state.sequence;
    agent.state.counts = this->counts[rank];
    agent.state.experts = {{}};
    for (std::uint32_t expert = rank; expert < Experts; expert += this->ranks)
        agent.state.experts[0].push_back(expert);
    agent.owner->report(this->now, agent.state);
    this->send(rank, agent.state, std::nullopt);
    if (const auto command = agent.owner->tick(this->now, rank)) {
        agent.rankSwitch->ownerCommanded(*command);
        this->send(rank, agent.state, command);
    }
}

std::string SwitchWorld::run(milliseconds span)
{
    for (const Instant end = this->now + span; this->now < end; this->now += Tick) {
        this->deliver();
        for (std::uint32_t rank = 0; rank < this->ranks; ++rank)
            this->runAgent(rank);
        if (const std::string violation = this->advanceStep(); !violation.empty())
            return violation;
    }
    return {};
}

void SwitchWorld::stopFaults()
{
    this->faults = {};
}

} // namespace Nutmegrill
