#include "Net/Base64.h"
#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <algorithm>
#include <deque>
#include <optional>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = StandIn::Json;

struct KeyValue
{
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

using Table = std::map<std::string, KeyValue>;

// One entry of the change history; version 0 marks a deletion.
struct Change
{
    std::string key;
    KeyValue item;
};

struct Lease
{
    std::int64_t seconds = 0;
    Instant deadline;
};

struct KeyRange
{
    std::string first;
    std::string end;

    // An empty end selects the single key `first`; a zero byte means no upper bound.
    bool contains(const std::string &key) const
    {
        if (this->end.empty())
            return key == this->first;
        return key >= this->first && (this->end == std::string(1, '\0') || key < this->end);
    }
};

struct Watch
{
    KeyRange range;
    std::int64_t nextRevision = 0;
    bool progress = false;
};

// Reads a 64-bit number; the gateway encodes these as strings and accepts JSON numbers too.
std::int64_t integerMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

// Adds a 64-bit number; like the gateway, leaves out the default value 0.
void putNonZero(Json &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

std::string decodeMember(const Json &object, const char *name)
{
    const std::optional<std::string> decoded = decodeBase64(object.value(name, std::string()));
    if (!decoded)
        throw StandInError(400, "illegal base64 data");
    return *decoded;
}

KeyRange keyRange(const Json &body)
{
    KeyRange range{decodeMember(body, "key"), decodeMember(body, "range_end")};
    if (range.first.empty())
        throw StandInError(400, "etcdserver: key is not provided");
    return range;
}

Json toJson(const std::string &key, const KeyValue &item)
{
    Json json{{"key", encodeBase64(key)}};
    if (!item.value.empty())
        json["value"] = encodeBase64(item.value);
    putNonZero(json, "create_revision", item.createRevision);
    putNonZero(json, "mod_revision", item.modRevision);
    putNonZero(json, "version", item.version);
    putNonZero(json, "lease", item.lease);
    return json;
}

const Json &arrayMember(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const auto found = object.find(name);
    return found == object.end() ? empty : *found;
}

bool isReadOnly(const Json &transaction)
{
    for (const char *branch : {"success", "failure"}) {
        for (const Json &operation : arrayMember(transaction, branch)) {
            const bool nested = operation.contains("request_txn");
            if (nested ? !isReadOnly(operation["request_txn"])
                       : !operation.contains("request_range"))
                return false;
        }
    }
    return true;
}

} // namespace

/// Simulates the subset of the etcd v3 JSON gateway that Nutmegrill uses, in memory.
class StoreStandIn : public StandIn
{
public:
    explicit StoreStandIn(EventLoop &loop) : StandIn(loop, "stand-in-store") {}

protected:
    void started() override
    {
        static constexpr std::chrono::milliseconds LeaseCheckPeriod(50);
        this->timers.push_back(this->loop.every(LeaseCheckPeriod, [this] { this->expire(); }));
        this->timers.push_back(this->loop.every(std::chrono::milliseconds(this->progressMs),
                                                [this] { this->reportProgress(); }));
    }

    void serve(const HttpServer::Request &request, const Json &body) override
    {
        const auto found = knownCalls().find(request.path);
        if (found == knownCalls().end() || request.method != "POST")
            throw StandInError(404, "Not Found");
        const Call call = found->second;
        ++this->calls[request.path];
        if (call.answer == nullptr) {
            this->openWatch(request.id, body);
            return;
        }
        const bool isWrite = call.isWrite && !(request.path == "/v3/kv/txn" && isReadOnly(body));
        ++(isWrite ? this->writes : this->reads);
        const std::chrono::milliseconds wait = this->queueDelay(isWrite);
        if (wait.count() == 0)
            this->execute(request.id, call, isWrite, body);
        else
            this->loop.after(wait, [this, id = request.id, call, isWrite, body] {
                this->handleErrors(id, [&] { this->execute(id, call, isWrite, body); });
            });
    }

    void faultsChanged(const Json &changes) override
    {
        if (changes.contains("staleReads"))
            this->snapshot = this->table;
        const bool drop = std::exchange(this->dropWatches, 0) != 0;
        if (drop || this->down == "close") {
            for (const auto &[request, watch] : std::exchange(this->watches, {})) {
                this->server->sendChunk(request, this->watchLine({{"canceled", true}}));
                this->server->endReply(request);
            }
        }
        // A silent outage ends with aborted watches, without a cancel message.
        if (this->wasSilent && this->down.empty()) {
            for (const auto &[request, watch] : std::exchange(this->watches, {}))
                this->server->abort(request);
        }
        this->wasSilent = this->down == "silent";
    }

    void callerDisconnected(RequestId request) override { this->watches.erase(request); }

    Json counters() const override
    {
        return {{"calls", this->calls},          {"reads", this->reads},
                {"writes", this->writes},        {"openWatches", this->watches.size()},
                {"leases", this->leases.size()}, {"keys", this->table.size()},
                {"revision", this->revision}};
    }

private:
    struct Call
    {
        Json (StoreStandIn::*answer)(const Json &body);
        bool isWrite;
    };

    static const std::map<std::string, Call> &knownCalls()
    {
        static const std::map<std::string, Call> calls{
                {"/v3/kv/range", {&StoreStandIn::range, false}},
                {"/v3/kv/put", {&StoreStandIn::putOne, true}},
                {"/v3/kv/deleterange", {&StoreStandIn::deleteRange, true}},
                {"/v3/kv/txn", {&StoreStandIn::transaction, true}},
                {"/v3/lease/grant", {&StoreStandIn::grant, true}},
                {"/v3/lease/revoke", {&StoreStandIn::revoke, true}},
                {"/v3/lease/keepalive", {&StoreStandIn::keepAlive, true}},
                {"/v3/lease/timetolive", {&StoreStandIn::timeToLive, false}},
                {"/v3/watch", {nullptr, false}},
        };
        return calls;
    }

    void execute(RequestId request, const Call &call, bool isWrite, const Json &body)
    {
        const Json answer = (this->*call.answer)(body);
        this->notify();
        if (isWrite && this->loseAnswers > 0) {
            --this->loseAnswers;
            ++this->calls["lost answers"];
            this->server->abort(request);
        } else {
            this->reply(request, 200, answer);
        }
    }

    // Returns the queueing delay of a call at the configured rate; rejects calls beyond 5 s.
    std::chrono::milliseconds queueDelay(bool isWrite)
    {
        const std::int64_t rate = isWrite ? this->writesPerSecond : this->readsPerSecond;
        if (rate == 0)
            return {};
        Instant &freeAt = isWrite ? this->writeFreeAt : this->readFreeAt;
        const Instant now = this->loop.now();
        const auto wait = std::max(freeAt - now, Instant::duration(0));
        if (wait > std::chrono::seconds(5))
            throw StandInError(429, "etcdserver: too many requests");
        freeAt = now + wait + Instant::duration(1000000 / rate);
        return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    }

    Json header() const
    {
        return {{"cluster_id", "1"},
                {"member_id", "1"},
                {"raft_term", "1"},
                {"revision", std::to_string(this->revision)}};
    }

    Json range(const Json &body)
    {
        const bool stale = this->staleReads != 0 && body.value("serializable", false);
        return this->readRange(stale ? this->snapshot : this->table, body);
    }

    Json readRange(const Table &from, const Json &body) const
    {
        const KeyRange range = keyRange(body);
        const std::int64_t limit = integerMember(body, "limit");
        std::int64_t count = 0;
        Json items = Json::array();
        for (auto row = from.lower_bound(range.first); row != from.end(); ++row) {
            if (!range.contains(row->first))
                break;
            ++count;
            if (body.value("count_only", false) || (limit > 0 && count > limit))
                continue;
            items.push_back(toJson(row->first, row->second));
            if (body.value("keys_only", false))
                items.back().erase("value");
        }
        Json answer{{"header", this->header()}};
        putNonZero(answer, "count", count);
        if (limit > 0 && count > limit)
            answer["more"] = true;
        if (!items.empty())
            answer["kvs"] = items;
        return answer;
    }

    Json putOne(const Json &body)
    {
        this->check(body);
        return this->change([&] { return this->applyPut(body); });
    }

    Json deleteRange(const Json &body)
    {
        return this->change([&] { return this->applyDelete(body); });
    }

    Json transaction(const Json &body)
    {
        std::set<std::string> putKeys;
        this->checkTransaction(body, this->maxTransactionOperations, putKeys);
        // All comparisons, also nested ones, see the state before the transaction.
        std::deque<bool> outcomes;
        this->compare(body, outcomes);
        return this->change([&] { return this->applyTransaction(body, outcomes); });
    }

    // Runs a write at the next revision; the revision advances only if something changed.
    Json change(const std::function<Json()> &apply)
    {
        ++this->revision;
        const std::size_t before = this->changeCount;
        Json answer = apply();
        if (this->changeCount == before) {
            --this->revision;
            answer["header"] = this->header();
        }
        return answer;
    }

    void record(const std::string &key, const KeyValue &item)
    {
        ++this->changeCount;
        this->history.push_back({key, item});
        while (static_cast<std::int64_t>(this->history.size()) > this->historyLength) {
            this->compactedRevision = this->history.front().item.modRevision;
            this->history.pop_front();
        }
    }

    void check(const Json &body) const
    {
        keyRange(body);
        if (const std::int64_t lease = integerMember(body, "lease");
            lease != 0 && this->leases.count(lease) == 0)
            throw StandInError(404, "etcdserver: requested lease not found");
        if (static_cast<std::int64_t>(decodeMember(body, "value").size()) > this->maxValueBytes)
            throw StandInError(400, "etcdserver: request is too large");
    }

    Json applyPut(const Json &body)
    {
        const std::string key = decodeMember(body, "key");
        Json answer;
        if (const auto old = this->table.find(key);
            old != this->table.end() && body.value("prev_kv", false))
            answer["prev_kv"] = toJson(key, old->second);
        KeyValue &item = this->table[key];
        item.value = decodeMember(body, "value");
        item.lease = integerMember(body, "lease");
        if (item.version == 0)
            item.createRevision = this->revision;
        item.modRevision = this->revision;
        ++item.version;
        this->record(key, item);
        answer["header"] = this->header();
        return answer;
    }

    Json applyDelete(const Json &body)
    {
        const KeyRange range = keyRange(body);
        Json answer{{"header", this->header()}};
        std::int64_t deleted = 0;
        auto row = this->table.lower_bound(range.first);
        while (row != this->table.end() && range.contains(row->first)) {
            if (body.value("prev_kv", false))
                answer["prev_kvs"].push_back(toJson(row->first, row->second));
            KeyValue tombstone;
            tombstone.modRevision = this->revision;
            this->record(row->first, tombstone);
            row = this->table.erase(row);
            ++deleted;
        }
        putNonZero(answer, "deleted", deleted);
        return answer;
    }

    // Rejects what etcd rejects: a key put twice on one path, and too many operations. A
    // nested transaction shares the operation limit of its parent.
    void checkTransaction(const Json &body, std::int64_t limit, std::set<std::string> &keys) const
    {
        const std::size_t longest =
                std::max({arrayMember(body, "compare").size(), arrayMember(body, "success").size(),
                          arrayMember(body, "failure").size()});
        if (static_cast<std::int64_t>(longest) > limit)
            throw StandInError(400, "etcdserver: too many operations in txn request");
        for (const char *branch : {"success", "failure"}) {
            std::set<std::string> branchKeys;
            for (const Json &operation : arrayMember(body, branch)) {
                std::set<std::string> operationKeys;
                if (operation.contains("request_put")) {
                    this->check(operation["request_put"]);
                    operationKeys.insert(decodeMember(operation["request_put"], "key"));
                } else if (operation.contains("request_txn")) {
                    this->checkTransaction(operation["request_txn"],
                                           limit - static_cast<std::int64_t>(longest),
                                           operationKeys);
                } else if (operation.contains("request_delete_range")) {
                    keyRange(operation["request_delete_range"]);
                } else {
                    keyRange(operation.at("request_range"));
                }
                for (const std::string &key : operationKeys) {
                    if (!branchKeys.insert(key).second)
                        throw StandInError(400, "etcdserver: duplicate key given in txn request");
                }
            }
            keys.merge(branchKeys);
        }
    }

    void compare(const Json &body, std::deque<bool> &outcomes) const
    {
        bool holds = true;
        for (const Json &condition : arrayMember(body, "compare"))
            holds = holds && this->holds(condition);
        outcomes.push_back(holds);
        for (const Json &operation : arrayMember(body, holds ? "success" : "failure")) {
            if (operation.contains("request_txn"))
                this->compare(operation["request_txn"], outcomes);
        }
    }

    bool holds(const Json &condition) const
    {
        const auto row = this->table.find(keyRange(condition).first);
        const bool exists = row != this->table.end();
        const KeyValue item = exists ? row->second : KeyValue();
        const std::string target = condition.value("target", std::string("VERSION"));
        int order = 0;
        if (target == "VALUE") {
            // A value comparison fails if the key does not exist.
            if (!exists)
                return false;
            order = item.value.compare(decodeMember(condition, "value"));
        } else if (target == "VERSION") {
            order = this->order(item.version, integerMember(condition, "version"));
        } else if (target == "CREATE") {
            order = this->order(item.createRevision, integerMember(condition, "create_revision"));
        } else if (target == "MOD") {
            order = this->order(item.modRevision, integerMember(condition, "mod_revision"));
        } else {
            throw StandInError(400, "unknown compare target " + target);
        }
        const std::string result = condition.value("result", std::string("EQUAL"));
        if (result == "EQUAL")
            return order == 0;
        if (result == "NOT_EQUAL")
            return order != 0;
        if (result == "GREATER")
            return order > 0;
        if (result == "LESS")
            return order < 0;
        throw StandInError(400, "unknown compare result " + result);
    }

    static int order(std::int64_t left, std::int64_t right)
    {
        return left < right ? -1 : static_cast<int>(left > right);
    }

    Json applyTransaction(const Json &body, std::deque<bool> &outcomes)
    {
        const bool succeeded = outcomes.front();
        outcomes.pop_front();
        Json answer{{"header", this->header()}};
        if (succeeded)
            answer["succeeded"] = true;
        for (const Json &operation : arrayMember(body, succeeded ? "success" : "failure")) {
            Json response;
            if (operation.contains("request_put"))
                response["response_put"] = this->applyPut(operation["request_put"]);
            else if (operation.contains("request_delete_range"))
                response["response_delete_range"] =
                        this->applyDelete(operation["request_delete_range"]);
            else if (operation.contains("request_range"))
                response["response_range"] =
                        this->readRange(this->table, operation["request_range"]);
            else
                response["response_txn"] =
                        this->applyTransaction(operation["request_txn"], outcomes);
            answer["responses"].push_back(response);
        }
        return answer;
    }

    Json grant(const Json &body)
    {
        std::int64_t id = integerMember(body, "ID");
        if (id == 0)
            id = this->nextLease++;
        if (this->leases.count(id) != 0)
            throw StandInError(412, "etcdserver: lease already exists");
        Lease &lease = this->leases[id];
        lease.seconds = integerMember(body, "TTL");
        lease.deadline = this->loop.now() + std::chrono::seconds(lease.seconds);
        return this->leaseAnswer(id, lease.seconds);
    }

    Json leaseAnswer(std::int64_t id, std::int64_t seconds) const
    {
        Json answer{{"header", this->header()}, {"ID", std::to_string(id)}};
        putNonZero(answer, "TTL", seconds);
        return answer;
    }

    Json revoke(const Json &body)
    {
        const std::int64_t id = integerMember(body, "ID");
        if (this->leases.count(id) == 0)
            throw StandInError(404, "etcdserver: requested lease not found");
        this->endLease(id);
        return {{"header", this->header()}};
    }

    Json keepAlive(const Json &body)
    {
        const std::int64_t id = integerMember(body, "ID");
        const auto found = this->leases.find(id);
        if (found == this->leases.end())
            return {{"result", this->leaseAnswer(id, 0)}};
        found->second.deadline = this->loop.now() + std::chrono::seconds(found->second.seconds);
        return {{"result", this->leaseAnswer(id, found->second.seconds)}};
    }

    Json timeToLive(const Json &body)
    {
        const std::int64_t id = integerMember(body, "ID");
        const auto found = this->leases.find(id);
        if (found == this->leases.end())
            return this->leaseAnswer(id, -1);
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(found->second.deadline
                                                                           - this->loop.now());
        Json answer = this->leaseAnswer(id, left.count());
        putNonZero(answer, "grantedTTL", found->second.seconds);
        if (body.value("keys", false)) {
            for (const auto &[key, item] : this->table) {
                if (item.lease == id)
                    answer["keys"].push_back(encodeBase64(key));
            }
        }
        return answer;
    }

    void endLease(std::int64_t id)
    {
        this->leases.erase(id);
        this->change([this, id] {
            for (auto row = this->table.begin(); row != this->table.end();) {
                if (row->second.lease != id) {
                    ++row;
                    continue;
                }
                KeyValue tombstone;
                tombstone.modRevision = this->revision;
                this->record(row->first, tombstone);
                row = this->table.erase(row);
            }
            return Json();
        });
    }

    void expire()
    {
        std::vector<std::int64_t> ended;
        for (const auto &[id, lease] : this->leases) {
            if (lease.deadline <= this->loop.now())
                ended.push_back(id);
        }
        for (const std::int64_t id : ended)
            this->endLease(id);
        this->notify();
    }

    void openWatch(RequestId request, const Json &body)
    {
        const Json &create = body.at("create_request");
        const std::int64_t start = integerMember(create, "start_revision");
        Watch watch{keyRange(create), start == 0 ? this->revision + 1 : start,
                    create.value("progress_notify", false)};
        this->server->startReply(request, 200, {{"Content-Type", "application/json"}});
        this->server->sendChunk(request, this->watchLine({{"created", true}}));
        if (start != 0 && start <= this->compactedRevision) {
            this->server->sendChunk(request,
                                    this->watchLine({{"canceled", true},
                                                     {"compact_revision",
                                                      std::to_string(this->compactedRevision)}}));
            this->server->endReply(request);
            return;
        }
        this->watches.emplace(request, watch);
        this->notify();
    }

    std::string watchLine(Json result) const
    {
        result["header"] = this->header();
        return Json{{"result", result}}.dump() + "\n";
    }

    // Sends each watch the changes since its last notification.
    void notify()
    {
        if (!this->down.empty())
            return;
        for (auto &[request, watch] : this->watches) {
            Json events = Json::array();
            auto change =
                    std::lower_bound(this->history.begin(), this->history.end(), watch.nextRevision,
                                     [](const Change &row, std::int64_t from) {
                                         return row.item.modRevision < from;
                                     });
            for (; change != this->history.end(); ++change) {
                if (!watch.range.contains(change->key))
                    continue;
                events.push_back({{"kv", toJson(change->key, change->item)}});
                if (change->item.version == 0)
                    events.back()["type"] = "DELETE";
            }
            watch.nextRevision = std::max(watch.nextRevision, this->revision + 1);
            if (!events.empty())
                this->server->sendChunk(request, this->watchLine({{"events", events}}));
        }
    }

    void reportProgress()
    {
        if (!this->down.empty())
            return;
        for (const auto &[request, watch] : this->watches) {
            if (watch.progress)
                this->server->sendChunk(request, this->watchLine(Json::object()));
        }
    }

    std::int64_t &writesPerSecond = this->numberSetting("writes-per-second", 0, "0: no limit");
    std::int64_t &readsPerSecond = this->numberSetting("reads-per-second", 0, "0: no limit");
    std::int64_t &loseAnswers = this->numberSetting(
            "lose-answers", 0, "the next N writes are executed but not answered");
    std::int64_t &staleReads = this->numberSetting(
            "stale-reads", 0, "1: serializable reads return the state at the time of this setting");
    std::int64_t &dropWatches =
            this->numberSetting("drop-watches", 0, "1: cancels all watches once");
    std::int64_t &maxValueBytes =
            this->numberSetting("max-value-bytes", 1 << 20, "maximum size of a value");
    // Default of etcd's --max-txn-ops.
    std::int64_t &maxTransactionOperations =
            this->numberSetting("max-txn-ops", 128, "maximum operations per transaction");
    std::int64_t &historyLength = this->numberSetting("history", 10000, "changes kept for watches");
    std::int64_t &progressMs =
            this->numberSetting("progress-ms", 5000, "interval of progress notifications");

    Table table;
    Table snapshot;
    std::deque<Change> history;
    std::map<std::int64_t, Lease> leases;
    std::map<RequestId, Watch> watches;
    std::map<std::string, std::uint64_t> calls;
    std::vector<std::unique_ptr<EventLoop::Timer>> timers;
    Instant writeFreeAt;
    Instant readFreeAt;
    std::int64_t revision = 1;
    std::int64_t compactedRevision = 0;
    std::int64_t nextLease = 1000;
    std::size_t changeCount = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    bool wasSilent = false;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<StoreStandIn>(loop);
}

} // namespace Nutmegrill
