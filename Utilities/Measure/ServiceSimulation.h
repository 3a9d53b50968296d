#pragma once

#include "Agent/AgentNode.h"
#include "Agent/FakeStore.h"
#include "Core/RandomSource.h"
#include "Entry/EntryNode.h"
#include "Measure/FakeEngine.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Parameters of one run of ServiceSimulation.
struct Scenario
{
    std::vector<std::string> domains;
    std::chrono::microseconds latency{1500}; ///< one-way network latency between failure domains
    double requestsPerSecond = 45;
    double recordsPerSecond = 4;
    /// Multiplies the request rate of the first client account.
    double firstAccountFactor = 1;
    std::uint64_t seed = 1;
    std::chrono::seconds duration{60};
    std::chrono::seconds takeOut{0}; ///< time of the take-out of the first failure domain; 0: never
    std::chrono::seconds bringBack{0};
    EntrySettings::RoutePolicy policy = EntrySettings::RoutePolicy::PrefixAffinity;
    bool credits = true;
    bool backpressure = true;
    bool fairShares = true;
    std::size_t entries = 6;
    std::size_t modelServers = 12;
    std::size_t plainServers = 3;
    std::chrono::microseconds stepBase{8000};
    std::chrono::microseconds stepPerSequence{750};
    std::uint32_t coldBatchCapacity = FakeEngine::ColdBatchCapacity;
    bool startCold = false;
    std::uint32_t minTokens = 20;
    std::uint32_t maxTokens = 99;
    /// Number of callers with long answers that read at most one byte per second.
    std::uint32_t slowReaders = 0;
};

/// One caller's request and its answer.
struct Call
{
    std::string account;
    std::uint32_t maxTokens = 0;
    bool record = false;
    bool slowReader = false;
    std::size_t entry = 0;
    std::uint64_t unreadBytes = 0;
    Instant sent;
    Instant dispatched;  ///< first attempt sent to an agent
    Instant engineStart; ///< first attempt sent to the engine
    Instant firstArrival;
    Instant lastArrival;
    std::uint32_t events = 0;
    std::uint32_t attempts = 0;
    bool wrong = false; ///< an event was lost, duplicated or of another request
    bool ended = false;
    std::string failure;
    RunState run = RunState::Unknown;
};

/// Simulates a deployment in virtual time: the real decision logic of entries and agents with fakes
/// of the engines, the plain service, the store and the callers. A run is deterministic for a given
/// scenario and seed.
class ServiceSimulation
{
public:
    explicit ServiceSimulation(Scenario scenario);

    void run();

    std::vector<Call> calls;
    std::vector<double>
            tokenGaps;        ///< milliseconds between two tokens at callers that read normally
    Instant lastWorkInDomain; ///< last request to a backend server of the failure domain while it
                              ///< was out
    Instant fullShareTime;    ///< first second after the bring-back in which the failure domain
                              ///< generated 90% of its share of the tokens
    std::uint64_t maxProcessBytes = 0; ///< peak buffer use for slow readers in one process
    std::uint64_t maxTotalBytes = 0;   ///< peak buffer use for slow readers in all processes
    std::uint64_t maxReaderBytes = 0;  ///< peak buffer use for one slow reader in all processes
    std::uint32_t duplicateRecords = 0;
    std::uint32_t engineCrashes = 0;
    double maxColdLoad = 0;

private:
    struct Entry
    {
        std::unique_ptr<EntryNode> node;
        std::string domain;
        bool tickScheduled = false;
    };

    struct Agent
    {
        std::unique_ptr<AgentNode> node;
        std::string name;
        std::string domain;
        bool isModel = false;
        bool tickScheduled = false;
        bool stepping = false;
        FakeEngine engine;
    };

    /// A work stream between entry and agent with HTTP/2 flow control.
    struct Work
    {
        std::size_t entry = 0;
        std::size_t agent = 0;
        EntryEvent::WorkId id = 0;
        std::uint64_t call = 0;
        bool paused = false;
        std::deque<WorkMessage::Any> buffered;
        std::uint64_t bufferedBytes = 0;
    };

    struct Event
    {
        Instant time;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return this->time != other.time ? this->time > other.time
                                            : this->sequence > other.sequence;
        }
    };

    using Action = std::function<void()>;

    void at(Instant instant, Action action);
    void after(Instant::duration delay, Action action);
    void build();
    void every(Instant::duration period, const Action &action);
    Instant::duration delay(std::size_t entry, std::size_t agent) const;
    std::size_t agentIndex(const std::string &name) const;

    void sendToEntry(std::size_t entry, const EntryEvent::Any &event);
    void tickEntry(std::size_t entry);
    void executeEntryCommands(std::size_t entry, const EntryCommand::List &commands);
    void on(std::size_t entry, const EntryCommand::OpenLink &command);
    void on(std::size_t entry, const EntryCommand::SendPeer &command);
    void on(std::size_t entry, const EntryCommand::StartWork &command);
    void on(std::size_t entry, const EntryCommand::CancelWork &command);
    void on(std::size_t entry, const EntryCommand::PauseWork &command);
    void on(std::size_t entry, const EntryCommand::ReplyEvent &command);
    void on(std::size_t entry, const EntryCommand::ReplyEnd &command);
    void on(std::size_t entry, const EntryCommand::ReplyFailure &command);
    void on(std::size_t entry, const EntryCommand::ReadStore &command);
    template <typename Command>
    void on(std::size_t, const Command &)
    {}

    void sendToAgent(std::size_t agent, const AgentEvent::Any &event);
    void tickAgent(std::size_t agent);
    void executeAgentCommands(std::size_t agent, const AgentCommand::List &commands);
    void onAgent(std::size_t agent, const AgentCommand::SendPeer &command);
    void onAgent(std::size_t agent, const AgentCommand::SendWork &command);
    void onAgent(std::size_t agent, const AgentCommand::CallBackend &command);
    void onAgent(std::size_t agent, const AgentCommand::CancelBackend &command);
    void onAgent(std::size_t agent, const AgentCommand::PauseBackend &command);
    void onAgent(std::size_t agent, const AgentCommand::WriteClaims &command);
    template <typename Command>
    void onAgent(std::size_t, const Command &)
    {}

    void step(std::size_t agent);
    void executeRecord(std::size_t agent, const WorkMessage::Request &request);
    void probe(std::size_t agent);
    void deliver(std::uint64_t work);
    void reportBuffered(std::uint64_t work);
    void sendRequest(bool record, bool slow);
    void scheduleRequests(double perSecond, bool record);
    std::size_t pickAccount();
    void setDomainOut(bool out);
    void sampleMemory();
    void sampleDomainShare();

    Scenario scenario;
    Instant now;
    Instant end;
    std::uint64_t lastSequence = 0;
    std::priority_queue<Event> events;
    RandomSource random;
    FakeStore store;
    std::shared_ptr<Configuration> configuration;
    std::vector<Entry> entries;
    std::vector<Agent> agents;
    std::map<std::uint64_t, Work> works; ///< by the work id that the agent sees
    std::vector<double> accountShares;
    std::vector<InstanceRecord> instances;
    std::set<std::string> recordsRun;
    std::uint64_t tokensBefore = 0;
    std::uint64_t domainTokensBefore = 0;
    bool domainOut = false;
};

} // namespace Nutmegrill
