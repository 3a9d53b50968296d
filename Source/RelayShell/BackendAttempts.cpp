#include "RelayShell/BackendAttempts.h"

#include "Http/HttpHead.h"
#include "Net/EventLoop.h"
#include "RelayShell/EventStreamReader.h"
#include "RelayShell/RelayProtocol.h"

#include <utility>

namespace Nutmegrill {

namespace {

/// Limits of a buffered answer and of one event of a stream, in bytes. The known services send up
/// to 4,800 and 420 bytes; the limits are far above that and small compared with an entry's memory.
constexpr std::size_t MaxAnswerBytes = 4U << 20U;
constexpr std::size_t MaxEventBytes = 256U << 10U;
/// Backend servers are in the same region and accept within milliseconds.
constexpr std::chrono::milliseconds CheckTimeout{500};
/// Cause in the log: a success without a signature, or an encoded body.
constexpr std::string_view UnusableHead = "head";

} // namespace

struct BackendAttempts::OpenAttempt
{
    std::string requestId;
    std::string backend;
    std::shared_ptr<ClientConnection> connection;
    Answer answer;
    AnswerHead head;
    EventStreamReader events;
    /// Bytes of events without an id; a stream numbers its events.
    std::size_t unnumberedBytes = 0;
    bool hasEvents = false;
    bool isOver = false;
    bool isReused = false;
    bool isPaused = false;
    /// Reading waits until there is memory for the answer.
    bool isHeldBack = false;
    /// Why the attempt failed after something may have been sent.
    std::string_view failureCause;
};

BackendAttempts::BackendAttempts(EventLoop &loop, const RelayProtocol &protocol, ByteBudget &budget,
                                 Observer observer)
    : loop(loop), protocol(protocol), budget(budget), observer(std::move(observer)), pool(loop)
{}

BackendAttempts::~BackendAttempts()
{
    this->setAnswerBytes(0);
}

void BackendAttempts::setAnswerBytes(std::size_t bytes)
{
    this->answerBytes = bytes;
    this->budget.setHeld(this, bytes);
}

void BackendAttempts::tick(Instant now)
{
    this->pool.tick(now);
    this->continueHeldBack();
}

void BackendAttempts::continueHeldBack()
{
    bool isOldest = true;
    for (auto &[id, attempt] : this->openAttempts) {
        if (!attempt->isHeldBack)
            continue;
        if (!isOldest && this->budget.isExhausted())
            return;
        isOldest = false;
        attempt->isHeldBack = false;
        attempt->connection->pauseReading(false);
    }
}

void BackendAttempts::start(const RelayCommand::StartAttempt &command, const std::string &requestId,
                            const std::string &bytes)
{
    const AttemptId attempt = command.attempt;
    auto openAttempt = std::make_unique<OpenAttempt>();
    openAttempt->requestId = requestId;
    openAttempt->connection =
            this->pool.acquire(command.backend, command.address, command.maxConnections, requestId);
    openAttempt->backend = command.backend;
    openAttempt->isReused =
            openAttempt->connection != nullptr && openAttempt->connection->isConnected();
    OpenAttempt &stored =
            *this->openAttempts.insert_or_assign(attempt, std::move(openAttempt)).first->second;
    if (stored.connection == nullptr) {
        this->loop.after(std::chrono::milliseconds(0),
                         [this, attempt] { this->fail(attempt, AttemptFailure::NotSent, {}); });
        return;
    }
    ClientConnection::Handlers handlers;
    handlers.onConnected = [this, attempt] { this->observer.onConnected(attempt); };
    handlers.onHead = [this, attempt](const HttpHead &head) {
        return this->handleHead(attempt, head);
    };
    handlers.onData = [this, attempt](std::string_view data) { this->handleData(attempt, data); };
    handlers.onEnd = [this, attempt] { this->handleEnd(attempt); };
    handlers.onFailure = [this, attempt](ClientConnection::Failure failure) {
        const auto found = this->openAttempts.find(attempt);
        const std::string_view cause = found == this->openAttempts.end()
                                               ? std::string_view()
                                               : found->second->connection->failureCause();
        switch (failure) {
        case ClientConnection::Failure::NotConnected:
            this->fail(attempt, AttemptFailure::NotSent, {});
            return;
        case ClientConnection::Failure::Refused:
            this->fail(attempt, AttemptFailure::Refused, {});
            return;
        case ClientConnection::Failure::Broken:
            this->fail(attempt, AttemptFailure::Broken, cause);
            return;
        case ClientConnection::Failure::Malformed:
            this->fail(attempt, AttemptFailure::Malformed, cause);
            return;
        }
    };
    stored.connection->send(bytes, std::move(handlers));
}

bool BackendAttempts::handleHead(AttemptId attempt, const HttpHead &head)
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end())
        return true;
    OpenAttempt &openAttempt = *found->second;
    const std::optional<AnswerHead> read = this->protocol.readAnswer(head, openAttempt.requestId);
    if (!read)
        return false;
    openAttempt.head = *read;
    // The text of a refusal or failure belongs to no stream, whatever its type.
    openAttempt.head.isStream = read->isStream && read->status == 200 && !read->notRun;
    openAttempt.answer.head = std::make_unique<HttpHead>(head);
    if (openAttempt.head.isUsable)
        this->observer.onHead(attempt, openAttempt.head);
    return true;
}

void BackendAttempts::handleData(AttemptId attempt, std::string_view data)
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end() || found->second->isOver)
        return;
    OpenAttempt &openAttempt = *found->second;
    if (!openAttempt.head.isUsable) {
        this->fail(attempt, AttemptFailure::Malformed, UnusableHead);
        return;
    }
    if (openAttempt.answer.body.size() + data.size() > MaxAnswerBytes
        || openAttempt.events.bufferedBytes() > MaxEventBytes) {
        this->fail(attempt, AttemptFailure::Malformed, "size");
        return;
    }
    if (!openAttempt.head.isStream) {
        openAttempt.answer.body.append(data);
        this->setAnswerBytes(this->answerBytes + data.size());
        if (this->budget.isExhausted()) {
            openAttempt.isHeldBack = true;
            openAttempt.connection->pauseReading(true);
        }
        return;
    }
    openAttempt.events.add(data);
    while (auto event = openAttempt.events.next()) {
        openAttempt.unnumberedBytes += event->id ? 0 : event->bytes.size();
        if (openAttempt.unnumberedBytes > MaxEventBytes) {
            this->fail(attempt, AttemptFailure::Malformed, "events without numbers");
            return;
        }
        openAttempt.hasEvents = true;
        this->observer.onEvent(attempt, std::move(*event));
        if (this->openAttempts.count(attempt) == 0)
            return;
    }
}

void BackendAttempts::handleEnd(AttemptId attempt)
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end() || found->second->isOver)
        return;
    OpenAttempt &openAttempt = *found->second;
    if (!openAttempt.head.isUsable) {
        this->fail(attempt, AttemptFailure::Malformed, UnusableHead);
        return;
    }
    // The end of the connection is the only end of an unframed answer, also when the backend server
    // crashed before the first event.
    const bool isEmpty =
            openAttempt.head.isStream && !openAttempt.hasEvents && !openAttempt.head.isFramed;
    if (openAttempt.events.hasPartialEvent() || isEmpty) {
        this->fail(attempt, AttemptFailure::Broken, isEmpty ? "no event" : "part of an event");
        return;
    }
    openAttempt.isOver = true;
    // The connection is used again.
    if (openAttempt.isPaused || openAttempt.isHeldBack)
        openAttempt.connection->pauseReading(false);
    openAttempt.isPaused = openAttempt.isHeldBack = false;
    if (openAttempt.head.notRun)
        this->pool.recordRefusal(openAttempt.backend, openAttempt.connection.get(),
                                 openAttempt.requestId);
    const bool keep = !openAttempt.head.isStream;
    this->observer.onEnd(attempt);
    if (!keep)
        this->openAttempts.erase(attempt);
}

void BackendAttempts::fail(AttemptId attempt, AttemptFailure failure, std::string_view cause)
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end() || found->second->isOver)
        return;
    found->second->isOver = true;
    found->second->failureCause = cause;
    if (found->second->connection != nullptr && found->second->connection->isBusy())
        found->second->connection->close();
    this->observer.onFailure(attempt, failure);
}

void BackendAttempts::cancel(AttemptId attempt)
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end())
        return;
    if (OpenAttempt &openAttempt = *found->second;
        !openAttempt.isOver && openAttempt.connection != nullptr)
        openAttempt.connection->close();
    this->setAnswerBytes(this->answerBytes - found->second->answer.body.size());
    this->openAttempts.erase(found);
}

const BackendAttempts::Answer *BackendAttempts::answer(AttemptId attempt) const
{
    const auto found = this->openAttempts.find(attempt);
    return found == this->openAttempts.end() || found->second->answer.head == nullptr
                   ? nullptr
                   : &found->second->answer;
}

void BackendAttempts::check(const std::string &address, std::function<void(BackendCheck)> onResult)
{
    const std::uint64_t check = this->nextCheck++;
    const auto connection = std::make_shared<ClientConnection>(this->loop, address, CheckTimeout);
    this->checks.emplace(check, connection);
    const auto finish = [this, check, onResult = std::move(onResult)](BackendCheck result) {
        // The connection must not end within its own handler.
        this->loop.after(std::chrono::milliseconds(0),
                         [this, check] { this->checks.erase(check); });
        onResult(result);
    };
    ClientConnection::Handlers handlers;
    handlers.onConnected = [finish] { finish(BackendCheck::Listening); };
    handlers.onHead = [](const HttpHead &) { return true; };
    handlers.onData = [](std::string_view) {};
    handlers.onEnd = [] {};
    handlers.onFailure = [finish](ClientConnection::Failure failure) {
        finish(failure == ClientConnection::Failure::Refused ? BackendCheck::Refused
                                                             : BackendCheck::Unknown);
    };
    connection->send({}, std::move(handlers));
}

void BackendAttempts::pause(AttemptId attempt, bool paused)
{
    if (const auto found = this->openAttempts.find(attempt);
        found != this->openAttempts.end() && found->second->connection != nullptr) {
        found->second->isPaused = paused;
        found->second->connection->pauseReading(paused);
    }
}

std::string BackendAttempts::describeOpen(AttemptId attempt) const
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end() || found->second->isOver
        || found->second->connection == nullptr)
        return {};
    const OpenAttempt &row = *found->second;
    const std::size_t unsent = row.connection->unsentBytes();
    const char *progress = "sent";
    if (!row.connection->isConnected())
        progress = "connecting";
    else if (unsent > 0)
        progress = "sending";
    else if (row.isPaused)
        progress = "paused";
    else if (row.answer.head != nullptr)
        progress = "answering";
    return "request=" + row.requestId + " backend=" + row.backend
           + " connection=" + (row.isReused ? "reused" : "new") + " progress=" + progress
           + " unsent_bytes=" + std::to_string(unsent);
}

std::string BackendAttempts::describeFailed(AttemptId attempt) const
{
    const auto found = this->openAttempts.find(attempt);
    if (found == this->openAttempts.end() || found->second->failureCause.empty())
        return {};
    const OpenAttempt &row = *found->second;
    return "request=" + row.requestId + " backend=" + row.backend
           + " connection=" + (row.isReused ? "reused" : "new")
           + " status=" + std::to_string(row.answer.head == nullptr ? 0 : row.answer.head->status)
           + " cause=\"" + std::string(row.failureCause) + "\"";
}

} // namespace Nutmegrill
