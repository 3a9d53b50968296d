#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Experts/GroupExchange.h"
#include "Experts/RankPace.h"
#include "Experts/RankSwitch.h"
#include "Experts/SwitchOwner.h"
#include "SimulatedLinks.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Simulates one or more groups of engines of a service, which switch maps by themselves, their
/// agents and the messages between them on a virtual clock. Servers and agents are numbered over
/// all groups; each agent knows the addresses of all others, whatever their group. Faults: commands
/// lose their answers and are executed late, messages are lost or delayed, agents pause and
/// restart.
class SwitchWorld
{
public:
    struct Faults
    {
        /// Share of the commands that get no answer and are executed 0.1 to 6 s later.
        double lateCommands = 0;
        /// Share of the messages between agents that are lost.
        double lostMessages = 0;
        /// Pauses of agents, a second on average at random moments.
        bool pauses = false;
        bool restarts = false;
        /// Share of the late prepare commands after which all agents are killed and started again
        /// at the same moment.
        double restartsOfAll = 0;
        /// Time for which the machine of an agent stands still right after its hold command.
        std::chrono::milliseconds pauseAfterHold{0};
    };

    struct Scale
    {
        std::uint32_t layers = 1;
        std::uint32_t experts = 12;
        std::uint32_t placements = 12;
        /// Experts that a rank can load in a layer for one change.
        std::uint32_t spares = 3;
        /// Time from a prepare command until the experts are loaded.
        std::chrono::milliseconds copyTime{0};
        /// Mean steps between two shifts of demand.
        std::uint32_t stepsPerShift = 40;
        SimulatedLinks::Limits links;
        /// Ranks of the groups beside the first one.
        std::vector<std::uint32_t> otherGroups;
        /// Off: the agents do not know the pace of their engines.
        bool reportsPace = true;
    };

    SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                RankSwitch::SafetyRules rules = {});
    SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                RankSwitch::SafetyRules rules, const Scale &scale);

    /// Runs for \a span. Returns the first violation: a step that began with two maps.
    std::string run(std::chrono::milliseconds span);

    /// Slows the engine of a server down by that factor.
    void setPace(std::uint32_t server, double pace) { this->engines[server].state.pace = pace; }

    /// Stops all faults, so that an open change can end.
    void stopFaults();

    /// The group stands still, and its engines report nothing, until it is founded.
    void delayGroup(std::uint32_t group);
    void foundGroup(std::uint32_t group);
    /// The last rank of a group starts again as the last rank of another one. Both groups form
    /// again; the agents keep running.
    void moveServer(std::uint32_t from, std::uint32_t to);
    /// Sends again the newest messages of each kind of the agents of one group to all agents of
    /// another.
    void repeatMessages(std::uint32_t from, std::uint32_t to);

    std::uint64_t step(std::uint32_t group = 0) const { return this->groups[group].step; }
    std::uint64_t lowestMap(std::uint32_t group = 0) const;
    std::uint64_t completedChanges(std::uint32_t group = 0) const
    {
        return this->groups[group].changes;
    }
    const SimulatedLinks &links() const { return this->network; }
    /// Longest time so far between the begins of two steps.
    std::chrono::milliseconds longestStandstill(std::uint32_t group = 0) const
    {
        return this->groups[group].longestStandstill;
    }
    /// Mean over the steps so far of the most loaded rank over the mean of all ranks.
    double meanSkew(std::uint32_t group = 0) const;
    /// The same in the present step; a slow rank takes the longer for its tokens.
    double currentSkew(std::uint32_t group = 0) const
    {
        return this->skewOfStep(this->groups[group]);
    }

private:
    using Slots = std::vector<std::vector<std::vector<std::uint32_t>>>;

    struct Engine
    {
        EngineState state;
        std::uint64_t highestVersion = 0;
        /// Maps in use and prepared, by layer and rank.
        Slots map;
        Slots prepared;
        std::optional<std::uint64_t> loadingVersion;
        Instant loadedAt;
        std::vector<std::uint64_t> counts;
    };

    struct Group
    {
        std::string name;
        /// Numbers of the servers, by rank.
        std::vector<std::uint32_t> members;
        bool isFounded = true;
        std::uint64_t epoch = 1;
        std::uint64_t step = 0;
        Instant nextStepAt{std::chrono::seconds(10)};
        Instant lastStepAt{std::chrono::seconds(10)};
        std::chrono::milliseconds longestStandstill{0};
        std::uint64_t changes = 0;
        /// Share of the tokens that choose each expert, by layer.
        std::vector<std::vector<double>> demand;
        double skewSum = 0;
        std::uint64_t measuredSteps = 0;
    };

    struct LateCommand
    {
        Instant due;
        std::uint32_t server = 0;
        EngineCommand order;
    };

    struct Message
    {
        std::uint32_t to = 0;
        GroupExchange::Message::Body body;
    };

    struct Agent
    {
        std::unique_ptr<RankSwitch> rankSwitch;
        std::unique_ptr<SwitchOwner> owner;
        RankState state;
        RankPace pace;
        Instant pausedUntil;
        std::unique_ptr<GroupExchange> exchange;
        Instant nextReportAt;
        Instant nextCountsAt;
        std::vector<std::uint64_t> lastCounts;
        std::uint64_t ownReports = 0;
        /// The newest message of each kind.
        std::map<std::size_t, GroupExchange::Message::Body> sent;
    };

    EngineCommandResult execute(std::uint32_t server, const EngineCommand &engineCommand);
    void formGroup(Group &group);
    void startAgent(std::uint32_t server);
    void restartAllAgents();
    void runAgent(std::uint32_t server);
    void giveHold(std::uint32_t server);
    void describe(Agent &agent) const;
    void exchangeStates(std::uint32_t server);
    void sampleCounts(std::uint32_t server);
    void post(std::uint32_t from, const GroupExchange::Message &message);
    void receive(std::uint32_t server, const RankState &state);
    void receive(std::uint32_t server, const OwnerCommand &command);
    void receive(std::uint32_t server, const ExpertCounts &counts);
    void deliver();
    void finishLoading();
    Group &groupOf(std::uint32_t server);
    double skewOfStep(const Group &group) const;
    std::string advanceStep(Group &group);
    void shiftDemand(Group &group);

    RandomSource random;
    Faults faults;
    RankSwitch::SafetyRules rules;
    Instant now{std::chrono::seconds(10)};
    std::uint64_t incarnations = 0;
    Scale scale;
    std::vector<Group> groups;
    SimulatedLinks network;
    std::vector<Engine> engines;
    std::vector<Agent> agents;
    std::vector<LateCommand> lateCommands;
    bool restartsAll = false;
    std::multimap<Instant, Message> messages;
};

} // namespace Nutmegrill
