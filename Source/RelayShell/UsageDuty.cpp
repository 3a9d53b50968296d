#include "RelayShell/UsageDuty.h"

#include "Core/Hash.h"
#include "Core/LogRecord.h"
#include "Http/ClientConnection.h"
#include "Http/HttpCall.h"
#include "Net/EventLoop.h"
#include "Net/Metrics.h"
#include "Relay/EntryReport.h"
#include "Relay/EntryTable.h"
#include "Relay/RelayLog.h"
#include "Relay/StoreMirror.h"
#include "RelayShell/DutyCodec.h"
#include "RelayShell/DutyProtocol.h"
#include "RelayShell/StateDecoder.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr const char *DutyName = "usage";
/// Entries that may take the duty. One is enough to go on, and several fail at the same time.
constexpr std::size_t Candidates = 4;
constexpr milliseconds TellPeriod{300};
constexpr milliseconds ConnectTimeout{500};
constexpr milliseconds MaxSendTime{1500};
constexpr std::size_t MaxAnswerBytes = 64U << 10U;
/// Covers the difference of two clocks and the resolution of the timers.
constexpr milliseconds PauseMargin{300};

std::chrono::nanoseconds bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

DutyLease::Times timesOf(const UsageDuty::Options &options)
{
    DutyLease::Times times;
    times.pause = options.leaseTime + PauseMargin;
    return times;
}

DutyLease::Outcome outcomeOf(StateStore::Status status)
{
    switch (status) {
    case StateStore::Status::Ok:
        return DutyLease::Outcome::Done;
    case StateStore::Status::Conflict:
    case StateStore::Status::LeaseNotFound:
        return DutyLease::Outcome::Refused;
    default:
        return DutyLease::Outcome::Unknown;
    }
}

} // namespace

UsageDuty::UsageDuty(EventLoop &loop, const Options &options, const DutyProtocol &protocol,
                     const StateDecoder &decoder, StateStore &store, Metrics &metrics,
                     Handlers handlers)
    : loop(loop), options(options), protocol(protocol), store(store), metrics(metrics),
      handlers(std::move(handlers)), lockKey(decoder.dutyKey(DutyName, "lock")),
      recordKey(decoder.dutyKey(DutyName, "record")), startedAt(bootTime()),
      lease(options.peerAddress + "-" + std::to_string(options.incarnation), timesOf(options)),
      counts(options.peerAddress, options.incarnation,
             std::max(options.window, std::chrono::seconds(1))),
      reporter(options.dueAfter)
{}

UsageDuty::~UsageDuty() = default;

std::string UsageDuty::self() const
{
    return this->options.peerAddress + "-" + std::to_string(this->options.incarnation);
}

Instant UsageDuty::suspendAwareNow() const
{
    return Instant(std::chrono::duration_cast<Instant::duration>(bootTime() - this->startedAt));
}

ClockConsensus::WallTime UsageDuty::trueTime() const
{
    return this->clocks.trueTime(this->suspendAwareNow(), std::chrono::system_clock::now());
}

void UsageDuty::recordRun(Instant beganAt, const std::string &account)
{
    const auto age = std::chrono::duration_cast<ClockConsensus::WallTime::duration>(this->loop.now()
                                                                                    - beganAt);
    this->counts.recordRun(this->trueTime() - age, account);
}

void UsageDuty::observeClock(const EntryReport &report)
{
    if (report.clock)
        this->clocks.observe(this->suspendAwareNow(), report.peerAddress, *report.clock);
}

bool UsageDuty::handleMessage(std::string_view bytes)
{
    const auto message = decodeUsageMessage(bytes);
    if (message)
        this->counts.messageArrived(*message);
    return message.has_value();
}

DutyView UsageDuty::view(const StoreMirror &mirror) const
{
    DutyView view;
    const auto &items = mirror.items();
    if (const auto lock = items.find(this->lockKey); lock != items.end())
        view.lockOwner = lock->second.value;
    if (const auto record = items.find(this->recordKey);
        record != items.end() && record->second.value) {
        view.recordRevision = record->second.revision;
        view.record = decodeDutyRecord(*record->second.value).value_or(DutyRecord());
    }
    return view;
}

std::vector<std::string> UsageDuty::candidates(const EntryTable &entries) const
{
    std::vector<std::string> addresses = entries.storePeers(this->loop.now());
    addresses.push_back(this->options.peerAddress);
    std::sort(addresses.begin(), addresses.end(), [](const auto &left, const auto &right) {
        return std::pair(rendezvousWeight(DutyName, left), left)
               > std::pair(rendezvousWeight(DutyName, right), right);
    });
    addresses.resize(std::min(addresses.size(), Candidates));
    return addresses;
}

void UsageDuty::tellCounts(const DutyView &view, const std::vector<std::string> &candidates)
{
    if (this->loop.now() < this->nextTellAt)
        return;
    this->nextTellAt = this->loop.now() + TellPeriod;
    std::vector<std::string> receivers = candidates;
    if (view.lockOwner) {
        const std::string holder = view.lockOwner->substr(0, view.lockOwner->rfind('-'));
        if (std::find(receivers.begin(), receivers.end(), holder) == receivers.end())
            receivers.push_back(holder);
    }
    const std::string bytes = encodeUsageMessage(this->counts.tell(this->trueTime()));
    for (const std::string &address : receivers) {
        if (address != this->options.peerAddress)
            this->handlers.send(address, bytes);
    }
}

void UsageDuty::tick(const StoreMirror &mirror, const EntryTable &entries, bool reachesStore)
{
    const Instant now = this->suspendAwareNow();
    this->clocks.tick(now);
    this->counts.tick(this->trueTime());
    const DutyView view = this->view(mirror);
    const std::vector<std::string> candidates = this->candidates(entries);
    this->tellCounts(view, candidates);
    const bool isCandidate =
            !this->hasEnded && reachesStore
            && std::find(candidates.begin(), candidates.end(), this->options.peerAddress)
                       != candidates.end();
    if (const auto command = this->lease.tick(now, view, isCandidate))
        this->execute(*command);
    this->logChange();
    if (this->hasEnded)
        return;
    if (const auto report = this->reporter.tick(now, this->trueTime(), this->lease, this->counts,
                                                entries.liveAddresses(this->loop.now())))
        this->send(*report);
}

void UsageDuty::logChange()
{
    const bool holds = this->lease.holds(this->suspendAwareNow());
    if (holds == this->heldBefore)
        return;
    this->heldBefore = holds;
    this->metrics.set("nutmegrill_duty_holder", {{"duty", DutyName}}, holds ? 1 : 0);
    this->metrics.set("nutmegrill_duty_token", {{"duty", DutyName}},
                      static_cast<double>(this->lease.token()));
    this->handlers.log(
            {holds ? RelayLog::DutyTaken : RelayLog::DutyLost, LogRecord::Level::Info,
             std::string("duty=") + DutyName + " token=" + std::to_string(this->lease.token())});
}

void UsageDuty::execute(const DutyCommand::Any &command)
{
    std::visit([this](const auto &alternative) { this->executeOne(alternative); }, command);
}

void UsageDuty::finish(const StateStore::Result &result)
{
    this->lease.resultArrived(this->suspendAwareNow(), outcomeOf(result.status), result.lease,
                              result.revision);
}

void UsageDuty::executeOne(const DutyCommand::GrantLease &)
{
    this->store.grantLease(DutyLease::Times().lifetime,
                           [this](const StateStore::Result &result) { this->finish(result); });
}

void UsageDuty::executeOne(const DutyCommand::CreateLock &command)
{
    this->store.write(this->lockKey, this->self(), 0, command.lease,
                      [this](const StateStore::Result &result) { this->finish(result); });
}

void UsageDuty::executeOne(const DutyCommand::WriteRecord &command)
{
    this->store.write(this->recordKey, encodeDutyRecord(command.record), command.expected, 0,
                      [this](const StateStore::Result &result) { this->finish(result); });
}

void UsageDuty::executeOne(const DutyCommand::RenewLease &command)
{
    this->store.renewLease(command.lease,
                           [this](const StateStore::Result &result) { this->finish(result); });
}

void UsageDuty::send(const UsageReport &report)
{
    const Instant now = this->suspendAwareNow();
    const auto left = std::chrono::duration_cast<milliseconds>(this->lease.rightEndsAt() - now);
    if (this->connection == nullptr || !this->connection->isReusable()
        || this->connection->idleDeadline() <= this->loop.now())
        this->connection = std::make_shared<ClientConnection>(this->loop, this->options.receiver,
                                                              ConnectTimeout);
    const auto ended = this->counts.endOf(report.window);
    HttpCall::send(
            this->loop, this->connection,
            this->protocol.writeUsageReport(this->options.receiver, this->options.name, report),
            {std::min(MaxSendTime, left), MaxAnswerBytes},
            [this, guard = std::weak_ptr<bool>(this->alive), window = report.window,
             token = report.token, ended](const HttpCall::Response &response) {
                if (guard.expired())
                    return;
                // A report that can never be taken is not sent for ever.
                const bool isTaken = response.status / 100 == 2 || response.status == 400;
                this->reporter.answerArrived(this->suspendAwareNow(), window, isTaken);
                this->metrics.add("nutmegrill_usage_reports_total",
                                  {{"status", std::to_string(response.status)}});
                const auto late =
                        std::chrono::duration_cast<milliseconds>(this->trueTime() - ended);
                this->handlers.log({RelayLog::UsageReported,
                                    isTaken ? LogRecord::Level::Info : LogRecord::Level::Warning,
                                    "window=" + std::to_string(window)
                                            + " token=" + std::to_string(token)
                                            + " status=" + std::to_string(response.status)
                                            + " after_ms=" + std::to_string(late.count())});
            });
}

void UsageDuty::end()
{
    if (std::exchange(this->hasEnded, true))
        return;
    if (this->connection != nullptr)
        this->connection->close();
    if (this->lease.leaseToEnd() != 0)
        this->store.revokeLease(this->lease.leaseToEnd());
}

} // namespace Nutmegrill
