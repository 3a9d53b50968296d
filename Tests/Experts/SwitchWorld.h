#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Experts/RankSwitch.h"
#include "Experts/SwitchOwner.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Simulates a group of engines that switch maps by themselves, their agents and the messages
/// between them on a virtual clock. Faults: commands lose their answers and are executed late,
/// messages are lost or delayed, agents pause and restart.
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
    };

    SwitchWorld(std::uint32_t ranks, std::uint64_t seed, const Faults &faults,
                RankSwitch::SafetyRules rules = {});

    /// Runs for \a span. Returns the first violation: a step that began with two maps.
    std::string run(std::chrono::milliseconds span);

    /// Stops all faults, so that an open change can end.
    void stopFaults();

    std::uint64_t step() const { return this->currentStep; }
    std::uint64_t lowestMap() const;
    std::uint64_t completedChanges() const { return this->changes; }

private:
    struct Engine
    {
        EngineState state;
        std::uint64_t highestVersion = 0;
    };

    struct LateCommand
    {
        Instant due;
        std::uint32_t rank = 0;
        EngineCommand order;
    };

    struct Message
    {
        Instant due;
        std::uint32_t to = 0;
        RankState state;
        std::optional<OwnerCommand> command;
    };

    struct Agent
    {
        std::unique_ptr<RankSwitch> rankSwitch;
        std::unique_ptr<SwitchOwner> owner;
        RankState state;
        Instant pausedUntil;
        Instant nextReportAt;
    };

    EngineCommandResult execute(std::uint32_t rank, const EngineCommand &engineCommand);
    void startAgent(std::uint32_t rank);
    void runAgent(std::uint32_t rank);
    void send(std::uint32_t from, const RankState &state,
              const std::optional<OwnerCommand> &command);
    void deliver();
    std::string advanceStep();
    void shiftDemand();

    std::uint32_t ranks;
    RandomSource random;
    Faults faults;
    RankSwitch::SafetyRules rules;
    Instant now{std::chrono::seconds(10)};
    Instant nextStepAt{std::chrono::seconds(10)};
    std::uint64_t currentStep = 0;
    std::uint64_t changes = 0;
    std::uint64_t incarnations = 0;
    std::uint32_t hotExpert = 0;
    std::vector<Engine> engines;
    std::vector<Agent> agents;
    std::vector<LateCommand> lateCommands;
    std::vector<Message> messages;
    std::vector<std::vector<std::uint64_t>> counts;
};

} // namespace Nutmegrill
