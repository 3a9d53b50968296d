#include "SwitchWorld.h"

#include "Experts/LayerPlacement.h"
#include "Experts/PlacementPlanner.h"
#include "RelayShell/PeerCodec.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Tick{20};
constexpr milliseconds StepTime{60};
constexpr milliseconds CountsPeriod{300};
/// Tokens of a rank in one step, and how many of them choose a hot expert of their layer.
constexpr std::uint64_t TokensPerStep = 170;
constexpr double HotShare = 0.35;

} // namespace

SwitchWorld::SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                         RankSwitch::SafetyRules rules)
    : SwitchWorld(ranks, seed, faults, rules, Scale())
{}

SwitchWorld::SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                         RankSwitch::SafetyRules rules, const Scale &scale)
    : ranks(ranks), random(seed), faults(faults), rules(rules), scale(scale),
      network(ranks, scale.links), demand(scale.layers), engines(ranks), agents(ranks)
{
    this->shiftDemand();
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        Engine &engine = this->engines[rank];
        EngineState &state = engine.state;
        state.group = "g";
        state.epoch = 1;
        state.rank = rank;
        state.ranks = ranks;
        state.isOpen = true;
        engine.counts.assign(std::size_t(scale.layers) * scale.experts, 0);
        engine.map.assign(scale.layers, Slots::value_type(ranks));
        for (auto &layer : engine.map) {
            for (std::uint32_t expert = 0; expert < scale.experts; ++expert)
                layer[expert % ranks].push_back(expert);
        }
        this->startAgent(rank);
    }
}

void SwitchWorld::startAgent(std::uint32_t rank)
{
    Agent &agent = this->agents[rank];
    agent.rankSwitch = std::make_unique<RankSwitch>(this->rules);
    SwitchOwner::Settings settings;
    settings.layers = this->scale.layers;
    settings.experts = this->scale.experts;
    settings.placements = this->scale.placements;
    settings.spares = this->scale.spares;
    settings.planner.startSkew = 1.1;
    settings.planner.startAfter = std::chrono::seconds(0);
    settings.planner.minImprovement = 0.01;
    settings.planner.loadsPerRank = this->scale.spares;
    settings.planner.chains = false;
    agent.owner = std::make_unique<SwitchOwner>(settings);
    agent.state = {};
    agent.state.incarnation = ++this->incarnations;
    agent.state.address = std::to_string(rank);
    agent.lastCounts.clear();
    agent.ownReports = 0;
    const std::uint64_t linkRate =
            this->scale.links.bytesPerSecond == 0 ? 1000000 : this->scale.links.bytesPerSecond;
    agent.exchange = std::make_unique<GroupExchange>(GroupExchange::Settings::forLink(linkRate));
    std::set<std::string> addresses;
    for (std::uint32_t other = 0; other < this->ranks; ++other) {
        if (other != rank)
            addresses.insert(std::to_string(other));
    }
    agent.exchange->setPeers(std::move(addresses));
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
        state.preparedVersion.reset();
        engine.prepared = engineCommand.map;
        engine.loadingVersion = engineCommand.change.version;
        engine.loadedAt = this->now + this->scale.copyTime;
        this->finishLoading();
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

void SwitchWorld::finishLoading()
{
    for (Engine &engine : this->engines) {
        if (!engine.loadingVersion || this->now < engine.loadedAt)
            continue;
        engine.state.preparedVersion = engine.loadingVersion;
        engine.loadingVersion.reset();
    }
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
            engine.map = std::exchange(engine.prepared, {});
        }
    }
    const Engine &first = this->engines.front();
    for (const Engine &engine : this->engines) {
        if (engine.state.mapVersion != first.state.mapVersion || engine.map != first.map)
            return "step " + std::to_string(next) + " began with maps "
                   + std::to_string(first.state.mapVersion) + " and "
                   + std::to_string(engine.state.mapVersion);
    }
    this->changes += this->lowestMap() > before ? 1 : 0;
    this->skewSum += this->skewOfStep();
    ++this->measuredSteps;
    if (this->random.below(this->scale.stepsPerShift) == 0)
        this->shiftDemand();
    for (Engine &engine : this->engines) {
        for (std::uint32_t layer = 0; layer < this->scale.layers; ++layer) {
            for (std::uint32_t expert = 0; expert < this->scale.experts; ++expert) {
                const double chosen = this->demand[layer][expert] * TokensPerStep;
                // Rounds up with the probability of the fraction.
                engine.counts[std::size_t(layer) * this->scale.experts + expert] +=
                        static_cast<std::uint64_t>(chosen + this->random.unit());
            }
        }
    }
    return {};
}

void SwitchWorld::shiftDemand()
{
    for (auto &layer : this->demand) {
        layer.assign(this->scale.experts, 0);
        const std::uint32_t hotExperts = 1 + this->scale.experts / 20;
        for (double &share : layer)
            share = (1 - HotShare) / this->scale.experts;
        for (std::uint32_t number = 0; number < hotExperts; ++number)
            layer[this->random.below(this->scale.experts)] += HotShare / hotExperts;
    }
}

double SwitchWorld::skewOfStep() const
{
    ExpertMap map;
    map.slots = this->engines.front().map;
    return PlacementPlanner::skew(map, this->demand);
}

double SwitchWorld::meanSkew() const
{
    return this->skewSum / static_cast<double>(this->measuredSteps);
}

std::uint64_t SwitchWorld::lowestMap() const
{
    return std::min_element(this->engines.begin(), this->engines.end(),
                            [](const Engine &left, const Engine &right) {
                                return left.state.mapVersion < right.state.mapVersion;
                            })
            ->state.mapVersion;
}

void SwitchWorld::post(std::uint32_t from, const GroupExchange::Message &message)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(message.address));
    if (to == from || this->random.unit() < this->faults.lostMessages)
        return;
    std::size_t bytes = 0;
    if (const auto *state = std::get_if<std::shared_ptr<const RankState>>(&message.body))
        bytes = encodeRankState(**state).size();
    else if (const auto *counts = std::get_if<std::shared_ptr<const ExpertCounts>>(&message.body))
        bytes = encodeExpertCounts(**counts).size();
    else
        bytes = encodeOwnerCommand(*std::get<std::shared_ptr<const OwnerCommand>>(message.body))
                        .size();
    if (const auto arrival = this->network.send(this->now, from, to, bytes))
        this->messages.emplace(*arrival + milliseconds(1 + this->random.below(60)),
                               Message{to, message.body});
}

void SwitchWorld::exchangeStates(std::uint32_t rank)
{
    Agent &agent = this->agents[rank];
    agent.rankSwitch->describe(agent.state);
    agent.state.experts.clear();
    for (const auto &layer : this->engines[rank].map)
        agent.state.experts.push_back(layer[rank]);
    RankState own = agent.state;
    own.sequence = ++agent.ownReports;
    agent.owner->report(this->now, own);
    agent.state.wantsExperts = agent.owner->wantsExperts();
    const auto command = agent.owner->tick(this->now, rank);
    if (command)
        agent.rankSwitch->ownerCommanded(*command);
    agent.rankSwitch->describe(agent.state);
    GroupExchange::Messages out;
    agent.exchange->tick(this->now, agent.state, command, out);
    for (const GroupExchange::Message &message : out)
        this->post(rank, message);
}

void SwitchWorld::sampleCounts(std::uint32_t rank)
{
    Agent &agent = this->agents[rank];
    const std::vector<std::uint64_t> &counts = this->engines[rank].counts;
    if (this->now < agent.nextCountsAt)
        return;
    agent.nextCountsAt = this->now + CountsPeriod;
    ExpertCounts sample;
    sample.rank = rank;
    sample.epoch = this->engines[rank].state.epoch;
    for (std::size_t index = 0; index < agent.lastCounts.size(); ++index)
        sample.counts.push_back(counts[index] - agent.lastCounts[index]);
    agent.lastCounts = counts;
    if (agent.exchange->isHub())
        agent.owner->addCounts(sample);
    agent.exchange->countsSampled(std::move(sample));
}

void SwitchWorld::receive(std::uint32_t rank, const RankState &state)
{
    Agent &agent = this->agents[rank];
    if (!agent.exchange->stateReceived(this->now, state))
        return;
    agent.rankSwitch->peerReported(state);
    agent.owner->report(this->now, state);
}

void SwitchWorld::receive(std::uint32_t rank, const OwnerCommand &command)
{
    this->agents[rank].exchange->commandReceived(this->now, command);
    this->agents[rank].rankSwitch->ownerCommanded(command);
}

void SwitchWorld::receive(std::uint32_t rank, const ExpertCounts &counts)
{
    this->agents[rank].owner->addCounts(counts);
}

void SwitchWorld::deliver()
{
    for (const LateCommand &late : this->lateCommands) {
        if (late.due <= this->now)
            this->execute(late.rank, late.order);
    }
    std::erase_if(this->lateCommands,
                  [this](const LateCommand &late) { return late.due <= this->now; });
    while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
        const Message message = this->messages.begin()->second;
        this->messages.erase(this->messages.begin());
        if (this->now < this->agents[message.to].pausedUntil)
            continue;
        std::visit([&](const auto &body) { this->receive(message.to, *body); }, message.body);
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
    this->sampleCounts(rank);
    this->exchangeStates(rank);
}

std::string SwitchWorld::run(milliseconds span)
{
    for (const Instant end = this->now + span; this->now < end; this->now += Tick) {
        this->deliver();
        this->finishLoading();
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
