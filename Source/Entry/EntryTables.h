#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Entry/BackendTable.h"
#include "Entry/EntryAddressSelector.h"
#include "Entry/EntryCommand.h"
#include "Entry/EntrySettings.h"
#include "Entry/FairQueue.h"
#include "Entry/RequestTable.h"
#include "Entry/RetryBudget.h"
#include "Entry/Router.h"
#include "Entry/StreamBudget.h"
#include "Membership/ConfigurationSpread.h"
#include "Membership/CrashRecords.h"
#include "Membership/RecentRequests.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Queue and retry budget of one service.
struct ServiceRow
{
    explicit ServiceRow(bool fairShares) : queue(fairShares) {}

    FairQueue queue;
    RetryBudget retries;
};

/// State that the systems (AdmissionSystem, LinkSystem, ...) of an entry share.
struct EntryTables
{
    explicit EntryTables(EntrySettings settings)
        : settings(std::move(settings)), router(this->settings), random(this->settings.seed)
    {}

    ServiceRow &service(const std::string &name)
    {
        return this->services.try_emplace(name, this->settings.switches.fairShares).first->second;
    }

    void addCommand(EntryCommand::Any command) { this->commands->push_back(std::move(command)); }
    void send(const PeerOutput::List &output)
    {
        for (const PeerOutput &item : output)
            this->addCommand(EntryCommand::SendPeer{item.peer, item.message});
    }
    void log(std::uint32_t number, LogRecord::Level level, std::string text)
    {
        this->addCommand(LogRecord{number, level, std::move(text)});
    }

    EntrySettings settings;
    Instant now;
    /// Receives the commands of the current call of EntryNode::handle() or tick().
    EntryCommand::List *commands = nullptr;

    std::vector<InstanceRecord> instances;
    ConfigurationSpread spread;
    CrashRecords crashes;
    BackendTable backends;
    RequestTable requests;
    std::map<std::string, ServiceRow> services;
    RecentRequests recent;
    StreamBudget buffers;
    EntryAddressSelector addressSelector;
    Router router;
    RandomSource random;

    bool stopping = false;
    bool stopped = false;
    Instant stopNotBefore;
};

} // namespace Nutmegrill
