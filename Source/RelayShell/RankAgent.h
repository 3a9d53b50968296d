#pragma once

#include "Experts/GroupExchange.h"
#include "Experts/RankPace.h"
#include "Experts/RankSwitch.h"
#include "Experts/SlowRankNotices.h"
#include "Experts/SwitchOwner.h"
#include "Http/HttpListener.h"
#include "Net/EventLoop.h"
#include "Net/Metrics.h"
#include "RelayShell/DatagramSocket.h"
#include "RelayShell/EngineLink.h"
#include "RelayShell/EngineProtocol.h"
#include "RelayShell/LoopLag.h"
#include "RelayShell/StateDecoder.h"
#include "RelayShell/StateStore.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Nutmegrill {

/// I/O layer of an agent that runs next to a model engine: polls the engine, exchanges states with
/// the agents of the other ranks, and sends the engine the commands that RankSwitch decides.
class RankAgent
{
public:
    struct Options
    {
        std::string name;
        std::string ip;
        std::uint16_t peerPort = 0;
        std::string metricsAddress;
        /// Address and service of the engine.
        std::string engineAddress;
        std::string service;
        std::uint64_t incarnation = 0;
        /// Time of day at the start, and a random number; see PlanNumbering.
        std::chrono::system_clock::time_point startedAt;
        std::uint64_t planTag = 0;
        /// Rate of the link of this instance.
        std::uint64_t linkBytesPerSecond = 0;
    };

    RankAgent(EventLoop &loop, const Options &options, const EngineProtocol &protocol,
              const StateDecoder &decoder, StateStore &store);
    ~RankAgent();
    RankAgent(const RankAgent &) = delete;
    RankAgent &operator=(const RankAgent &) = delete;

    std::string startError() const;
    /// Logs that the settings were read again. The settings of an agent take effect at its next
    /// start only.
    void logReload(const std::string &what);
    void run();

private:
    /// State for controlling the engine of another rank whose agent stopped sending states during a
    /// map change. Without it the engines would be held until that agent returns.
    struct Takeover
    {
        std::unique_ptr<EngineLink> engine;
        RankSwitch rankSwitch;
        Instant nextReportAt;
    };

    /// Messages exchanged with the agents of the other ranks since the last log line.
    struct PeerCounters
    {
        std::uint64_t sentMessages = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedMessages = 0;
        std::uint64_t receivedBytes = 0;
        /// States that were sent to this agent and did not arrive, by their sequence numbers.
        std::uint64_t missedStates = 0;
        /// Messages that the socket did not take.
        std::uint64_t unsentMessages = 0;
    };

    void readEngineProfile();
    void sendTo(const std::string &address, const std::string &bytes);
    void logTraffic();
    void readPeers();
    void tick();
    void readReport();
    /// The engine reports a rank of another group, or a changed one, or a new map.
    void engineChanged(const EngineState &engine);
    void readCounts();
    void readExperts();
    void sendNextCommand();
    /// Gives the hold of a change to the engine of the holder, if that is this agent's part.
    void giveHold();
    void takeOverSilentRanks();
    void driveTakeover(std::uint32_t rank, Takeover &takeover);
    void logInvalidRank(const EngineState &engine, const std::string &from);
    void logCommand(const EngineCommand &command, std::uint32_t rank, int status);
    void exchangeStates();
    /// Describes the own rank with the pace that counts now.
    void describe(RankState &own) const;
    void logPace();
    /// Tells entries of the slow ranks, if this agent is the hub.
    void notifyEntries();
    void answerGroupQuery(const std::string &entry);
    std::optional<OwnerCommand> tickOwner();
    void handleDatagram(std::string_view bytes);
    void handleState(Instant now, const RankState &state);
    std::string encode(const GroupExchange::Message::Body &body);
    std::uint32_t rank() const;
    void log(std::uint32_t number, const std::string &text);

    EventLoop &loop;
    Options options;
    const EngineProtocol &protocol;
    const StateDecoder &decoder;
    StateStore &store;
    Metrics metrics;
    HttpListener metricsListener;
    DatagramSocket peerSocket;
    std::set<std::string> peerAddresses;
    /// Other groups that were logged.
    std::set<std::string> loggedGroups;
    GroupExchange exchange;
    /// The last commands that were encoded, with a whole map and with a difference, and their
    /// bytes: a map goes to many ranks.
    std::array<std::pair<std::shared_ptr<const OwnerCommand>, std::string>, 2> encodedCommands;
    EngineLink engine;
    /// Link to the engine of the holder; only at the rank that gives holds.
    std::unique_ptr<EngineLink> holderEngine;
    std::map<std::uint32_t, Takeover> takeovers;
    std::unique_ptr<RankSwitch> rankSwitch;
    std::unique_ptr<SwitchOwner> owner;
    RankState state;
    RankPace pace;
    double loggedPace = 1;
    SlowRankNotices notices;
    /// The entry that asked last, and when.
    std::string askingEntry;
    Instant entryAskedAt;
    /// Counts at the last read; a sample is the difference between two.
    std::vector<std::uint64_t> lastCounts;
    /// Sequence of the own states that the owner gets.
    std::uint64_t ownReports = 0;
    LoopLag loopLag;
    PeerCounters traffic;
    Instant nextTrafficAt;
    std::unique_ptr<EventLoop::Timer> tickTimer;
    std::unique_ptr<EventLoop::Timer> terminateSignal;
    bool engineReachable = false;
    bool expertsKnown = false;
    Instant nextReportAt;
    Instant nextCountsAt;
    Instant nextPeersAt;
    Instant nextProfileAt;
    Instant stopAt = NoDeadline;
};

} // namespace Nutmegrill
