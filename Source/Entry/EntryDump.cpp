#include "Entry/EntryDump.h"

#include "Entry/EntryTables.h"
#include "Membership/StateDump.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

const char *nameOf(RequestTable::Phase phase)
{
    switch (phase) {
    case RequestTable::Phase::Queued:
        return "queued";
    case RequestTable::Phase::Running:
        return "running";
    case RequestTable::Phase::Resuming:
        return "resuming";
    case RequestTable::Phase::Done:
        break;
    }
    return "done";
}

const char *nameOf(PeerMessage::BackendStatus::State state)
{
    static constexpr const char *Names[] = {"down", "cold", "warm", "leaving", "out"};
    return Names[static_cast<int>(state)];
}

Json backendOf(Instant now, const BackendTable::Row &row)
{
    return {{"service", row.service},
            {"failure_domain", row.failureDomain},
            {"linked", row.welcomed},
            {"leaving", row.listedLeaving},
            {"state", nameOf(row.status.state)},
            {"running", row.status.running},
            {"limit", row.status.limit},
            {"own_running", row.ownRunning},
            {"credits", row.hasCredit(now) ? row.startsUpTo - row.startsUsed : 0}};
}

Json requestOf(const RequestTable::Row &row)
{
    return {{"request_id", row.request.requestId},
            {"account", row.request.account},
            {"service", row.request.service},
            {"phase", nameOf(row.phase)},
            {"agent", row.agent},
            {"next_event", row.nextEvent},
            {"agents", StateDump<Json>::agents(row.attemptAgents)},
            {"starts", row.attemptAgents.size()},
            {"paused", row.paused}};
}

} // namespace

std::string dumpEntry(Instant now, const EntryTables &tables, bool ready, bool relay)
{
    Json dump = {{"entry", tables.settings.name},
                 {"ready", ready},
                 {"relay", relay},
                 {"stopping", tables.stopping},
                 {"failure_domain", tables.settings.failureDomain},
                 {"configuration_version", tables.spread.version()},
                 {"pending_take_outs", StateDump<Json>::pendingTakeOuts(tables.spread)},
                 {"buffered_bytes", tables.buffers.processBytes()},
                 {"agents", Json::object()},
                 {"queues", Json::object()},
                 {"requests", Json::array()},
                 {"recent", StateDump<Json>::recent(tables.recent)}};
    for (const auto &[agent, row] : tables.backends.all())
        dump["agents"][agent] = backendOf(now, row);
    for (const auto &[name, service] : tables.services)
        dump["queues"][name] = service.queue.size();
    for (const auto &[caller, row] : tables.requests.all())
        dump["requests"].push_back(requestOf(row));
    return dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace Nutmegrill
