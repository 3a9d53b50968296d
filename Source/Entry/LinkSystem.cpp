#include "Entry/LinkSystem.h"

#include "Membership/SubsetSelector.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinReconnectDelay(200);
constexpr std::uint32_t MaxReconnectBackoffShift = 4;
constexpr milliseconds DemandCheckPeriod(50);
// Minimum interval between demand messages, unless the demand has doubled: an agent that does not
// know of a burst leaves its credits with idle entries.
constexpr milliseconds MinDemandInterval(200);

} // namespace

void LinkSystem::updateInstances(const EntryEvent::InstancesRead &event)
{
    this->tables.instances = event.instances;
    this->tables.addressSelector.updateInstances(event.instances);
    for (auto &[agent, row] : this->tables.backends.all())
        row.listed = false;
    for (const InstanceRecord &instance : event.instances) {
        if (instance.role != InstanceRecord::Role::Agent)
            continue;
        BackendTable::Row &row = this->tables.backends.add(instance.name);
        row.agent = instance.name;
        row.address = instance.address;
        row.service = instance.service;
        row.failureDomain = instance.failureDomain;
        row.listed = true;
        row.listedLeaving = instance.leaving;
    }
    this->selectSubset();
    this->updateLinks();
}

void LinkSystem::selectSubset()
{
    const SubsetSelector selector(this->tables.settings.subsetSize);
    std::set<std::string> services;
    for (auto &[agent, row] : this->tables.backends.all()) {
        row.inSubset = false;
        services.insert(row.service);
    }
    for (const std::string &service : services) {
        for (const std::string &agent :
             selector.select(this->tables.settings.name, service, this->tables.instances))
            this->tables.backends.add(agent).inSubset = true;
    }
}

bool LinkSystem::isLinkNeeded(const BackendTable::Row &row) const
{
    return row.listed && (row.inSubset || this->tables.now < row.linkNeededUntil);
}

void LinkSystem::updateLinks()
{
    auto &rows = this->tables.backends.all();
    for (auto row = rows.begin(); row != rows.end();) {
        BackendTable::Row &backend = row->second;
        const bool closed = backend.link == BackendTable::Link::Closed;
        if (closed && !backend.listed) {
            row = rows.erase(row);
            continue;
        }
        if (closed && this->isLinkNeeded(backend) && this->tables.now >= backend.nextOpen) {
            backend.link = BackendTable::Link::Opening;
            this->tables.addCommand(EntryCommand::OpenLink{backend.agent, backend.address});
        }
        // An open link is kept when the agent is missing from the instance list, because the list
        // lags behind.
        if (backend.link == BackendTable::Link::Open && backend.listed
            && !this->isLinkNeeded(backend) && !backend.listedLeaving && backend.ownRunning == 0) {
            this->tables.addCommand(EntryCommand::CloseLink{backend.agent});
            this->linkClosed(backend.agent);
        }
        ++row;
    }
}

void LinkSystem::linkOpened(const std::string &agent)
{
    BackendTable::Row *row = this->tables.backends.find(agent);
    if (row == nullptr) {
        this->tables.addCommand(EntryCommand::CloseLink{agent});
        return;
    }
    row->resetLink();
    row->link = BackendTable::Link::Open;
    row->openFailures = 0;
    const EntrySettings &settings = this->tables.settings;
    this->tables.addCommand(EntryCommand::SendPeer{
            agent, PeerMessage::Hello{settings.name, settings.failureDomain, settings.deploymentKey,
                                      this->tables.spread.version()}});
}

void LinkSystem::linkClosed(const std::string &agent)
{
    this->tables.spread.closePeer(agent);
    BackendTable::Row *row = this->tables.backends.find(agent);
    if (row == nullptr)
        return;
    if (row->link == BackendTable::Link::Opening)
        ++row->openFailures;
    row->resetLink();
    const milliseconds wait =
            MinReconnectDelay * (1U << std::min(row->openFailures, MaxReconnectBackoffShift));
    // Jitter keeps the entries from reconnecting to a restarted agent all at once.
    const milliseconds jitter(this->tables.random.below(static_cast<std::uint64_t>(wait.count())));
    // The first attempt is made at once, because usually only the link broke and the agent is
    // alive.
    row->nextOpen = row->openFailures == 0 ? this->tables.now : this->tables.now + wait + jitter;
}

void LinkSystem::receive(const std::string &agent, const PeerMessage::Any &message)
{
    BackendTable::Row *row = this->tables.backends.find(agent);
    if (row == nullptr || row->link != BackendTable::Link::Open)
        return;
    if (const auto *welcomed = std::get_if<PeerMessage::Welcome>(&message)) {
        this->handleWelcome(*row, *welcomed);
    } else if (const auto *grant = std::get_if<PeerMessage::Grant>(&message)) {
        row->startsUpTo = grant->startsUpTo;
        row->kvBytesFree = grant->kvBytesFree;
        row->kvLimited = grant->kvBytesFree != 0;
        row->grantDeadline = this->tables.now + grant->remaining;
    } else if (const auto *status = std::get_if<PeerMessage::BackendStatus>(&message)) {
        row->status = *status;
        row->startsSinceStatus = 0;
    } else if (const auto *notice = std::get_if<PeerMessage::CrashNotice>(&message)) {
        this->forwardCrashNotice(agent, *notice);
    } else {
        PeerOutput::List output;
        this->tables.spread.receive(this->tables.now, agent, message, output);
        this->tables.send(output);
    }
}

void LinkSystem::handleWelcome(BackendTable::Row &row, const PeerMessage::Welcome &message)
{
    row.welcomed = true;
    PeerOutput::List output;
    this->tables.spread.openPeer(this->tables.now, row.agent, message.configurationVersion, output);
    this->tables.send(output);
}

void LinkSystem::forwardCrashNotice(const std::string &agent,
                                    const PeerMessage::CrashNotice &notice)
{
    if (!this->tables.crashes.merge(this->tables.now, notice))
        return;
    const auto merged = this->tables.crashes.notice(this->tables.now, notice.fingerprint);
    for (const auto &[peer, row] : this->tables.backends.all()) {
        if (row.welcomed && peer != agent)
            this->tables.addCommand(EntryCommand::SendPeer{peer, merged});
    }
}

void LinkSystem::sendDemand()
{
    std::size_t queued = 0;
    for (const auto &[name, service] : this->tables.services)
        queued += service.queue.size();
    // A tick follows each batch of answers, and most batches change no queue.
    if (queued == this->lastQueued && this->tables.now < this->nextDemandCheck)
        return;
    this->lastQueued = queued;
    this->nextDemandCheck = this->tables.now + DemandCheckPeriod;
    for (auto &[agent, row] : this->tables.backends.all()) {
        if (!row.welcomed)
            continue;
        const auto waiting =
                static_cast<std::uint32_t>(this->tables.service(row.service).queue.size());
        const bool urgent = waiting > 0 && waiting >= 2 * row.demandSent;
        if (waiting == row.demandSent || (!urgent && this->tables.now < row.nextDemand))
            continue;
        row.demandSent = waiting;
        row.nextDemand = this->tables.now + MinDemandInterval;
        this->tables.addCommand(EntryCommand::SendPeer{agent, PeerMessage::Demand{waiting}});
    }
}

} // namespace Nutmegrill
