#include "Net/StoreClient.h"

#include "Net/Base64.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

// A watch receives nothing while its key does not change.
constexpr std::chrono::hours WatchIdleTimeout(24);
/// The store limits a value to 1.5 MB, which base64 and JSON make longer.
constexpr std::size_t MaxLineBytes = 4U << 20U;

Json encodeTransaction(const StoreTransaction &transaction);

Json encodeOperation(const StoreTransaction::Operation &operation)
{
    using Kind = StoreTransaction::Operation::Kind;
    switch (operation.kind) {
    case Kind::Put:
        return {{"request_put",
                 {{"key", encodeBase64(operation.key)},
                  {"value", encodeBase64(operation.value)},
                  {"lease", std::to_string(operation.lease)}}}};
    case Kind::Delete:
        return {{"request_delete_range", {{"key", encodeBase64(operation.key)}}}};
    case Kind::Nested:
        return {{"request_txn", encodeTransaction(operation.nested.front())}};
    case Kind::Get:
        break;
    }
    return {{"request_range", {{"key", encodeBase64(operation.key)}}}};
}

Json encodeCompare(const StoreTransaction::Compare &compare)
{
    Json document = {{"key", encodeBase64(compare.key)}, {"result", "EQUAL"}};
    if (compare.modRevision.has_value()) {
        document["target"] = "MOD";
        document["mod_revision"] = std::to_string(*compare.modRevision);
    } else if (compare.value.has_value()) {
        document["target"] = "VALUE";
        document["value"] = encodeBase64(*compare.value);
    } else {
        document["target"] = "CREATE";
        document["create_revision"] = "0";
    }
    return document;
}

Json encodeTransaction(const StoreTransaction &transaction)
{
    Json document = {
            {"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const auto &compare : transaction.compares)
        document["compare"].push_back(encodeCompare(compare));
    for (const auto &operation : transaction.onSuccess)
        document["success"].push_back(encodeOperation(operation));
    for (const auto &operation : transaction.onFailure)
        document["failure"].push_back(encodeOperation(operation));
    return document;
}

// The JSON gateway encodes 64-bit numbers as strings and omits zero values.
std::int64_t readNumber(const Json &document, const char *name)
{
    const auto found = document.find(name);
    if (found == document.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

StoreResult::KeyValue readKeyValue(const Json &document)
{
    StoreResult::KeyValue keyValue;
    keyValue.key = decodeBase64(document.value("key", "")).value_or("");
    keyValue.value = decodeBase64(document.value("value", "")).value_or("");
    keyValue.modRevision = readNumber(document, "mod_revision");
    keyValue.createRevision = readNumber(document, "create_revision");
    return keyValue;
}

StoreResult readResult(const Json &document)
{
    StoreResult result;
    if (document.contains("header"))
        result.revision = readNumber(document["header"], "revision");
    result.succeeded = document.value("succeeded", false);
    result.lease = readNumber(document, "TTL") > 0 ? readNumber(document, "ID") : 0;
    for (const Json &kv : document.value("kvs", Json::array()))
        result.keyValues.push_back(readKeyValue(kv));
    for (const Json &response : document.value("responses", Json::array())) {
        for (const auto &[name, body] : response.items())
            result.operationResults.push_back(readResult(body));
    }
    return result;
}

StoreResult parseResult(StoreError error, const std::string &body)
{
    StoreResult result;
    result.error = error;
    if (error != StoreError::None)
        return result;
    try {
        return readResult(Json::parse(body));
    } catch (const std::exception &) {
        // Malformed JSON, or a number that is malformed or out of range.
        result.error = StoreError::Malformed;
        return result;
    }
}

} // namespace

std::string_view describe(StoreError error)
{
    switch (error) {
    case StoreError::None:
        return "no error";
    case StoreError::Unreachable:
        return "the store cannot be reached";
    case StoreError::AnswerLost:
        return "the store did not answer";
    case StoreError::Rejected:
        return "the store rejected the call";
    case StoreError::Malformed:
        return "the store's answer could not be read";
    }
    return "unknown store error";
}

/// An active watch, which splits the response stream into lines and reports the events.
struct StoreClient::Watch
{
    ResultHandler onChange;
    std::function<void()> onBroken;
    std::string buffer;

    /// Returns false if a line is too long.
    bool receive(std::string_view data)
    {
        this->buffer.append(data);
        for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
             end = this->buffer.find('\n')) {
            const std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            this->readLine(line);
        }
        return this->buffer.size() <= MaxLineBytes;
    }

    void readLine(const std::string &line)
    {
        const Json document = Json::parse(line, nullptr, false);
        if (!document.is_object() || !document.contains("result"))
            return;
        for (const Json &event : document["result"].value("events", Json::array())) {
            StoreResult result;
            try {
                if (event.value("type", "PUT") != "DELETE")
                    result.keyValues.push_back(readKeyValue(event.value("kv", Json::object())));
                result.revision = readNumber(event.value("kv", Json::object()), "mod_revision");
            } catch (const std::exception &) {
                result.error = StoreError::Malformed;
            }
            this->onChange(result);
        }
    }
};

StoreClient::StoreClient(EventLoop &loop, std::string address, std::chrono::milliseconds timeout)
    : loop(loop), address(std::move(address)), callTimeout(timeout),
      http(std::make_unique<HttpClient>(loop))
{}

StoreClient::~StoreClient() = default;

void StoreClient::post(const std::string &path, const std::string &body,
                       std::function<void(StoreError error, const std::string &body)> done)
{
    struct Pending
    {
        std::function<void(StoreError error, const std::string &body)> done;
        int status = 0;
        std::string body;
        bool ended = false;

        void finish(StoreError error)
        {
            if (std::exchange(this->ended, true))
                return;
            this->done(error, this->body);
        }
    };
    ++this->calls;
    auto pending = std::make_shared<Pending>();
    pending->done = std::move(done);

    HttpClient::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers = {{"Content-Type", "application/json"}};
    HttpClient::Handlers handlers;
    handlers.onHead = [pending](int status, const HttpClient::Headers &) {
        pending->status = status;
    };
    handlers.onData = [pending](std::string_view data) { pending->body.append(data); };
    handlers.onEnd = [pending] {
        pending->finish(pending->status == 200 ? StoreError::None : StoreError::Rejected);
    };
    handlers.onFailure = [pending](HttpClient::Failure failure) {
        pending->finish(failure == HttpClient::Failure::NotConnected ? StoreError::Unreachable
                                                                     : StoreError::AnswerLost);
    };
    const auto call = this->http->call(this->address, request, std::move(handlers));
    this->loop.after(this->callTimeout, [this, call, pending] {
        if (pending->ended)
            return;
        this->http->cancel(call);
        pending->finish(StoreError::AnswerLost);
    });
}

void StoreClient::read(const std::string &key, ResultHandler done)
{
    const Json body = {{"key", encodeBase64(key)}};
    this->post("/v3/kv/range", body.dump(), [done](StoreError error, const std::string &text) {
        done(parseResult(error, text));
    });
}

void StoreClient::transact(const StoreTransaction &transaction, ResultHandler done)
{
    this->post(
            "/v3/kv/txn", encodeTransaction(transaction).dump(),
            [done](StoreError error, const std::string &text) { done(parseResult(error, text)); });
}

void StoreClient::grantLease(std::chrono::seconds lifetime, ResultHandler done)
{
    const Json body = {{"TTL", std::to_string(lifetime.count())}};
    this->post("/v3/lease/grant", body.dump(), [done](StoreError error, const std::string &text) {
        done(parseResult(error, text));
    });
}

void StoreClient::keepLeaseAlive(std::int64_t lease, ResultHandler done)
{
    const Json body = {{"ID", std::to_string(lease)}};
    this->post("/v3/lease/keepalive", body.dump(),
               [done](StoreError error, const std::string &text) {
                   StoreResult result;
                   const Json document = Json::parse(text, nullptr, false);
                   // The gateway wraps streamed responses, such as that of a keepalive, in
                   // "result".
                   if (error == StoreError::None && document.is_object()
                       && document.contains("result"))
                       result = parseResult(error, document["result"].dump());
                   else
                       result = parseResult(error, text);
                   done(result);
               });
}

void StoreClient::revokeLease(std::int64_t lease, ResultHandler done)
{
    const Json body = {{"ID", std::to_string(lease)}};
    this->post("/v3/lease/revoke", body.dump(), [done](StoreError error, const std::string &text) {
        done(parseResult(error, text));
    });
}

void StoreClient::watch(const std::string &key, std::int64_t afterRevision, ResultHandler onChange,
                        std::function<void()> onBroken)
{
    ++this->calls;
    auto watch = std::make_shared<Watch>();
    watch->onChange = std::move(onChange);
    watch->onBroken = std::move(onBroken);
    const Json body = {
            {"create_request",
             {{"key", encodeBase64(key)}, {"start_revision", std::to_string(afterRevision + 1)}}}};
    HttpClient::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = body.dump();
    request.headers = {{"Content-Type", "application/json"}};
    request.idleTimeout = WatchIdleTimeout;
    HttpClient::Handlers handlers;
    const auto call = std::make_shared<HttpClient::CallId>(0);
    handlers.onData = [this, watch, call](std::string_view data) {
        if (watch->receive(data))
            return;
        // Cancelling the call destroys this handler with the watch.
        const std::function<void()> ended = std::exchange(watch->onBroken, nullptr);
        this->http->cancel(*call);
        ended();
    };
    handlers.onEnd = [watch] { watch->onBroken(); };
    handlers.onFailure = [watch](HttpClient::Failure) { watch->onBroken(); };
    *call = this->http->call(this->address, request, std::move(handlers));
}

} // namespace Nutmegrill
