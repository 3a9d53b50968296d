#include "StoreServer.h"

#include "Net/Base64.h"
#include "Net/EventLoop.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxConnections = 2000;

/// Value of a query parameter; empty if it is missing.
std::string queryField(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

StoreServer::StoreServer(EventLoop &loop, const std::string &address)
    : loop(loop), listener(loop, address, MaxConnections,
                           [this](HttpListener::Request &&request) { this->serve(request); })
{
    this->listener.onCallerDisconnected(
            [this](HttpListener::RequestId id) { this->watches.erase(id); });
}

void StoreServer::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    this->items[key] = {value, ++this->revision, lease};
    this->notifyWatches();
}

void StoreServer::remove(const std::string &key)
{
    this->items[key] = {std::nullopt, ++this->revision, 0};
    this->notifyWatches();
}

std::optional<std::string> StoreServer::valueOf(const std::string &key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::nullopt : found->second.value;
}

std::shared_ptr<const StoreServer::Copy> StoreServer::copy() const
{
    return std::make_shared<Copy>(
            Copy{this->items, this->revision, this->validLease, this->nextLease});
}

void StoreServer::restore(const Copy &copy)
{
    this->items = copy.items;
    this->revision = copy.revision;
    this->oldestRevision = copy.revision;
    this->validLease = copy.validLease;
    this->nextLease = copy.nextLease;
    ++this->era;
    this->cutWatches();
}

void StoreServer::cutWatches()
{
    for (const auto &[id, after] : std::exchange(this->watches, {})) {
        if (auto *connection = this->listener.find(id))
            connection->abort();
    }
}

void StoreServer::notifyWatches()
{
    if (this->holdsBackEvents)
        return;
    for (const auto &[id, after] : std::exchange(this->watches, {}))
        this->answerWatch(id, after);
}

void StoreServer::reply(HttpListener::RequestId id, int status, const std::string &body)
{
    if (this->isSilent)
        return;
    if (auto *connection = this->listener.find(id))
        connection->reply(
                status, "",
                {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
                this->isMalformed ? body.substr(0, body.size() / 2) : body);
}

void StoreServer::serve(const HttpListener::Request &request)
{
    const std::string &target = request.head.target;
    this->targets.push_back(request.head.method + " " + target);
    if (this->isSilent)
        return;
    if (this->failureStatus != 0) {
        this->reply(request.id, this->failureStatus, "{}");
    } else if (startsWith(target, "/kv-range?")) {
        this->answerRange(request);
    } else if (startsWith(target, "/kv-watch?")) {
        this->answerWatch(request.id, std::stoull(queryField(target, "after")));
        if (this->watches.count(request.id) != 0)
            this->limitWatch(request.id,
                             std::chrono::milliseconds(std::stoull(queryField(target, "waitMs"))));
    } else if (target == "/kv-txn") {
        this->answerTransaction(request);
    } else if (target == "/kv-lease") {
        this->validLease = this->nextLease++;
        this->reply(request.id, 200, Json{{"lease", this->validLease}, {"ttlMs", 9000}}.dump());
    } else if (startsWith(target, "/kv-keep/")) {
        const bool isValid = target == "/kv-keep/" + std::to_string(this->validLease);
        this->reply(request.id, isValid ? 200 : 404, "{}");
    } else if (startsWith(target, "/kv-lease-end/")) {
        this->validLease = 0;
        this->reply(request.id, 200, "{}");
    } else {
        this->reply(request.id, 400, "{}");
    }
}

void StoreServer::answerRange(const HttpListener::Request &request)
{
    const std::string prefix = queryField(request.head.target, "prefix");
    const std::string after = queryField(request.head.target, "after");
    Json array = Json::array();
    bool hasMore = false;
    for (const auto &[key, item] : this->items) {
        if (!item.value || !startsWith(key, prefix) || key <= after)
            continue;
        if (array.size() == this->pageSize) {
            hasMore = true;
            break;
        }
        array.push_back({{"key", key},
                         {"value", encodeBase64(*item.value)},
                         {"revision", item.revision},
                         {"created", item.revision},
                         {"lease", item.lease}});
    }
    this->reply(
            request.id, 200,
            Json{{"items", array}, {"hasMore", hasMore}, {"storeRevision", this->revision}}.dump());
}

void StoreServer::answerWatch(HttpListener::RequestId id, std::uint64_t after)
{
    if (after < this->oldestRevision || after > this->revision) {
        this->reply(id, 410, "{}");
        return;
    }
    std::map<std::uint64_t, Json> events;
    for (const auto &[key, item] : this->items) {
        if (item.revision <= after)
            continue;
        if (item.value)
            events[item.revision] = {{"key", key},
                                     {"value", encodeBase64(*item.value)},
                                     {"revision", item.revision}};
        else
            events[item.revision] = {{"key", key}, {"revision", item.revision}, {"deleted", true}};
    }
    if (events.empty()) {
        this->watches[id] = after;
        return;
    }
    Json array = Json::array();
    for (const auto &[revision, event] : events)
        array.push_back(event);
    this->reply(id, 200, Json{{"events", array}, {"storeRevision", this->revision}}.dump());
}

void StoreServer::limitWatch(HttpListener::RequestId id, std::chrono::milliseconds timeout)
{
    const std::uint64_t timer = this->watchTimers[id] = this->nextTimer++;
    this->loop.after(timeout, [this, id, timer, guard = std::weak_ptr<bool>(this->alive)] {
        if (guard.expired() || this->watchTimers[id] != timer)
            return;
        this->watchTimers.erase(id);
        if (this->watches.erase(id) == 0)
            return;
        this->reply(id, 200,
                    Json{{"events", Json::array()}, {"storeRevision", this->revision}}.dump());
    });
}

void StoreServer::answerTransaction(const HttpListener::Request &request)
{
    const Json body = Json::parse(request.body);
    for (const Json &condition : body.at("expected")) {
        const auto found = this->items.find(condition.at("key").get<std::string>());
        const std::uint64_t revision =
                found == this->items.end() || !found->second.value ? 0 : found->second.revision;
        if (revision != condition.at("revision").get<std::uint64_t>()) {
            this->reply(request.id, 412, Json{{"items", Json::array()}}.dump());
            return;
        }
    }
    for (const Json &write : body.at("writes")) {
        const auto lease = write.at("lease").get<std::uint64_t>();
        if (lease != 0 && lease != this->validLease) {
            this->reply(request.id, 404, "{}");
            return;
        }
        this->put(write.at("key").get<std::string>(),
                  decodeBase64(write.at("value").get<std::string>()).value(), lease);
    }
    this->reply(request.id, 200, Json{{"revision", this->revision}}.dump());
}

} // namespace Nutmegrill
