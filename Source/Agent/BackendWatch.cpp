#include "Agent/BackendWatch.h"

#include "Agent/AgentLog.h"
#include "Agent/WorkFailure.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace Nutmegrill {

namespace {

// The connections of a crashed process break shortly after each other, not in one batch.
constexpr std::chrono::seconds BrokenConnectionWindow(2);

} // namespace

void BackendWatch::receiveReport(const AgentTurn &turn, const AgentEvent::BackendReport &report)
{
    BackendState &backend = this->state.backend;
    if (!report.reachable) {
        this->setDown(turn, "the probe failed");
        return;
    }
    const bool restarted =
            !backend.incarnation.empty() && report.incarnation != backend.incarnation;
    if (restarted && (this->state.running() > 0 || !this->recentlyBroken.empty()))
        this->addCrash(turn);
    if (backend.reachable && !restarted) {
        backend.incarnation = report.incarnation;
        return;
    }
    if (!backend.reachable)
        ++this->recoveries;
    backend.reachable = true;
    backend.incarnation = report.incarnation;
    backend.warmup.turnCold(turn.now);
    this->state.log(turn, AgentLog::BackendUp, LogRecord::Level::Info,
                    "backend server " + report.incarnation + " is reachable and cold");
}

void BackendWatch::receiveFailure(const AgentTurn &turn, const AgentEvent::BackendFailed &event)
{
    RequestRow *row = this->state.findRequest(event.requestId);
    if (row == nullptr || row->phase != RequestRow::Phase::Running)
        return;
    const std::string id = event.requestId;
    if (event.kind == AgentEvent::BackendFailed::Kind::NotSent) {
        if (row->isClaimed())
            this->state.claims.withdraw(row->claimKey);
        if (!row->wasSentBefore)
            this->state.sentRequests.erase(id);
        this->state.failRequest(turn, id,
                                rejectNotRun("refused", "the backend server refused the call"));
        this->setDown(turn, "a connection was refused");
        if (this->state.running() > 0 || !this->recentlyBroken.empty())
            this->addCrash(turn);
        return;
    }
    if (!row->isCrashRecorded) {
        this->recentlyBroken[row->fingerprint] = turn.now + BrokenConnectionWindow;
        this->brokeInThisBatch = true;
    }
    if (row->isClaimed())
        this->state.claims.finish(row->claimKey, ClaimRecord::State::Unknown, {});
    this->state.failRequest(turn, id,
                            makeFailure(RunState::Unknown, 502, "broken",
                                        "the connection to the backend server broke"));
}

void BackendWatch::mergeCrashNotice(const AgentTurn &turn, AgentCommand::LinkId link,
                                    const PeerMessage::CrashNotice &notice)
{
    if (!this->state.crashes.merge(turn.now, notice))
        return;
    this->state.suspects.insert(notice.fingerprint);
    this->broadcastCrashRecord(turn, notice.fingerprint, link);
}

void BackendWatch::detectCrash(const AgentTurn &turn)
{
    const bool isAnyOpen = std::any_of(this->state.requests.begin(), this->state.requests.end(),
                                       [](const auto &entry) {
                                           return entry.second.phase == RequestRow::Phase::Running
                                                  && !entry.second.isCrashRecorded;
                                       });
    if (this->brokeInThisBatch && !isAnyOpen) {
        this->addCrash(turn);
        this->setDown(turn, "all connections broke");
    }
    this->brokeInThisBatch = false;
    std::erase_if(this->recentlyBroken,
                  [&turn](const auto &entry) { return entry.second <= turn.now; });
}

void BackendWatch::expire(const AgentTurn &turn)
{
    this->state.crashes.tick(turn.now);
    std::erase_if(this->state.suspects, [this, &turn](std::uint64_t fingerprint) {
        return !this->state.crashes.isSuspect(turn.now, fingerprint);
    });
}

void BackendWatch::trackFailureDomain(const AgentTurn &turn)
{
    BackendState &backend = this->state.backend;
    const bool out = this->state.isOut();
    if (out == backend.out)
        return;
    backend.out = out;
    // The caches are cold after the outage, so the full load must not return at once.
    if (!out)
        backend.warmup.turnCold(turn.now);
    this->state.log(turn, out ? AgentLog::DomainOut : AgentLog::DomainIn, LogRecord::Level::Info,
                    this->state.settings.failureDomain
                            + (out ? " is out of service" : " is in service"));
}

void BackendWatch::setDown(const AgentTurn &turn, const std::string &reason)
{
    this->state.backend.warmup.turnCold(turn.now);
    if (!this->state.backend.reachable)
        return;
    this->state.backend.reachable = false;
    this->state.log(turn, AgentLog::BackendDown, LogRecord::Level::Warning,
                    "backend server is down: " + reason);
}

// Identifies a crash by the incarnation, which crashes at most once. Refused connections, broken
// connections and a new incarnation can all report one crash and must not be counted separately.
std::string BackendWatch::crashId() const
{
    const BackendState &backend = this->state.backend;
    return this->state.settings.name + "/" + std::to_string(this->state.settings.incarnation) + "/"
           + (backend.incarnation.empty() ? "return " + std::to_string(this->recoveries)
                                          : backend.incarnation);
}

void BackendWatch::addCrash(const AgentTurn &turn)
{
    if (!this->state.settings.mechanisms.crashIsolation)
        return;
    std::set<std::uint64_t> inFlight;
    for (auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Running || row.isCrashRecorded)
            continue;
        row.isCrashRecorded = true;
        inFlight.insert(row.fingerprint);
    }
    for (const auto &[fingerprint, deadline] : this->recentlyBroken)
        inFlight.insert(fingerprint);
    this->recentlyBroken.clear();
    const std::string crash = this->crashId();
    bool isNew = false;
    for (std::uint64_t fingerprint : inFlight) {
        if (!this->state.crashes.add(turn.now, fingerprint, crash))
            continue;
        isNew = true;
        this->state.suspects.insert(fingerprint);
        this->broadcastCrashRecord(turn, fingerprint, 0);
        if (this->state.crashes.isQuarantined(turn.now, fingerprint))
            this->state.log(turn, AgentLog::Quarantined, LogRecord::Level::Warning,
                            "fingerprint " + std::to_string(fingerprint) + " is quarantined");
    }
    if (isNew)
        this->state.log(turn, AgentLog::BackendCrashed, LogRecord::Level::Error,
                        "backend server crashed with " + std::to_string(inFlight.size())
                                + " requests: " + crash);
}

void BackendWatch::broadcastCrashRecord(const AgentTurn &turn, std::uint64_t fingerprint,
                                        AgentCommand::LinkId except) const
{
    this->state.broadcast(turn, this->state.crashes.notice(turn.now, fingerprint), except);
}

} // namespace Nutmegrill
