#pragma once

#include "Http/ByteBudget.h"
#include "Relay/RelayNode.h"
#include "RelayShell/BackendPool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Nutmegrill {

class EventLoop;
class RelayProtocol;
struct HttpHead;

/// The open attempts at backend servers: sends their requests, parses the answers and reports the
/// results to the observer. Keeps the head of each answer, and the body of an answer that is not a
/// stream, until the attempt is cancelled.
class BackendAttempts : private ByteBudget::Holder
{
public:
    using AttemptId = RelayCommand::AttemptId;

    struct Observer
    {
        /// A new connection for the attempt has been established.
        std::function<void(AttemptId)> onConnected;
        std::function<void(AttemptId, const AnswerHead &)> onHead;
        std::function<void(AttemptId, StreamEvent)> onEvent;
        std::function<void(AttemptId)> onEnd;
        std::function<void(AttemptId, AttemptFailure)> onFailure;
    };

    struct Answer
    {
        std::unique_ptr<HttpHead> head;
        std::string body;
    };

    BackendAttempts(EventLoop &loop, const RelayProtocol &protocol, ByteBudget &budget,
                    Observer observer);
    ~BackendAttempts() override;
    BackendAttempts(const BackendAttempts &) = delete;
    BackendAttempts &operator=(const BackendAttempts &) = delete;

    void start(const RelayCommand::StartAttempt &command, const std::string &requestId,
               const std::string &bytes);
    /// Drops the answer of an attempt; closes the connection if the answer is incomplete.
    void cancel(AttemptId attempt);
    /// Null if the attempt is unknown or no answer head has arrived.
    const Answer *answer(AttemptId attempt) const;
    void pause(AttemptId attempt, bool paused);
    /// Backend server, connection and progress of an attempt for the log; empty if the attempt has
    /// ended, so that cancel() resets no connection.
    std::string describeOpen(AttemptId attempt) const;
    /// Backend server, connection and cause of a failed attempt for the log; empty if nothing was
    /// sent.
    std::string describeFailed(AttemptId attempt) const;
    /// Finds out whether anything listens at the address, by a connection without a request.
    void check(const std::string &address, std::function<void(BackendCheck)> onResult);
    void tick(Instant now);
    std::uint64_t connectionsOpened() const { return this->pool.connectionsOpened(); }

private:
    struct OpenAttempt;

    /// Answers are kept until their callers have gone.
    Instant stalledSince() const override { return NoDeadline; }
    void shed() override {}
    void setAnswerBytes(std::size_t bytes);
    /// Lets answers go on that were held back for want of memory. The oldest always does, so that
    /// some answer is completed.
    void continueHeldBack();
    bool handleHead(AttemptId attempt, const HttpHead &head);
    void handleData(AttemptId attempt, std::string_view data);
    void handleEnd(AttemptId attempt);
    void fail(AttemptId attempt, AttemptFailure failure, std::string_view cause);

    EventLoop &loop;
    const RelayProtocol &protocol;
    ByteBudget &budget;
    Observer observer;
    BackendPool pool;
    /// Bytes of the answers that are buffered.
    std::size_t answerBytes = 0;
    std::map<AttemptId, std::unique_ptr<OpenAttempt>> openAttempts;
    std::map<std::uint64_t, std::shared_ptr<ClientConnection>> checks;
    std::uint64_t nextCheck = 1;
};

} // namespace Nutmegrill
