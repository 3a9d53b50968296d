// The part of RelayEntry that carries out the orders of the decisions.

#include "Net/EventLog.h"
#include "RelayShell/RelayEntry.h"
#include "RelayShell/RelayProtocol.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// Bytes of one answer that may wait for a caller that reads slowly before its backend server is
/// held back.
constexpr std::size_t CallerBacklog = 256U << 10U;

} // namespace

void RelayEntry::carryOut(RelayNode::Orders &orders)
{
    for (const RelayOrder::Any &order : orders)
        std::visit([this](const auto &one) { this->carryOutOne(one); }, order);
}

void RelayEntry::carryOutOne(const RelayOrder::StartAttempt &order)
{
    const auto found = this->requests.find(order.caller);
    if (found == this->requests.end())
        return;
    OpenRequest &open = found->second;
    open.attempt = order.attempt;
    open.isPaused = false;
    this->attempts.start(order, open.requestId,
                         this->protocol.writeRequest(open.head, open.body, order));
}

void RelayEntry::carryOutOne(const RelayOrder::CancelAttempt &order)
{
    this->attempts.cancel(order.attempt);
}

void RelayEntry::carryOutOne(const RelayOrder::Refuse &order)
{
    const auto found = this->requests.find(order.caller);
    if (found == this->requests.end())
        return;
    if (auto *connection = this->callers.find(order.caller))
        connection->reply(order.status, {},
                          this->protocol.ownHeaders(found->second.requestId, order.retryAfter), {});
    this->metrics.add("nutmegrill_refused_total", {{"status", std::to_string(order.status)}});
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

void RelayEntry::carryOutOne(const RelayOrder::RelayAnswer &order)
{
    const auto found = this->requests.find(order.caller);
    if (found == this->requests.end())
        return;
    const BackendAttempts::Answer *answer = this->attempts.answer(order.attempt);
    auto *connection = this->callers.find(order.caller);
    if (connection != nullptr && answer != nullptr)
        connection->reply(answer->head->status, answer->head->reason,
                          endToEndHeaders(*answer->head), answer->body);
    this->metrics.add("nutmegrill_answers_total", {{"kind", "whole"}});
    this->metrics.observe(
            "nutmegrill_answer_seconds", {{"kind", "whole"}},
            std::chrono::duration<double>(this->loop.now() - found->second.arrivedAt).count());
    this->attempts.cancel(order.attempt);
    this->requests.erase(found);
}

void RelayEntry::carryOutOne(const RelayOrder::OpenStream &order)
{
    const BackendAttempts::Answer *answer = this->attempts.answer(order.attempt);
    const auto found = this->requests.find(order.caller);
    auto *connection = this->callers.find(order.caller);
    if (connection == nullptr || answer == nullptr || found == this->requests.end())
        return;
    connection->startStream(answer->head->status, answer->head->reason,
                            endToEndHeaders(*answer->head));
    this->metrics.observe(
            "nutmegrill_answer_seconds", {{"kind", "first_event"}},
            std::chrono::duration<double>(this->loop.now() - found->second.arrivedAt).count());
}

void RelayEntry::carryOutOne(const RelayOrder::SendEvent &order)
{
    auto *connection = this->callers.find(order.caller);
    if (connection == nullptr)
        return;
    connection->sendPart(order.bytes);
    if (connection->pendingBytes() <= CallerBacklog)
        return;
    if (const auto found = this->requests.find(order.caller);
        found != this->requests.end() && !found->second.isPaused) {
        found->second.isPaused = true;
        this->attempts.pause(found->second.attempt, true);
    }
}

void RelayEntry::carryOutOne(const RelayOrder::EndStream &order)
{
    if (auto *connection = this->callers.find(order.caller))
        connection->endStream();
    this->metrics.add("nutmegrill_answers_total", {{"kind", "stream"}});
    this->requests.erase(order.caller);
}

void RelayEntry::carryOutOne(const RelayOrder::CutCaller &order)
{
    this->requests.erase(order.caller);
    if (auto *connection = this->callers.find(order.caller))
        connection->abort();
    this->metrics.add("nutmegrill_streams_cut_total", {});
}

void RelayEntry::carryOutOne(const RelayOrder::Log &order)
{
    EventLog::writeBounded(this->loop.now(), order.record);
}

} // namespace Nutmegrill
