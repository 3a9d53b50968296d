// Executes the commands that RelayNode returns.

#include "Net/EventLog.h"
#include "Relay/RelayLog.h"
#include "RelayShell/PeerCodec.h"
#include "RelayShell/RelayEntry.h"
#include "RelayShell/RelayProtocol.h"

#include <chrono>
#include <exception>
#include <optional>
#include <variant>

namespace Nutmegrill {

namespace {

/// Unsent bytes of one stream above which reading from the backend server pauses until a slow
/// caller has caught up.
constexpr std::size_t MaxCallerBacklogBytes = 256U << 10U;

} // namespace

namespace {

/// The caller that a command is about.
std::optional<RelayCommand::CallerId> callerOf(const RelayCommand::Any &command)
{
    return std::visit(
            [](const auto &alternative) -> std::optional<RelayCommand::CallerId> {
                if constexpr (requires { alternative.caller; })
                    return alternative.caller;
                else
                    return std::nullopt;
            },
            command);
}

} // namespace

void RelayEntry::execute(RelayNode::Commands &commands)
{
    for (const RelayCommand::Any &command : commands) {
        try {
            std::visit([this](const auto &alternative) { this->executeOne(alternative); }, command);
        } catch (const std::exception &error) {
            const auto caller = callerOf(command);
            this->logUnexpected(
                    "request=" + (caller ? std::to_string(*caller) : std::string("none")), error);
            if (caller)
                this->dropCaller(*caller);
        }
    }
}

void RelayEntry::dropCaller(RelayCommand::CallerId caller)
{
    this->requests.erase(caller);
    if (auto *connection = this->callerListener.find(caller))
        connection->isStreaming() ? connection->abort() : connection->reply(500, {}, {}, {});
    RelayNode::Commands commands;
    this->node.callerDisconnected(this->loop.now(), caller, commands);
    this->execute(commands);
}

void RelayEntry::executeOne(const RelayCommand::StartAttempt &command)
{
    const auto found = this->requests.find(command.caller);
    if (found == this->requests.end())
        return;
    // The caller may have left while its request was unread or waiting, without an event for it.
    if (auto *connection = this->callerListener.find(command.caller);
        connection != nullptr && connection->closeIfCallerLeft())
        return;
    OpenRequest &open = found->second;
    open.attempt = command.attempt;
    open.isPaused = false;
    this->attempts.start(command, open.requestId,
                         this->protocol.writeRequest(open.head, open.body, command));
}

void RelayEntry::executeOne(const RelayCommand::CancelAttempt &command)
{
    if (const std::string open = this->attempts.describeOpen(command.attempt); !open.empty())
        this->log(RelayLog::AttemptReset, LogRecord::Level::Info, open);
    this->attempts.cancel(command.attempt);
}

void RelayEntry::executeOne(const RelayCommand::Refuse &command)
{
    const auto found = this->requests.find(command.caller);
    if (found == this->requests.end())
        return;
    if (auto *connection = this->callerListener.find(command.caller))
        connection->reply(command.status, {},
                          this->protocol.ownHeaders(found->second.requestId, command.retryAfter),
                          {});
    this->metrics.add("nutmegrill_refused_total", {{"status", std::to_string(command.status)}});
    this->requests.erase(found);
}

namespace {

HttpHead::Headers endToEndHeaders(const HttpHead &head)
{
    const std::string *connection = head.find("connection");
    HttpHead::Headers headers;
    for (const auto &[name, value] : head.headers) {
        if (!isHopByHop(name, connection == nullptr ? std::string_view() : *connection)
            && !equalsIgnoringCase(name, "content-length"))
            headers.emplace_back(name, value);
    }
    return headers;
}

} // namespace

void RelayEntry::executeOne(const RelayCommand::RelayAnswer &command)
{
    const auto found = this->requests.find(command.caller);
    if (found == this->requests.end())
        return;
    const BackendAttempts::Answer *answer = this->attempts.answer(command.attempt);
    if (answer == nullptr) {
        // The caller gets a final answer in any case.
        this->log(RelayLog::UnexpectedError, LogRecord::Level::Error,
                  "request=" + found->second.requestId + " error=\"no answer of attempt "
                          + std::to_string(command.attempt) + "\"");
        this->executeOne(RelayCommand::Refuse{command.caller, 502, std::nullopt, {}});
        return;
    }
    if (auto *connection = this->callerListener.find(command.caller))
        connection->reply(answer->head->status, answer->head->reason,
                          endToEndHeaders(*answer->head), answer->body);
    this->metrics.add("nutmegrill_answers_total", {{"kind", "whole"}});
    this->metrics.observe(
            "nutmegrill_answer_seconds", {{"kind", "whole"}},
            std::chrono::duration<double>(this->loop.now() - found->second.arrivedAt).count());
    this->attempts.cancel(command.attempt);
    this->requests.erase(found);
}

void RelayEntry::executeOne(const RelayCommand::OpenStream &command)
{
    const BackendAttempts::Answer *answer = this->attempts.answer(command.attempt);
    const auto found = this->requests.find(command.caller);
    auto *connection = this->callerListener.find(command.caller);
    if (connection == nullptr || answer == nullptr || found == this->requests.end())
        return;
    // Of two attempts, this one goes on.
    found->second.attempt = command.attempt;
    connection->startStream(answer->head->status, answer->head->reason,
                            endToEndHeaders(*answer->head));
    this->metrics.observe(
            "nutmegrill_answer_seconds", {{"kind", "first_event"}},
            std::chrono::duration<double>(this->loop.now() - found->second.arrivedAt).count());
}

void RelayEntry::executeOne(const RelayCommand::SendEvent &command)
{
    auto *connection = this->callerListener.find(command.caller);
    if (connection == nullptr)
        return;
    connection->sendChunk(command.bytes);
    if (connection->pendingBytes() <= MaxCallerBacklogBytes)
        return;
    if (const auto found = this->requests.find(command.caller);
        found != this->requests.end() && !found->second.isPaused) {
        found->second.isPaused = true;
        this->attempts.pause(found->second.attempt, true);
    }
}

void RelayEntry::executeOne(const RelayCommand::EndStream &command)
{
    if (auto *connection = this->callerListener.find(command.caller))
        connection->endStream();
    this->metrics.add("nutmegrill_answers_total", {{"kind", "stream"}});
    this->requests.erase(command.caller);
}

void RelayEntry::executeOne(const RelayCommand::AbortStream &command)
{
    this->requests.erase(command.caller);
    if (auto *connection = this->callerListener.find(command.caller))
        connection->abort();
    this->metrics.add("nutmegrill_streams_cut_total", {});
}

void RelayEntry::executeOne(const RelayCommand::CheckBackend &command)
{
    this->attempts.check(
            command.address, [this, incarnation = command.incarnation](BackendCheck result) {
                RelayNode::Commands commands;
                this->node.backendChecked(this->loop.now(), incarnation, result, commands);
                this->execute(commands);
            });
}

void RelayEntry::executeOne(const RelayCommand::StoreCrashes &command)
{
    this->store.grantLease(
            command.report.remaining, [this, command](const StateStore::Result &granted) {
                if (granted.status != StateStore::Status::Ok)
                    return;
                // Whether the write took effect is seen in the store; otherwise it is repeated.
                this->store.write(this->decoder.crashesKey(command.report.fingerprint),
                                  encodeCrashReport(command.report), command.revision,
                                  granted.lease, [](const StateStore::Result &) {});
            });
}

void RelayEntry::executeOne(const RelayCommand::RecordTimes &command)
{
    const std::pair<const char *, std::chrono::microseconds> phases[] = {
            {"waiting", command.times.waiting},
            {"connecting", command.times.connecting},
            {"serving", command.times.serving},
            {"longest_pause", command.times.longestPause}};
    for (const auto &[phase, time] : phases)
        this->metrics.observe("nutmegrill_request_phase_seconds",
                              {{"service", command.service}, {"phase", phase}},
                              std::chrono::duration<double>(time).count());
}

void RelayEntry::executeOne(const RelayCommand::RecordRun &command)
{
    if (this->usageDuty != nullptr)
        this->usageDuty->recordRun(command.beganAt, command.account);
}

void RelayEntry::executeOne(const RelayCommand::CountSecondAttempt &command)
{
    Metrics::Labels labels{{"service", command.service}, {"outcome", command.outcome}};
    if (*command.reason != '\0')
        labels["reason"] = command.reason;
    this->metrics.add("nutmegrill_second_attempts_total", labels);
}

void RelayEntry::executeOne(const RelayCommand::Log &command)
{
    if (command.record.number == RelayLog::BackendLeaves)
        this->metrics.add("nutmegrill_backends_leaving_total", {});
    else if (command.record.number == RelayLog::BackendPauses)
        this->metrics.add("nutmegrill_backend_pauses_total", {});
    EventLog::writeRateLimited(this->loop.now(), command.record);
}

} // namespace Nutmegrill
