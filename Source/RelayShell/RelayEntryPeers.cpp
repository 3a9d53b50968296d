// The messages that an entry exchanges with the other entries and with agents.

#include "Http/HttpCall.h"
#include "Relay/RelayLog.h"
#include "RelayShell/GroupQueryCodec.h"
#include "RelayShell/LoadShareCodec.h"
#include "RelayShell/PeerCodec.h"
#include "RelayShell/RelayEntry.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Other entries accept connections within a few milliseconds.
constexpr milliseconds PeerConnectTimeout{300};
/// A peer that takes longer is paused or cut off.
constexpr milliseconds PeerAnswerTimeout{1000};
/// The whole content of the store with 1,000 instances takes less.
constexpr std::size_t MaxPeerAnswerBytes = 8U << 20U;
/// Other entries learn of the end of an outage of the store for this long.
constexpr milliseconds StoreReturnReportTime{3000};
constexpr std::string_view PeerUpdatePrefix = "/state?after=";
constexpr std::string_view PeerUpdateGeneration = "&generation=";

/// Target of a request for the changes after a position in the store.
std::string peerUpdateTarget(StorePosition position)
{
    return std::string(PeerUpdatePrefix) + std::to_string(position.revision)
           + std::string(PeerUpdateGeneration) + std::to_string(position.generation);
}

std::optional<StorePosition> readPeerUpdateTarget(std::string_view target)
{
    if (target.substr(0, PeerUpdatePrefix.size()) != PeerUpdatePrefix)
        return std::nullopt;
    target.remove_prefix(PeerUpdatePrefix.size());
    const auto separator = std::min(target.find(PeerUpdateGeneration), target.size());
    std::string_view generation = target.substr(separator);
    generation.remove_prefix(std::min(generation.size(), PeerUpdateGeneration.size()));
    StorePosition position;
    const char *const end = target.data() + separator;
    if (std::from_chars(target.data(), end, position.revision).ec != std::errc())
        return std::nullopt;
    std::from_chars(generation.data(), generation.data() + generation.size(), position.generation);
    return position;
}

} // namespace

void RelayEntry::answerPeer(const HttpListener::Request &request)
{
    auto *connection = this->peerListener.find(request.id);
    if (connection == nullptr)
        return;
    const auto after = readPeerUpdateTarget(request.head.target);
    if (!after) {
        connection->reply(404, {}, {}, {});
        return;
    }
    connection->reply(200, {}, {{"Content-Type", "application/cbor"}},
                      encodeUpdate(this->storeFeed.mirror().since(*after)));
}

void RelayEntry::handleDatagram(std::string_view bytes)
{
    try {
        this->handleReport(bytes);
    } catch (const std::exception &error) {
        this->logUnexpected("bytes=" + std::to_string(bytes.size()), error);
    }
}

void RelayEntry::handleReport(std::string_view bytes)
{
    const std::optional<EntryReport> report = decodeReport(bytes);
    if (!report) {
        if (const auto share = decodeLoadShare(bytes)) {
            this->node.entries().loads().shareReceived(this->loop.now(), *share);
            return;
        }
        if (this->usageDuty != nullptr && this->usageDuty->handleMessage(bytes))
            return;
        if (const auto membership = decodeGroupMembership(bytes)) {
            this->node.groupArrived(this->loop.now(), *membership);
            this->slowRanks.noticeArrived(this->loop.now(), membership->slowRanks,
                                          this->node.roster());
            return;
        }
    }
    if (!report || report->peerAddress == this->options.peerAddress) {
        this->metrics.add("nutmegrill_reports_unreadable_total", {});
        return;
    }
    const Instant now = this->loop.now();
    RelayNode::Commands commands;
    const bool isNew = this->node.reportArrived(now, *report, commands);
    this->execute(commands);
    if (!isNew)
        return;
    if (this->usageDuty != nullptr)
        this->usageDuty->observeClock(*report);
    SlowRankTable::record(now, report->slowRanks, this->node.roster());
    if (report->sinceStoreAnswer)
        this->recordStoreAnswer(*report->sinceStoreAnswer + this->loopLag.maxEventAge(now));
    if (report->sinceStoreReturned
        && this->storeContact.recordPeerOutage(now - *report->sinceStoreReturned))
        this->storeOutageEnded();
    if (!this->isWatchingStore && this->storeFeed.mirror().position() < report->known)
        this->pullFromPeer();
}

void RelayEntry::sendReports()
{
    EntryReport report;
    report.name = this->options.name;
    report.incarnation = this->options.incarnation;
    report.sequence = ++this->reportSequence;
    report.failureDomain = this->options.failureDomain;
    report.callerAddress = this->options.callerAddress;
    report.peerAddress = this->options.peerAddress;
    report.isServing = this->isServing();
    report.isLeaving = this->stop.has_value();
    report.known = this->storeFeed.mirror().position();
    report.reachesStore = this->storeFeed.isConnected();
    const Instant now = this->loop.now();
    if (this->storeAnsweredAt)
        report.sinceStoreAnswer =
                std::chrono::duration_cast<milliseconds>(now - *this->storeAnsweredAt);
    const auto returnedAt = this->storeContact.returnedAt();
    if (returnedAt && now < *returnedAt + StoreReturnReportTime)
        report.sinceStoreReturned = std::chrono::duration_cast<milliseconds>(now - *returnedAt);
    if (this->usageDuty != nullptr)
        report.clock = std::chrono::system_clock::now();
    EntryTable &entries = this->node.entries();
    entries.setOwn(report);
    if (this->reportSchedule.isDue(now, entries.size() + 1,
                                   {report.isServing, report.isLeaving,
                                    report.sinceStoreReturned.has_value(), this->isWatchingStore,
                                    report.known,
                                    this->node.hasNews() || this->slowRanks.hasNews()})) {
        this->node.fillReport(now, report);
        report.slowRanks = this->slowRanks.takeReport(now);
        const std::string bytes = encodeReport(report);
        for (const std::string &address : entries.peerAddresses())
            this->sendMessage(address, bytes);
    }
    this->sendLoads(now);
    this->isWatchingStore =
            this->node.entries().watchesStore(this->options.name, this->options.failureDomain, now);
    this->storeFeed.setWatching(this->isWatchingStore);
    this->pullFromPeer();
    this->askForGroups();
    if (this->usageDuty != nullptr)
        this->usageDuty->tick(this->storeFeed.mirror(), entries, this->storeFeed.isConnected());
}

void RelayEntry::sendLoads(Instant now)
{
    EntryTable &entries = this->node.entries();
    LoadExchange::Messages messages;
    entries.loads().tick(now, this->node.ownLoad(now), entries, messages);
    std::shared_ptr<const LoadShare> encoded;
    std::string bytes;
    for (const auto &[address, share] : messages) {
        if (share != encoded) {
            encoded = share;
            bytes = encodeLoadShare(*share);
        }
        this->sendMessage(address, bytes);
    }
}

void RelayEntry::sendMessage(const std::string &address, const std::string &bytes)
{
    if (!this->reportSocket.send(address, bytes))
        this->metrics.add("nutmegrill_messages_unsent_total", {});
}

void RelayEntry::askForGroups()
{
    const auto portOf = [](const std::string &address) {
        return address.substr(std::min(address.rfind(':'), address.size()));
    };
    // Agents and entries use the same port for messages.
    const std::string port = portOf(this->options.peerAddress);
    for (const std::string &address : this->node.dueGroupQueries(this->loop.now())) {
        const std::string ip = address.substr(0, address.rfind(':'));
        this->sendMessage(ip + port, encodeGroupQuery(this->options.peerAddress));
    }
}

void RelayEntry::pullFromPeer()
{
    const StorePosition position = this->storeFeed.mirror().position();
    const auto peer = this->peerPull.begin(this->loop.now(), position, this->options.failureDomain,
                                           this->node.entries());
    if (!peer)
        return;
    const std::string request = "GET " + peerUpdateTarget(position) + " HTTP/1.1\r\nHost: " + *peer
                                + "\r\nConnection: close\r\n\r\n";
    const auto merge = [this, peer = *peer](const HttpCall::Response &response) {
        const auto update = decodeUpdate(response.body);
        const bool isAnswered = response.status == 200 && update;
        this->peerPull.end(this->loop.now(), peer, isAnswered);
        if (!isAnswered) {
            this->log(RelayLog::PeerSilent, LogRecord::Level::Warning,
                      "peer=" + peer + " status=" + std::to_string(response.status) + " revision="
                              + std::to_string(this->storeFeed.mirror().position().revision));
            this->pullFromPeer();
            return;
        }
        this->log(RelayLog::MirroredFromPeer, LogRecord::Level::Info,
                  "peer=" + peer + " before="
                          + std::to_string(this->storeFeed.mirror().position().revision)
                          + " revision=" + std::to_string(update->position.revision)
                          + " generation=" + std::to_string(update->position.generation)
                          + " items=" + std::to_string(update->items.size()));
        this->storeFeed.merge(*update);
    };
    HttpCall::send(this->loop,
                   std::make_shared<ClientConnection>(this->loop, *peer, PeerConnectTimeout),
                   request, {PeerAnswerTimeout, MaxPeerAnswerBytes}, merge);
}

} // namespace Nutmegrill
