#include "Config/ObjectReader.h"

#include "Config/FieldReader.h"

#include <algorithm>
#include <string_view>

namespace Nutmegrill {

using Code = DeclarationError::Code;
using Presence = FieldReader::Presence;

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t KeyHashLength = 64;
constexpr std::string_view Lower = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view Digits = "0123456789";
const char *const keyHashForm = "write the SHA-256 of the key as 64 lower-case hexadecimal digits, "
                                "as `printf %s KEY | sha256sum` prints it";
/// One hour; a larger value is most likely in the wrong unit.
constexpr std::uint64_t MaxRouteTime = 3'600'000;
constexpr FieldReader::Range Priorities{0, 9};

bool consistsOf(std::string_view text, std::string_view first, std::string_view second)
{
    return std::all_of(text.begin(), text.end(), [first, second](char letter) {
        return first.find(letter) != std::string_view::npos
               || second.find(letter) != std::string_view::npos;
    });
}

// Names become parts of store keys, URL paths and metric labels.
void checkName(FieldReader &reader, int line, const std::string &name)
{
    const bool valid = name.size() <= MaxNameLength && !name.empty() && name.front() != '-'
                       && consistsOf(name, Lower, "0123456789-");
    if (!valid)
        reader.report(Code::OutOfRange, line, "malformed name `" + name + "`",
                      "use up to 63 of a-z, 0-9 and `-`, not beginning with `-`");
}

std::string readName(FieldReader &reader)
{
    reader.find("kind");
    const std::string name = reader.text("name", Presence::Required);
    if (!name.empty())
        checkName(reader, reader.lineOf("name"), name);
    return name;
}

FailureDomainState readFailureDomain(const DeclaredObject &object, const DeclaredValue &item,
                                     std::vector<DeclarationError> &errors)
{
    FailureDomainState domain;
    FieldReader reader(object, item, errors);
    if (item.shape == DeclaredValue::Shape::Scalar) {
        domain.name = item.text;
    } else if (item.shape == DeclaredValue::Shape::Map) {
        domain.name = reader.text("name", Presence::Required);
        domain.out = reader.choice("state", {"in", "out"}) == "out";
        reader.finish();
    } else {
        reader.report(Code::WrongType, item.line, "list `failureDomains` holds a non-name",
                      "write a name, or `{name: ..., state: in|out}`");
        return domain;
    }
    if (!domain.name.empty() || item.shape == DeclaredValue::Shape::Scalar)
        checkName(reader, item.line, domain.name);
    return domain;
}

ServiceDeclaration::Call readCall(const DeclaredObject &object, const DeclaredValue &item,
                                  std::vector<DeclarationError> &errors)
{
    ServiceDeclaration::Call call;
    FieldReader reader(object, item, errors);
    if (item.shape != DeclaredValue::Shape::Map) {
        reader.report(Code::WrongType, item.line, "list `calls` holds something else than a call",
                      "write `{method: POST, pathPrefix: /records, idempotent: false}`");
        return call;
    }
    call.method = reader.choice("method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"},
                                Presence::Required);
    call.pathPrefix = reader.text("pathPrefix");
    call.idempotent = reader.flag("idempotent", call.idempotent);
    reader.finish();
    // Without a path, at-most-once execution would apply to every call of the method.
    if (!call.idempotent && reader.lineOf("pathPrefix") == item.line && call.pathPrefix.empty())
        reader.report(Code::MissingField, item.line, "a non-idempotent call has no path",
                      "add `pathPrefix: /...`, or `idempotent: true`");
    if (!call.pathPrefix.empty() && call.pathPrefix.front() != '/')
        reader.report(Code::OutOfRange, reader.lineOf("pathPrefix"),
                      "`pathPrefix` does not begin with `/`",
                      "write `pathPrefix: /" + call.pathPrefix + "`");
    return call;
}

std::vector<ServiceDeclaration::Call> readCalls(const DeclaredObject &object, FieldReader &reader,
                                                std::vector<DeclarationError> &errors)
{
    std::vector<ServiceDeclaration::Call> calls;
    for (const DeclaredValue &item : reader.list("calls")) {
        const ServiceDeclaration::Call call = readCall(object, item, errors);
        const bool repeated = std::any_of(calls.begin(), calls.end(), [&call](const auto &row) {
            return row.method == call.method && row.pathPrefix == call.pathPrefix;
        });
        if (repeated && !call.method.empty())
            reader.report(Code::DuplicateValue, item.line,
                          "call " + call.method + " " + call.pathPrefix + " is declared twice",
                          "keep one of the two");
        calls.push_back(call);
    }
    return calls;
}

void checkServiceKind(FieldReader &reader, const ServiceDeclaration &service)
{
    const bool isModel = service.kind == ServiceDeclaration::Kind::Model;
    if (isModel && service.model.empty())
        reader.report(Code::MissingField, reader.lineOf("type"), "a model service has no `model`",
                      "add `model:` with the name that callers use");
    if (!isModel && !service.model.empty())
        reader.report(Code::Contradiction, reader.lineOf("model"), "a plain service has a `model`",
                      "remove it, or write `type: model`");
    if (isModel && !service.calls.empty())
        reader.report(Code::Contradiction, reader.lineOf("calls"), "a model service has `calls`",
                      "remove them, or write `type: plain`");
}

void checkServiceLimits(FieldReader &reader, const ServiceDeclaration &service)
{
    if (service.coldRequests > service.warmRequests)
        reader.report(Code::Contradiction,
                      std::max(reader.lineOf("coldRequests"), reader.lineOf("warmRequests")),
                      "the cold limit " + std::to_string(service.coldRequests)
                              + " is above the warm limit " + std::to_string(service.warmRequests),
                      "lower `coldRequests` to at most " + std::to_string(service.warmRequests));
    if (service.kvBytes != 0 && service.kvBytesPerToken > service.kvBytes)
        reader.report(Code::Contradiction, reader.lineOf("kvBytesPerToken"),
                      "one token needs more than `kvBytes`", "exchange or correct the two sizes");
    if (service.kvBytes == 0 && service.kvBytesPerToken != 0)
        reader.report(Code::Contradiction, reader.lineOf("kvBytesPerToken"),
                      "`kvBytesPerToken` has no effect without `kvBytes`",
                      "add `kvBytes: ...`, or remove the field");
}

bool isKeyHash(const std::string &text)
{
    return text.size() == KeyHashLength && consistsOf(text, Digits, "abcdef");
}

Route::Target readTarget(const DeclaredObject &object, const DeclaredValue &item,
                         std::vector<DeclarationError> &errors)
{
    Route::Target target;
    FieldReader reader(object, item, errors);
    if (item.shape == DeclaredValue::Shape::Scalar) {
        target.service = item.text;
    } else if (item.shape == DeclaredValue::Shape::Map) {
        target.service = reader.text("name", Presence::Required);
        target.weight = static_cast<std::uint32_t>(
                reader.count("weight", target.weight, FieldReader::Range{1, 10'000}));
        reader.finish();
    } else {
        reader.report(Code::WrongType, item.line, "list `services` holds a non-name",
                      "write a name, or `{name: ..., weight: 1}`");
    }
    return target;
}

std::vector<Route::Target> readTargets(const DeclaredObject &object, FieldReader &reader,
                                       std::vector<DeclarationError> &errors)
{
    std::vector<Route::Target> targets;
    for (const DeclaredValue &item : reader.list("services", Presence::Required)) {
        const Route::Target target = readTarget(object, item, errors);
        const bool repeated =
                std::any_of(targets.begin(), targets.end(),
                            [&target](const auto &row) { return row.service == target.service; });
        if (repeated && !target.service.empty())
            reader.report(Code::DuplicateValue, item.line,
                          "service `" + target.service + "` is listed twice",
                          "keep one of the two, with the sum of both weights");
        targets.push_back(target);
    }
    return targets;
}

Route::Kind readRouteKind(FieldReader &reader)
{
    const std::string kind = reader.choice("requests", {"idempotent", "nonIdempotent", "stream"},
                                           Presence::Required);
    if (kind == "idempotent")
        return Route::Kind::Idempotent;
    return kind == "stream" ? Route::Kind::Stream : Route::Kind::NonIdempotent;
}

void checkRoute(FieldReader &reader, const Route &route)
{
    const std::string &prefix = route.pathPrefix;
    if (!prefix.empty() && (prefix.front() != '/' || prefix.back() != '/'))
        reader.report(Code::OutOfRange, reader.lineOf("pathPrefix"),
                      "`pathPrefix` does not begin and end with `/`",
                      "write a prefix such as `/records/`");
    if (route.isResumable && route.kind != Route::Kind::Stream)
        reader.report(Code::Contradiction, reader.lineOf("resumable"),
                      "only streams can be resumed",
                      "remove the field, or write `requests: stream`");
    if (route.pauseTarget.count() != 0 && route.kind != Route::Kind::Stream)
        reader.report(Code::Contradiction, reader.lineOf("pauseTargetMilliseconds"),
                      "only streams have pauses between events",
                      "remove the field, or write `requests: stream`");
    if (route.latencyTarget > route.timeout)
        reader.report(Code::Contradiction, reader.lineOf("latencyTargetMilliseconds"),
                      "the latency target is above the timeout",
                      "lower it to at most " + std::to_string(route.timeout.count()));
}

} // namespace

const std::vector<std::string> &ObjectReader::kinds()
{
    static const std::vector<std::string> kinds{"Place", "Service", "ModelGroup", "ClientAccount",
                                                "Route"};
    return kinds;
}

Place ObjectReader::readPlace(const DeclaredObject &object)
{
    FieldReader reader(object, object.fields, this->errors);
    Place place;
    place.name = readName(reader);
    for (const DeclaredValue &item : reader.list("failureDomains", Presence::Required))
        place.failureDomains.push_back(readFailureDomain(object, item, this->errors));
    reader.finish();
    return place;
}

ServiceDeclaration ObjectReader::readService(const DeclaredObject &object)
{
    FieldReader reader(object, object.fields, this->errors);
    ServiceDeclaration service;
    service.name = readName(reader);
    const std::string type = reader.choice("type", {"model", "plain"}, Presence::Required);
    service.model = reader.text("model");
    // If the type is invalid, the presence of `model` decides, which avoids follow-up errors.
    const bool isModel = type.empty() ? !service.model.empty() : type == "model";
    service.kind = isModel ? ServiceDeclaration::Kind::Model : ServiceDeclaration::Kind::Plain;
    service.failureDomains = reader.names("failureDomains");
    constexpr FieldReader::Range Requests{1, 100'000};
    constexpr FieldReader::Range ColdSeconds{0, 3'600};
    service.warmRequests = static_cast<std::uint32_t>(
            reader.count("warmRequests", service.warmRequests, Requests));
    service.coldRequests = static_cast<std::uint32_t>(
            reader.count("coldRequests", service.coldRequests, Requests));
    service.coldSeconds = static_cast<std::uint32_t>(
            reader.count("coldSeconds", service.coldSeconds, ColdSeconds));
    service.kvBytes = reader.bytes("kvBytes", service.kvBytes);
    service.kvBytesPerToken = reader.bytes("kvBytesPerToken", service.kvBytesPerToken);
    service.maxConnections = static_cast<std::uint32_t>(
            reader.count("maxConnections", service.maxConnections, FieldReader::Range{}));
    service.coldRequestsPerSecond = static_cast<double>(
            reader.count("coldRequestsPerSecond", 0, FieldReader::Range{0, 1'000'000}));
    service.checksSender = reader.flag("checksSender", service.checksSender);
    service.checksFencing = reader.flag("checksFencing", service.checksFencing);
    service.calls = readCalls(object, reader, this->errors);
    reader.finish();
    if (!type.empty())
        checkServiceKind(reader, service);
    checkServiceLimits(reader, service);
    return service;
}

ModelGroup ObjectReader::readModelGroup(const DeclaredObject &object)
{
    FieldReader reader(object, object.fields, this->errors);
    ModelGroup group;
    group.name = readName(reader);
    group.service = reader.text("service", Presence::Required);
    group.failureDomain = reader.text("failureDomain", Presence::Required);
    const auto count = [&reader](std::string_view name, std::uint32_t fallback, Presence presence) {
        constexpr FieldReader::Range Counts{1, 65'536};
        return static_cast<std::uint32_t>(reader.count(name, fallback, Counts, presence));
    };
    group.ranks = count("ranks", 0, Presence::Required);
    group.layers = count("layers", group.layers, Presence::Optional);
    group.expertsPerLayer = count("expertsPerLayer", 0, Presence::Required);
    group.slotsPerRank = count("slotsPerRank", 0, Presence::Required);
    group.expertBytes = reader.bytes("expertBytes", 0, Presence::Required);
    reader.finish();
    const std::uint64_t slots = std::uint64_t{group.ranks} * group.slotsPerRank;
    if (slots != 0 && slots < group.expertsPerLayer) {
        const std::uint64_t needed = (group.expertsPerLayer + group.ranks - 1) / group.ranks;
        reader.report(Code::Contradiction, reader.lineOf("slotsPerRank"),
                      "the " + std::to_string(slots) + " slots of a layer cannot hold "
                              + std::to_string(group.expertsPerLayer) + " experts",
                      "raise `slotsPerRank` to at least " + std::to_string(needed));
    }
    return group;
}

ClientAccount ObjectReader::readClientAccount(const DeclaredObject &object)
{
    FieldReader reader(object, object.fields, this->errors);
    ClientAccount account;
    account.name = readName(reader);
    account.keyHash = reader.text("keyHash", Presence::Required);
    account.weight = static_cast<std::uint32_t>(
            reader.count("weight", account.weight, FieldReader::Range{1, 10'000}));
    account.services = reader.names("services");
    account.maxQueued = static_cast<std::uint32_t>(
            reader.count("maxQueued", account.maxQueued, FieldReader::Range{1, 1'000'000}));
    account.bufferBytes = reader.bytes("bufferBytes", account.bufferBytes);
    account.furtherKeyHashes = reader.names("furtherKeyHashes", Presence::Optional);
    if (reader.find("priority") != nullptr)
        account.priority = static_cast<std::uint32_t>(reader.count("priority", 0, Priorities));
    reader.finish();
    if (!account.keyHash.empty() && !isKeyHash(account.keyHash))
        reader.report(Code::OutOfRange, reader.lineOf("keyHash"), "malformed `keyHash`",
                      keyHashForm);
    for (const std::string &hash : account.furtherKeyHashes) {
        if (!isKeyHash(hash))
            reader.report(Code::OutOfRange, reader.lineOf("furtherKeyHashes"),
                          "malformed key hash `" + hash + "`", keyHashForm);
    }
    if (account.bufferBytes == 0)
        reader.report(Code::OutOfRange, reader.lineOf("bufferBytes"), "`bufferBytes` is 0",
                      "write a size such as `8MiB`");
    return account;
}

Route ObjectReader::readRoute(const DeclaredObject &object)
{
    FieldReader reader(object, object.fields, this->errors);
    Route route;
    route.name = readName(reader);
    route.host = reader.text("host", Presence::Required);
    route.pathPrefix = reader.text("pathPrefix", Presence::Required);
    route.kind = readRouteKind(reader);
    route.targets = readTargets(object, reader, this->errors);
    const auto time = [&reader](std::string_view name, std::chrono::milliseconds fallback,
                                std::uint64_t least) {
        return std::chrono::milliseconds(reader.count(name,
                                                      static_cast<std::uint64_t>(fallback.count()),
                                                      FieldReader::Range{least, MaxRouteTime}));
    };
    route.timeout = time("timeoutMilliseconds", route.timeout, 1);
    route.latencyTarget =
            time("latencyTargetMilliseconds", std::min(route.latencyTarget, route.timeout), 1);
    route.pauseTarget = time("pauseTargetMilliseconds", route.pauseTarget, 0);
    route.maxRuns = static_cast<std::uint32_t>(
            reader.count("maxRuns", route.maxRuns, FieldReader::Range{1, 10}));
    route.priority = static_cast<std::uint32_t>(reader.count("priority", 0, Priorities));
    route.isPublic = reader.flag("public", route.isPublic);
    route.isResumable = reader.flag("resumable", route.isResumable);
    reader.finish();
    checkRoute(reader, route);
    return route;
}

} // namespace Nutmegrill
