#pragma once

#include "Entry/EntryNode.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Feeds an entry with events derived from a list of random choices, simulates its agents, callers
/// and store, and checks every command against the entry's invariants.
class RandomEntrySession
{
public:
    RandomEntrySession(std::vector<int> choices, EntrySwitches switches);

    /// Returns the first violation, or an empty string.
    std::string run();

private:
    struct Agent
    {
        std::string failureDomain;
        std::string service;
        bool opening = false;
        bool open = false;
        bool leaving = false;
        std::uint64_t granted = 0;
        std::uint64_t started = 0;
        Instant deadline = Instant();
    };

    struct Work
    {
        std::string agent;
        std::uint64_t caller = 0;
        std::string sentId;
        std::uint64_t next = 0;
        bool query = false;
        bool answered = false;
    };

    struct Caller
    {
        bool idempotent = true;
        bool headSent = false;
        bool ended = false;
        std::uint64_t nextEvent = 0;
        /// Attempts that were not reported as not run.
        int mayHaveRun = 0;
    };

    using Step = void (RandomEntrySession::*)();

    std::size_t choose(std::size_t bound);
    Agent &chooseAgent();
    Work *chooseWork();
    void handle(const EntryEvent::Any &event);
    void answer(const WorkMessage::Any &message);

    void request();
    void nextEvent();
    void repeatEvent();
    void skipEvent();
    void end();
    void fail();
    void close();
    void loseLink();
    void openLink();
    void grant();
    void changeStatus();
    void changeConfiguration();
    void takeOut();
    void disconnectCaller();
    void callerBuffered();
    void passTime();

    void check(const EntryCommand::StartWork &command);
    void check(const EntryCommand::ReplyHead &command);
    void check(const EntryCommand::ReplyEvent &command);
    void check(const EntryCommand::ReplyEnd &command);
    void check(const EntryCommand::ReplyFailure &command);
    void check(const EntryCommand::OpenLink &command);
    void check(const EntryCommand::CancelWork &command);
    template <typename Command>
    void check(const Command &)
    {}
    void checkStart(const EntryCommand::StartWork &command, Caller &caller);
    Caller &reply(std::uint64_t caller);
    void require(bool holds, const std::string &violation);

    static const std::vector<Step> steps;

    std::vector<int> choices;
    std::size_t position = 0;
    EntryNode node;
    Instant now;
    std::map<std::string, Agent> agents;
    std::map<std::uint64_t, Work> works;
    EntryEvent::WorkId chosen = 0;
    std::map<std::uint64_t, Caller> callers;
    std::map<std::string, std::uint64_t> epochs;
    std::set<std::string> outDomains;
    std::uint64_t version = 1;
    std::uint64_t lastCaller = 0;
    std::string violation;
};

} // namespace Nutmegrill
