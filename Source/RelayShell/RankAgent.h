#pragma once

#include "Experts/RankSwitch.h"
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
    };

    void readEngineProfile();
    void sendTo(const std::string &address, const std::string &bytes);
    void logTraffic();
    void readPeers();
    void tick();
    void readReport();
    void readCounts();
    void readExperts();
    void sendNextCommand();
    void takeOverSilentRanks();
    void driveTakeover(std::uint32_t rank, Takeover &takeover);
    void logCommand(const EngineCommand &command, std::uint32_t rank, int status);
    void sendState();
    void tickOwner();
    void handleDatagram(std::string_view bytes);
    void sendToPeers(const std::string &bytes);
    std::uint32_t rank() const;
    /// Lowest rank with a live agent, this one included. Its agent owns the group's map changes.
    std::uint32_t lowestLiveRank() const;
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
    EngineLink engine;
    /// Latest state of each other rank, and when it was received from the rank's own agent.
    std::map<std::uint32_t, std::pair<RankState, Instant>> otherRanks;
    std::map<std::uint32_t, Takeover> takeovers;
    std::unique_ptr<RankSwitch> rankSwitch;
    std::unique_ptr<SwitchOwner> owner;
    RankState state;
    std::optional<OwnerCommand> lastCommand;
    LoopLag loopLag;
    PeerCounters traffic;
    Instant nextTrafficAt;
    std::unique_ptr<EventLoop::Timer> tickTimer;
    std::unique_ptr<EventLoop::Timer> terminateSignal;
    bool engineReachable = false;
    bool expertsKnown = false;
    Instant nextReportAt;
    Instant nextCountsAt;
    Instant nextStateAt;
    Instant nextCommandAt;
    Instant nextPeersAt;
    Instant nextProfileAt;
    Instant stopAt = NoDeadline;
};

} // namespace Nutmegrill
