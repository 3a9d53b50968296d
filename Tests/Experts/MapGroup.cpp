#include "Experts/MapGroup.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds EnginePeriod(2);
constexpr std::chrono::milliseconds TickPeriod(50);
constexpr std::chrono::milliseconds LoadTime(5);

} // namespace

MapGroup::MapGroup(std::uint32_t ranks, std::uint64_t seed, const Network &network,
                   const MapChangeRules &rules)
    : ranks(ranks), random(seed), network(network), rules(rules), members(ranks)
{
    for (Peer rank = 0; rank < ranks; ++rank)
        this->members[rank].logic = std::make_unique<MapChangeMember>(rank, ranks, 1, rules);
    this->events.emplace(this->now, [this] { this->tickProcesses(); });
    this->events.emplace(this->now, [this] { this->runEngines(); });
}

void MapGroup::run(std::chrono::milliseconds span)
{
    this->runUntil([] { return false; }, span);
}

bool MapGroup::runUntil(const std::function<bool()> &done, std::chrono::milliseconds span)
{
    const Instant end = this->now + span;
    while (!done()) {
        auto event = this->events.begin();
        if (event->first > end) {
            this->now = end;
            return false;
        }
        this->now = event->first;
        const auto action = std::move(event->second);
        this->events.erase(event);
        action();
    }
    return true;
}

void MapGroup::found()
{
    const std::vector<std::uint64_t> incarnations(this->ranks, 1);
    for (Peer rank = 0; rank < this->ranks; ++rank)
        this->deliver({this->ranks, rank, MapMessage::Found{1, this->plan(0), incarnations}});
}

MapGroup::Peer MapGroup::addOwner(std::uint64_t fence, bool proposes)
{
    const Peer peer = this->ranks + static_cast<Peer>(this->owners.size());
    auto &process = this->owners[peer];
    process.logic = std::make_unique<MapChangeOwner>(this->ranks, fence, this->plan(0));
    process.proposes = proposes;
    process.incarnation = fence;
    MapChangeCommand::List commands;
    process.logic->survey(this->now, commands);
    this->execute(peer, commands);
    return peer;
}

void MapGroup::kill(Peer peer)
{
    this->trace("kill " + std::to_string(peer));
    if (peer >= this->ranks) {
        this->owners.at(peer).logic.reset();
        return;
    }
    this->members[peer].logic.reset();
    this->broken = true;
}

void MapGroup::restart(Peer rank)
{
    auto &process = this->members[rank];
    if (process.logic != nullptr)
        return;
    ++process.incarnation;
    process.waiting.clear();
    process.frozen = false;
    process.logic =
            std::make_unique<MapChangeMember>(rank, this->ranks, process.incarnation, this->rules);
}

void MapGroup::freeze(Peer peer)
{
    this->trace("freeze " + std::to_string(peer));
    (peer < this->ranks ? this->members[peer].frozen : this->owners.at(peer).frozen) = true;
}

void MapGroup::resume(Peer peer)
{
    this->trace("resume " + std::to_string(peer));
    auto &frozen = peer < this->ranks ? this->members[peer].frozen : this->owners.at(peer).frozen;
    frozen = false;
    const auto waiting = std::exchange(
            peer < this->ranks ? this->members[peer].waiting : this->owners.at(peer).waiting, {});
    for (const Packet &packet : waiting)
        this->deliver(packet);
}

void MapGroup::onMessage(Observer call)
{
    this->call = std::move(call);
    this->delivered = 0;
}

std::vector<std::string> MapGroup::takeTrace()
{
    return std::exchange(this->lines, {});
}

std::uint64_t MapGroup::stepsWithTwoMaps() const
{
    return static_cast<std::uint64_t>(
            std::count_if(this->epochsOfStep.begin(), this->epochsOfStep.end(),
                          [](const auto &entry) { return entry.second.size() > 1; }));
}

bool MapGroup::isSettled() const
{
    const bool idle = std::all_of(this->owners.begin(), this->owners.end(), [](const auto &entry) {
        return entry.second.logic == nullptr || entry.second.logic->isIdle();
    });
    return idle && std::all_of(this->members.begin(), this->members.end(), [this](auto &process) {
               return process.logic != nullptr && process.logic->isMember()
                      && !process.logic->isArmed()
                      && process.logic->map() == this->members[0].logic->map();
           });
}

void MapGroup::send(Peer from, Peer to, const MapMessage::Any &message)
{
    if (this->random.unit() < this->network.duplication)
        this->schedule(from, to, message);
    if (this->random.unit() >= this->network.loss)
        this->schedule(from, to, message);
}

void MapGroup::schedule(Peer from, Peer to, const MapMessage::Any &message)
{
    const auto spread = (this->network.longest - this->network.shortest).count();
    const auto delay =
            this->network.shortest
            + std::chrono::microseconds(this->random.below(static_cast<std::uint64_t>(spread) + 1))
            + this->extraDelay[to];
    this->events.emplace(this->now + delay, [this, packet = Packet{from, to, message}] {
        if (this->call)
            this->call(this->delivered, packet.message);
        ++this->delivered;
        this->deliver(packet);
    });
}

void MapGroup::deliver(const Packet &packet)
{
    const auto give = [&](auto &process) {
        if (process.logic == nullptr)
            return;
        if (process.frozen) {
            process.waiting.push_back(packet);
            return;
        }
        if (this->tracing)
            this->trace(std::to_string(packet.from) + " -> " + std::to_string(packet.to) + " "
                        + encodeMapMessage(packet.message));
        MapChangeCommand::List commands;
        process.logic->handle(this->now, packet.from, packet.message, commands);
        this->execute(packet.to, commands);
    };
    if (packet.to < this->ranks)
        give(this->members[packet.to]);
    else if (const auto owner = this->owners.find(packet.to); owner != this->owners.end())
        give(owner->second);
}

void MapGroup::execute(Peer self, const MapChangeCommand::List &commands)
{
    for (const auto &command : commands) {
        if (const auto *message = std::get_if<MapChangeCommand::Send>(&command)) {
            this->send(self, message->to, message->message);
        } else if (const auto *stage = std::get_if<MapChangeCommand::StageWeights>(&command)) {
            const auto incarnation = this->members[self].incarnation;
            this->events.emplace(this->now + LoadTime, [this, self, incarnation,
                                                        change = stage->change] {
                auto &process = this->members[self];
                if (process.logic == nullptr || process.incarnation != incarnation)
                    return;
                MapChangeCommand::List results;
                process.logic->weightsStaged(change, this->cannotStage.count(self) == 0, results);
                this->execute(self, results);
            });
        } else if (const auto *use = std::get_if<MapChangeCommand::UseMap>(&command)) {
            this->trace(std::to_string(self) + " uses epoch " + std::to_string(use->map.epoch)
                        + " from step " + std::to_string(use->step));
            // The first expert of the map identifies the owner that planned it.
            const auto planner = use->map.slots[0][0][0];
            if (use->map.epoch > this->newestEpoch && planner != 0 && planner < this->newestFence)
                ++this->stale;
            this->newestEpoch = std::max(this->newestEpoch, use->map.epoch);
        }
    }
}

void MapGroup::tickProcesses()
{
    const auto tick = [this](Peer peer, auto &process) {
        if (process.logic == nullptr || process.frozen)
            return;
        MapChangeCommand::List commands;
        process.logic->tick(this->now, commands);
        this->execute(peer, commands);
    };
    for (Peer rank = 0; rank < this->ranks; ++rank)
        tick(rank, this->members[rank]);
    for (auto &[peer, process] : this->owners) {
        tick(peer, process);
        if (process.logic == nullptr || process.frozen || !process.logic->isIdle())
            continue;
        this->newestFence = std::max(this->newestFence, process.incarnation);
        if (!std::exchange(process.proposes, false))
            continue;
        ExpertMap next = this->plan(process.incarnation);
        next.epoch = process.logic->currentMap().epoch + 1;
        MapChangeCommand::List commands;
        process.logic->propose(this->now, next, commands);
        this->execute(peer, commands);
    }
    this->events.emplace(this->now + TickPeriod, [this] { this->tickProcesses(); });
}

void MapGroup::runEngines()
{
    this->events.emplace(this->now + EnginePeriod, [this] { this->runEngines(); });
    const bool ready =
            std::all_of(this->members.begin(), this->members.end(), [](const auto &process) {
                return process.logic != nullptr && !process.frozen && process.logic->isMember();
            });
    if (this->broken && ready) {
        for (const auto &process : this->members)
            this->next = std::max(this->next, process.logic->firstStep());
        this->broken = false;
    }
    if (this->next == 0 || this->stalled)
        return;
    bool all = true;
    for (auto &process : this->members) {
        if (process.logic == nullptr || process.frozen) {
            all = false;
        } else if (process.started < this->next) {
            const auto permission = process.logic->mayRun(this->next);
            all = all && permission.run;
            if (permission.run) {
                process.started = this->next;
                this->epochsOfStep[this->next].insert(permission.epoch);
            } else {
                this->held.insert(this->next);
            }
        }
    }
    // A step of a broken collective never ends.
    if (all && !this->broken)
        ++this->next;
}

void MapGroup::trace(const std::string &line)
{
    if (this->tracing)
        this->lines.push_back(std::to_string(this->now.time_since_epoch().count()) + " " + line);
}

// One expert suffices to distinguish the plans of two owners, and is cheap to copy.
ExpertMap MapGroup::plan(std::uint64_t fence)
{
    return {0, {{{static_cast<std::uint32_t>(fence)}}}};
}

} // namespace Nutmegrill
