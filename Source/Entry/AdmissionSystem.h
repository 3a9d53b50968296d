#pragma once

#include "Entry/EntryTables.h"

#include <optional>
#include <string>

namespace Nutmegrill {

/// Admits requests to the service queues and starts them on agents.
class AdmissionSystem
{
public:
    explicit AdmissionSystem(EntryTables &tables) : tables(tables) {}

    void accept(const EntryEvent::CallerRequest &event, bool ready);
    /// Puts the request back at the head of its queue for another attempt.
    void requeue(RequestTable::Row &row);
    void leaveQueue(const RequestTable::Row &row);

    /// Starts queued requests while agents have credits.
    void startQueued();
    /// Fails queued requests that are past their deadline or quarantined, and requeues those whose
    /// fingerprint became or ceased to be a suspect.
    void checkQueued();

    /// Sends the row's request to an agent. With \a tailOnly the agent only sends the rest of an
    /// answer that it holds, and runs nothing.
    void start(RequestTable::Row &row, BackendTable::Row &backend, WorkMessage::Request request,
               bool tailOnly);

    /// Replies with a failure and removes the request.
    void fail(RequestTable::Row &row, const WorkMessage::Failure &failure);
    static WorkMessage::Failure failure(RunState run, int status, std::string code,
                                        std::string message);

private:
    void checkQueued(RequestTable::Row &row);
    std::optional<WorkMessage::Failure> rejection(const RequestTable::Row &row, bool ready,
                                                  bool resumes);
    bool tryStart(EntryEvent::CallerId caller);
    bool isSuspect(const WorkMessage::Request &request) const;
    std::string flowOf(const RequestTable::Row &row) const;
    std::uint32_t weightOf(const std::string &account) const;
    bool replayFrom(RequestTable::Row &row);
    void resumeFrom(RequestTable::Row &row, const std::string &agent);

    EntryTables &tables;
};

} // namespace Nutmegrill
