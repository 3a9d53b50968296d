#include "SwitchWorld.h"

#include "Experts/LayerPlacement.h"
#include "Experts/PlacementPlanner.h"
#include "RelayShell/PeerCodec.h"

#include <algorithm>
#include <chrono>
#include <limits>
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
constexpr std::uint64_t MaxPlanTag = 1U << 20U;
/// Of this decade, so that numbers are as long as on real machines.
constexpr std::chrono::system_clock::time_point StartOfDay{std::chrono::seconds(1800000000)};

} // namespace

SwitchWorld::SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                         RankSwitch::SafetyRules rules)
    : SwitchWorld(ranks, seed, faults, rules, Scale())
{}

SwitchWorld::SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                         RankSwitch::SafetyRules rules, const Scale &scale)
    : random(seed), faults(faults), rules(rules), scale(scale),
      network(std::accumulate(scale.otherGroups.begin(), scale.otherGroups.end(), ranks),
              scale.links)
{
    std::vector<std::uint32_t> sizes{ranks};
    sizes.insert(sizes.end(), scale.otherGroups.begin(), scale.otherGroups.end());
    for (const std::uint32_t size : sizes) {
        Group &group = this->groups.emplace_back();
        group.name = "g" + std::to_string(this->groups.size());
        group.demand.resize(scale.layers);
        this->shiftDemand(group);
        for (std::uint32_t rank = 0; rank < size; ++rank)
            group.members.push_back(static_cast<std::uint32_t>(this->engines.size()) + rank);
        this->engines.resize(this->engines.size() + size);
        this->formGroup(group);
    }
    this->agents.resize(this->engines.size());
    for (std::uint32_t server = 0; server < this->engines.size(); ++server)
        this->startAgent(server);
}

void SwitchWorld::formGroup(Group &group)
{
    const auto ranks = static_cast<std::uint32_t>(group.members.size());
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        Engine &engine = this->engines[group.members[rank]];
        engine = {};
        EngineState &state = engine.state;
        state.group = group.name;
        state.epoch = group.epoch;
        state.rank = rank;
        state.ranks = ranks;
        state.isOpen = true;
        state.step = group.step;
        engine.counts.assign(std::size_t(this->scale.layers) * this->scale.experts, 0);
        engine.map.assign(this->scale.layers, Slots::value_type(ranks));
        for (auto &layer : engine.map) {
            for (std::uint32_t expert = 0; expert < this->scale.experts; ++expert)
                layer[expert % ranks].push_back(expert);
        }
    }
}

SwitchWorld::Group &SwitchWorld::groupOf(std::uint32_t server)
{
    return *std::find_if(this->groups.begin(), this->groups.end(), [&](const Group &group) {
        return group.name == this->engines[server].state.group;
    });
}

void SwitchWorld::delayGroup(std::uint32_t group)
{
    this->groups[group].isFounded = false;
}

void SwitchWorld::foundGroup(std::uint32_t group)
{
    this->groups[group].isFounded = true;
}

void SwitchWorld::moveServer(std::uint32_t from, std::uint32_t to)
{
    this->groups[to].members.push_back(this->groups[from].members.back());
    this->groups[from].members.pop_back();
    for (const std::uint32_t changed : {from, to}) {
        ++this->groups[changed].epoch;
        this->formGroup(this->groups[changed]);
    }
}

void SwitchWorld::repeatMessages(std::uint32_t from, std::uint32_t to)
{
    for (const std::uint32_t sender : this->groups[from].members) {
        for (const auto &[kind, body] : this->agents[sender].sent) {
            for (const std::uint32_t receiver : this->groups[to].members)
                this->messages.emplace(this->now, Message{receiver, body});
        }
    }
}

void SwitchWorld::startAgent(std::uint32_t server)
{
    Agent &agent = this->agents[server];
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
    const std::chrono::system_clock::time_point timeOfDay =
            StartOfDay
            + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                    this->now.time_since_epoch());
    agent.owner = std::make_unique<SwitchOwner>(
            settings, PlanNumbering(timeOfDay, this->random.below(MaxPlanTag)));
    agent.state = {};
    agent.pace = {};
    agent.state.incarnation = ++this->incarnations;
    agent.state.address = std::to_string(server);
    agent.state.entry = "10.20.30." + std::to_string(server) + ":7340";
    agent.lastCounts.clear();
    agent.ownReports = 0;
    const std::uint64_t linkRate =
            this->scale.links.bytesPerSecond == 0 ? 1000000 : this->scale.links.bytesPerSecond;
    agent.exchange = std::make_unique<GroupExchange>(GroupExchange::Settings::forLink(linkRate));
    std::set<std::string> addresses;
    for (std::uint32_t other = 0; other < this->engines.size(); ++other) {
        if (other != server)
            addresses.insert(std::to_string(other));
    }
    agent.exchange->setPeers(addresses);
}

EngineCommandResult SwitchWorld::execute(std::uint32_t server, const EngineCommand &engineCommand)
{
    Engine &engine = this->engines[server];
    EngineState &state = engine.state;
    const std::uint64_t currentStep = this->groupOf(server).step;
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
        if (engineCommand.change.step <= currentStep)
            return EngineCommandResult::Refused;
        state.heldStep = engineCommand.change.step;
        return EngineCommandResult::Accepted;
    case EngineCommand::Kind::Arm:
        if (state.preparedVersion != engineCommand.change.version
            || engineCommand.change.step <= currentStep)
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

std::string SwitchWorld::advanceStep(Group &group)
{
    if (this->now < group.nextStepAt || !group.isFounded)
        return {};
    const std::uint64_t next = group.step + 1;
    const auto index = static_cast<std::uint32_t>(&group - this->groups.data());
    const bool isHeld =
            std::any_of(group.members.begin(), group.members.end(), [&](std::uint32_t server) {
                return this->engines[server].state.heldStep == next;
            });
    if (isHeld)
        return {};
    group.nextStepAt = this->now + StepTime;
    group.longestStandstill =
            std::max(group.longestStandstill,
                     std::chrono::duration_cast<milliseconds>(this->now - group.lastStepAt));
    group.lastStepAt = this->now;
    group.step = next;
    const std::uint64_t before = this->lowestMap(index);
    for (const std::uint32_t server : group.members) {
        Engine &engine = this->engines[server];
        engine.state.step = next;
        if (engine.state.armed && engine.state.armed->step == next) {
            engine.state.mapVersion = engine.state.armed->version;
            engine.state.armed.reset();
            engine.state.preparedVersion.reset();
            engine.map = std::exchange(engine.prepared, {});
        }
    }
    const Engine &first = this->engines[group.members.front()];
    for (const std::uint32_t server : group.members) {
        const Engine &engine = this->engines[server];
        if (engine.state.mapVersion != first.state.mapVersion || engine.map != first.map)
            return group.name + ": step " + std::to_string(next) + " began with maps "
                   + std::to_string(first.state.mapVersion) + " and "
                   + std::to_string(engine.state.mapVersion);
    }
    group.changes += this->lowestMap(index) > before ? 1 : 0;
    group.skewSum += this->skewOfStep(group);
    ++group.measuredSteps;
    if (this->random.below(this->scale.stepsPerShift) == 0)
        this->shiftDemand(group);
    for (const std::uint32_t server : group.members) {
        Engine &engine = this->engines[server];
        for (std::uint32_t layer = 0; layer < this->scale.layers; ++layer) {
            for (std::uint32_t expert = 0; expert < this->scale.experts; ++expert) {
                const double chosen = group.demand[layer][expert] * TokensPerStep;
                // Rounds up with the probability of the fraction.
                engine.counts[std::size_t(layer) * this->scale.experts + expert] +=
                        static_cast<std::uint64_t>(chosen + this->random.unit());
            }
        }
    }
    return {};
}

void SwitchWorld::shiftDemand(Group &group)
{
    for (auto &layer : group.demand) {
        layer.assign(this->scale.experts, 0);
        const std::uint32_t hotExperts = 1 + this->scale.experts / 20;
        for (double &share : layer)
            share = (1 - HotShare) / this->scale.experts;
        for (std::uint32_t number = 0; number < hotExperts; ++number)
            layer[this->random.below(this->scale.experts)] += HotShare / hotExperts;
    }
}

double SwitchWorld::skewOfStep(const Group &group) const
{
    ExpertMap map;
    map.slots = this->engines[group.members.front()].map;
    PlacementPlanner::Paces paces;
    for (const std::uint32_t server : group.members)
        paces.push_back(this->engines[server].state.pace);
    return PlacementPlanner::skew(map, group.demand, paces);
}

double SwitchWorld::meanSkew(std::uint32_t group) const
{
    return this->groups[group].skewSum / static_cast<double>(this->groups[group].measuredSteps);
}

std::uint64_t SwitchWorld::lowestMap(std::uint32_t group) const
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const std::uint32_t server : this->groups[group].members)
        lowest = std::min(lowest, this->engines[server].state.mapVersion);
    return lowest;
}

void SwitchWorld::post(std::uint32_t from, const GroupExchange::Message &message)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(message.address));
    this->agents[from].sent.insert_or_assign(message.body.index(), message.body);
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

void SwitchWorld::describe(Agent &agent) const
{
    agent.rankSwitch->describe(agent.state);
    agent.state.engine.pace = this->scale.reportsPace ? agent.pace.at(this->now) : 1;
}

void SwitchWorld::exchangeStates(std::uint32_t server)
{
    Agent &agent = this->agents[server];
    this->describe(agent);
    agent.state.experts.clear();
    const EngineState &engine = this->engines[server].state;
    const std::uint32_t rank = agent.rankSwitch->engine()->rank;
    // The agent reads the experts after the report that names the group.
    if (agent.rankSwitch->engine()->group == engine.group
        && agent.rankSwitch->engine()->epoch == engine.epoch) {
        for (const auto &layer : this->engines[server].map)
            agent.state.experts.push_back(layer[rank]);
    }
    RankState own = agent.state;
    own.sequence = ++agent.ownReports;
    agent.owner->enterGroup({own.engine.group, own.engine.ranks});
    agent.owner->report(this->now, own);
    agent.state.wantsExperts = agent.owner->wantsExperts();
    const auto command = agent.owner->tick(this->now, rank);
    if (command)
        agent.rankSwitch->ownerCommanded(*command);
    this->describe(agent);
    GroupExchange::Messages out;
    agent.exchange->tick(this->now, agent.state, command, out);
    for (const GroupExchange::Message &message : out)
        this->post(server, message);
}

void SwitchWorld::sampleCounts(std::uint32_t server)
{
    Agent &agent = this->agents[server];
    const std::vector<std::uint64_t> &counts = this->engines[server].counts;
    if (this->now < agent.nextCountsAt)
        return;
    agent.nextCountsAt = this->now + CountsPeriod;
    ExpertCounts sample;
    sample.group = agent.rankSwitch->engine()->group;
    sample.rank = agent.rankSwitch->engine()->rank;
    sample.epoch = agent.rankSwitch->engine()->epoch;
    for (std::size_t index = 0; index < agent.lastCounts.size(); ++index)
        sample.counts.push_back(counts[index] - std::min(counts[index], agent.lastCounts[index]));
    agent.lastCounts = counts;
    if (agent.exchange->isHub())
        agent.owner->addCounts(sample);
    agent.exchange->countsSampled(std::move(sample));
}

void SwitchWorld::receive(std::uint32_t server, const RankState &state)
{
    Agent &agent = this->agents[server];
    if (agent.exchange->stateReceived(this->now, state) != GroupExchange::Receipt::New)
        return;
    agent.rankSwitch->peerReported(state);
    agent.owner->report(this->now, state);
}

void SwitchWorld::receive(std::uint32_t server, const OwnerCommand &command)
{
    this->agents[server].exchange->commandReceived(this->now, command);
    this->agents[server].rankSwitch->ownerCommanded(command);
}

void SwitchWorld::receive(std::uint32_t server, const ExpertCounts &counts)
{
    this->agents[server].owner->addCounts(counts);
}

void SwitchWorld::deliver()
{
    for (const LateCommand &late : this->lateCommands) {
        if (late.due <= this->now)
            this->execute(late.server, late.order);
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

void SwitchWorld::restartAllAgents()
{
    if (!std::exchange(this->restartsAll, false))
        return;
    for (std::uint32_t server = 0; server < this->agents.size(); ++server) {
        this->startAgent(server);
        this->agents[server].pausedUntil = this->now + milliseconds(300);
    }
}

void SwitchWorld::runAgent(std::uint32_t server)
{
    Agent &agent = this->agents[server];
    if (this->now < agent.pausedUntil || !this->groupOf(server).isFounded)
        return;
    if (this->faults.pauses && this->random.below(600) == 0) {
        agent.pausedUntil = this->now + milliseconds(200 + this->random.below(2000));
        return;
    }
    if (this->faults.restarts && this->random.below(900) == 0) {
        this->startAgent(server);
        agent.pausedUntil = this->now + milliseconds(300);
        return;
    }
    if (this->now >= agent.nextReportAt) {
        agent.nextReportAt = this->now + (agent.rankSwitch->isBusy() ? Tick : 5 * Tick);
        agent.rankSwitch->engineReported(this->engines[server].state);
        agent.pace.reported(this->now, this->engines[server].state.pace);
    }
    if (const auto engineCommand = agent.rankSwitch->nextCommand(this->now)) {
        if (this->random.unit() < this->faults.lateCommands) {
            this->lateCommands.push_back({this->now + milliseconds(100 + this->random.below(6000)),
                                          server, *engineCommand});
            if (this->faults.restartsOfAll > 0
                && engineCommand->kind == EngineCommand::Kind::Prepare)
                this->restartsAll = this->random.unit() < this->faults.restartsOfAll;
            agent.rankSwitch->commandAnswered(this->now, *engineCommand,
                                              EngineCommandResult::Unknown);
        } else {
            agent.rankSwitch->commandAnswered(this->now, *engineCommand,
                                              this->execute(server, *engineCommand));
        }
    }
    this->giveHold(server);
    this->sampleCounts(server);
    this->exchangeStates(server);
}

void SwitchWorld::giveHold(std::uint32_t server)
{
    Agent &agent = this->agents[server];
    const auto hold = agent.rankSwitch->nextHold(this->now);
    if (!hold)
        return;
    const std::uint32_t holder = this->groupOf(server).members[RankSwitch::Holder];
    if (this->random.unit() < this->faults.lateCommands) {
        this->lateCommands.push_back(
                {this->now + milliseconds(100 + this->random.below(6000)), holder, *hold});
        agent.rankSwitch->holdAnswered(this->now, *hold, EngineCommandResult::Unknown);
        return;
    }
    agent.rankSwitch->holdAnswered(this->now, *hold, this->execute(holder, *hold));
    if (this->faults.pauseAfterHold > milliseconds(0))
        agent.pausedUntil = this->now + this->faults.pauseAfterHold;
}

std::string SwitchWorld::run(milliseconds span)
{
    for (const Instant end = this->now + span; this->now < end; this->now += Tick) {
        this->deliver();
        this->finishLoading();
        this->restartAllAgents();
        for (std::uint32_t server = 0; server < this->agents.size(); ++server)
            this->runAgent(server);
        for (Group &group : this->groups) {
            if (const std::string violation = this->advanceStep(group); !violation.empty())
                return violation;
        }
    }
    return {};
}

void SwitchWorld::stopFaults()
{
    this->faults = {};
}

} // namespace Nutmegrill
