#pragma once

#include "Core/RandomSource.h"
#include "Experts/MapChangeMember.h"
#include "Experts/MapChangeOwner.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Simulates a rank group and its owners on a network with delay, loss, duplication and
/// reordering. The engines run in lockstep: a rank starts a step when all ranks have started the
/// one before. A restart of a rank breaks their collective, and they resume at the highest first
/// step.
class MapGroup
{
public:
    using Peer = MapMessage::Peer;

    struct Network
    {
        std::chrono::microseconds shortest{200};
        std::chrono::microseconds longest{200};
        double loss = 0;
        double duplication = 0;
    };

    MapGroup(std::uint32_t ranks, std::uint64_t seed, const Network &network,
             const MapChangeRules &rules = {});

    /// Runs the simulation for \a span.
    void run(std::chrono::milliseconds span);
    /// Runs until \a done or for at most \a span; returns whether \a done was reached.
    bool runUntil(const std::function<bool()> &done, std::chrono::milliseconds span);

    /// Makes all ranks members at once, without the messages of a founding.
    void found();
    /// Adds an owner with this fencing number, which surveys and proposes one change.
    Peer addOwner(std::uint64_t fence, bool proposes = true);
    void kill(Peer peer);
    void restart(Peer rank);
    void freeze(Peer peer);
    void resume(Peer peer);
    using Observer = std::function<void(std::uint64_t number, const MapMessage::Any &message)>;
    /// Called before each message is delivered, with its number since this call.
    void onMessage(Observer call);
    /// Adds \a delay to messages that are sent to \a peer from now on.
    void slowDown(Peer peer, std::chrono::milliseconds delay) { this->extraDelay[peer] = delay; }
    void failStaging(Peer rank) { this->cannotStage.insert(rank); }
    void stallEngines(bool stalled) { this->stalled = stalled; }
    void setNetwork(const Network &network) { this->network = network; }
    /// Lines of all messages delivered and maps put into use since the last call.
    std::vector<std::string> takeTrace();
    void recordTrace() { this->tracing = true; }

    std::uint64_t messages() const { return this->delivered; }
    std::uint64_t step() const { return this->next; }
    std::uint64_t stepsHeld() const { return this->held.size(); }
    std::uint64_t stepsWithTwoMaps() const;
    /// Commits by a rank under a lower fencing number than that of the newest owner that surveyed
    /// all ranks.
    std::uint64_t staleCommits() const { return this->stale; }
    const MapChangeMember &member(Peer rank) const { return *this->members[rank].logic; }
    const MapChangeOwner &owner(Peer peer) const { return *this->owners.at(peer).logic; }
    /// Whether all ranks are members with one map and no open change, and no owner is at work.
    bool isSettled() const;

private:
    struct Packet
    {
        Peer from = 0;
        Peer to = 0;
        MapMessage::Any message;
    };

    template <typename Logic>
    struct Process
    {
        std::unique_ptr<Logic> logic;
        bool frozen = false;
        bool proposes = false;
        std::vector<Packet> waiting;
        std::uint64_t incarnation = 1;
        std::uint64_t started = 0;
    };

    void send(Peer from, Peer to, const MapMessage::Any &message);
    void schedule(Peer from, Peer to, const MapMessage::Any &message);
    void deliver(const Packet &packet);
    void execute(Peer self, const MapChangeCommand::List &commands);
    void tickProcesses();
    void runEngines();
    void trace(const std::string &line);
    static ExpertMap plan(std::uint64_t fence);

    std::uint32_t ranks;
    RandomSource random;
    Network network;
    MapChangeRules rules;
    Instant now{std::chrono::milliseconds(1)};
    std::vector<Process<MapChangeMember>> members;
    std::map<Peer, Process<MapChangeOwner>> owners;
    std::multimap<Instant, std::function<void()>> events;
    std::map<Peer, std::chrono::milliseconds> extraDelay;
    std::set<Peer> cannotStage;
    Observer call;
    std::uint64_t delivered = 0;
    std::uint64_t stale = 0;
    std::uint64_t newestFence = 0;
    std::uint64_t newestEpoch = 0;
    std::uint64_t next = 0;
    bool broken = true;
    bool stalled = false;
    bool tracing = false;
    std::vector<std::string> lines;
    std::map<std::uint64_t, std::set<std::uint64_t>> epochsOfStep;
    std::set<std::uint64_t> held;
};

} // namespace Nutmegrill
