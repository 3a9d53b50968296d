#pragma once

#include "Entry/AdmissionSystem.h"
#include "Entry/EntryTables.h"

#include <string>

namespace Nutmegrill {

/// Forwards answers to callers and decides how a request proceeds when its work ends without a
/// complete answer.
class AnswerSystem
{
public:
    AnswerSystem(EntryTables &tables, AdmissionSystem &admission)
        : tables(tables), admission(admission)
    {}

    void receive(const EntryEvent::WorkReceived &event);
    void workClosed(EntryEvent::WorkId work, RunState run);
    /// Closes the works of the closed link that are still open.
    void linkClosed(const std::string &agent);

    /// Asks agents for the rest of answers whose work broke, or continues on another agent.
    void resumeBroken();
    /// Fails running requests that got no answer before their deadline.
    void expireRunning();

private:
    void handleHead(RequestTable::Row &row, const WorkMessage::Head &message);
    void handleEvent(RequestTable::Row &row, const WorkMessage::Event &message);
    void handleEnd(RequestTable::Row &row, const WorkMessage::End &message);
    void handleFailure(RequestTable::Row &row, WorkMessage::Failure failure);
    void readText(RequestTable::Row &row, const std::string &data);
    void reply(RequestTable::Row &row, const std::string &data);
    void finish(RequestTable::Row &row);
    void releaseWork(RequestTable::Row &row);
    void awaitResume(RequestTable::Row &row);
    void resume(RequestTable::Row &row);
    void retryNotRun(RequestTable::Row &row, WorkMessage::Failure failure);
    void continueOnOtherAgent(RequestTable::Row &row, WorkMessage::Failure failure);
    bool mayRetry(const RequestTable::Row &row) const;

    EntryTables &tables;
    AdmissionSystem &admission;
};

} // namespace Nutmegrill
