#include "FuzzTargets.h"

#include "Config/ConfigurationCodec.h"
#include "Config/DeclarationChecker.h"
#include "Config/Declarations.h"
#include "Http/HttpHead.h"
#include "Http/HttpParser.h"
#include "Relay/RelayCommand.h"
#include "RelayShell/EventStreamReader.h"
#include "RelayShell/GroupQueryCodec.h"
#include "RelayShell/LoadShareCodec.h"
#include "RelayShell/PeerCodec.h"
#include "platform/PlatformDecoder.h"
#include "platform/PlatformEngine.h"
#include "platform/PlatformProtocol.h"

#include <algorithm>
#include <optional>
#include <variant>

namespace Nutmegrill {

namespace {

/// Records the messages that a parser reports as text.
class Transcript : public HttpParser::Observer
{
public:
    void headParsed(HttpHead &&head) override
    {
        this->text += "<" + head.method + " " + head.target + " " + std::to_string(head.status);
        for (const auto &[name, value] : head.headers)
            this->text += "|" + name + "=" + value;
        this->text += ">";
    }
    void bodyParsed(std::string_view data) override { this->text.append(data); }

    std::string text;
};

/// Parses the bytes as consecutive messages, \a pieceSize bytes at a time, until the end or an
/// error.
std::string transcriptOf(HttpParser::Kind kind, std::string_view bytes, std::size_t pieceSize)
{
    Transcript transcript;
    HttpParser parser(kind, transcript);
    std::size_t used = 0;
    while (used < bytes.size()) {
        const std::size_t taken = parser.feed(bytes.substr(used, pieceSize));
        used += taken;
        if (parser.state() == HttpParser::State::Failed)
            return transcript.text + "!";
        if (parser.state() == HttpParser::State::Complete) {
            transcript.text += ";";
            parser.next();
        } else if (taken == 0) {
            return transcript.text + "?";
        }
    }
    return transcript.text + (parser.finish() ? "." : "-");
}

// Guards against parse results that depend on how the network splits a message, which would permit
// request smuggling.
std::string runParser(HttpParser::Kind kind, std::string_view bytes)
{
    const std::string whole = transcriptOf(kind, bytes, bytes.size());
    for (const std::size_t pieceSize : {1, 7}) {
        const std::string split = transcriptOf(kind, bytes, pieceSize);
        // The parser may report the bytes before an error or not; reported bytes must be the same.
        const std::size_t common = std::min(whole.size(), split.size());
        if (whole.back() != '!' && split != whole)
            return "pieces of " + std::to_string(pieceSize) + " bytes give " + split + " for "
                   + whole;
        if (whole.back() == '!' && split.compare(0, common - 1, whole, 0, common - 1) != 0)
            return "before the error, pieces give " + split + " for " + whole;
    }
    return {};
}

std::string runRequests(std::string_view bytes)
{
    return runParser(HttpParser::Kind::Request, bytes);
}

std::string runAnswers(std::string_view bytes)
{
    return runParser(HttpParser::Kind::Response, bytes);
}

std::string eventsOf(std::string_view bytes, std::size_t pieceSize)
{
    EventStreamReader reader;
    std::string text;
    for (std::size_t used = 0; used < bytes.size(); used += pieceSize) {
        reader.add(bytes.substr(used, pieceSize));
        while (const auto event = reader.next())
            text += "[" + (event->id ? std::to_string(*event->id) : "-") + ":" + event->bytes + "]";
    }
    return text;
}

std::string runEvents(std::string_view bytes)
{
    const std::string whole = eventsOf(bytes, std::max<std::size_t>(1, bytes.size()));
    for (const std::size_t pieceSize : {1, 5}) {
        if (eventsOf(bytes, pieceSize) != whole)
            return "pieces of " + std::to_string(pieceSize) + " bytes give other events";
    }
    return {};
}

/// Checks that a decoded value stays the same when it is encoded and decoded again.
template <typename Value>
std::string runCodec(std::string_view bytes, std::optional<Value> (*decode)(std::string_view),
                     std::string (*encode)(const Value &))
{
    const std::optional<Value> value = decode(bytes);
    if (!value)
        return {};
    const std::string encoded = encode(*value);
    const std::optional<Value> again = decode(encoded);
    return again && encode(*again) == encoded ? ""
                                              : "the value changes when it is encoded and decoded";
}

std::string runPeers(std::string_view bytes)
{
    // Counts are rounded each time they are encoded.
    static_cast<void>(decodeExpertCounts(bytes));
    for (const std::string &failure :
         {runCodec(bytes, decodeReport, encodeReport), runCodec(bytes, decodeUpdate, encodeUpdate),
          runCodec(bytes, decodeRankState, encodeRankState),
          runCodec(bytes, decodeOwnerCommand, encodeOwnerCommand),
          runCodec(bytes, decodeLoadShare, encodeLoadShare),
          runCodec(bytes, decodeGroupMembership, encodeGroupMembership),
          runCodec(bytes, decodeGroupQuery, encodeGroupQuery)}) {
        if (!failure.empty())
            return failure;
    }
    return {};
}

std::string runStoredValues(std::string_view bytes)
{
    const PlatformDecoder decoder;
    for (const std::string key : {"op/config", "servers/i-1", "op/evacuate/north"}) {
        const auto meaning = decoder.decode({key, std::string(bytes), 1});
        if (const auto *record = std::get_if<BackendRecord>(&meaning);
            record != nullptr
            && (record->slots == 0 || record->slots > 100'000 || record->address.empty()
                || record->coldLeft < std::chrono::milliseconds(0)))
            return "a backend server without slots or address is used";
        if (const auto *read = std::get_if<ConfigurationPtr>(&meaning); read != nullptr && !*read)
            return "neither a configuration nor an error";
    }
    return {};
}

std::string runConfiguration(std::string_view bytes)
{
    return runCodec(bytes, decodeConfiguration, encodeConfiguration);
}

std::string runDeclarations(std::string_view bytes)
{
    Declarations declarations;
    declarations.addText("fuzz.yaml", bytes);
    const auto result = DeclarationChecker::check(declarations);
    return result.configuration.has_value() == result.errors.empty()
                   ? ""
                   : "declarations are accepted with errors or rejected without";
}

std::string runEngine(std::string_view bytes)
{
    const PlatformEngine engine;
    const std::string body(bytes);
    static_cast<void>(engine.readReport(body));
    static_cast<void>(engine.readCounts(body));
    static_cast<void>(engine.readExperts(body));
    return {};
}

/// Checks that no header value of a caller can inject a header into the forwarded request.
std::string runProtocol(std::string_view bytes)
{
    class HeadReader : public HttpParser::Observer
    {
    public:
        void headParsed(HttpHead &&parsed) override { this->head = std::move(parsed); }
        void bodyParsed(std::string_view) override {}
        std::optional<HttpHead> head;
    };
    HeadReader reader;
    HttpParser parser(HttpParser::Kind::Request, reader);
    parser.feed(bytes);
    if (!reader.head)
        return {};
    const PlatformProtocol protocol;
    static_cast<void>(protocol.readRequest(*reader.head));
    RelayCommand::StartAttempt start;
    start.backend = "i-1";
    start.account = "account";
    const std::string encoded = protocol.writeRequest(*reader.head, "body", start);
    HeadReader again;
    HttpParser second(HttpParser::Kind::Request, again);
    second.feed(encoded);
    if (!again.head)
        return "the forwarded request cannot be parsed: " + encoded;
    if (again.head->method != reader.head->method || again.head->target != reader.head->target)
        return "the forwarded request has another method or target";
    const std::string *account = again.head->find("Tenant");
    if (account == nullptr || *account != "account" || again.head->find("Credential") != nullptr)
        return "the forwarded request has a wrong account or still contains the key";
    return {};
}

LoadShare share()
{
    LoadShare sample;
    sample.sender = "10.0.0.1:7340";
    sample.failureDomain = "north";
    sample.running = {{7, 2}, {9, 1}};
    sample.waiting = {{"service", 2}};
    return sample;
}

EntryReport report()
{
    EntryReport sample;
    sample.name = "entry-1";
    sample.peerAddress = "10.0.0.1:7340";
    sample.callerAddress = "10.0.0.1:8000";
    sample.sequence = 7;
    sample.running = {{"i-1", 3}};
    sample.waiting = {{"service", 2}};
    return sample;
}

} // namespace

const std::vector<FuzzTarget> &fuzzTargets()
{
    static const std::vector<FuzzTarget> targets = {
            {"request-heads",
             {"POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"
              "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
              "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
              "\r\n"},
             runRequests},
            {"answers",
             {"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 503 No"
              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"},
             runAnswers},
            {"event-streams",
             {"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata\n\n",
              "id: 99999999999\n\n"},
             runEvents},
            {"peer-messages",
             {encodeReport(report()), encodeUpdate({}), encodeLoadShare(share()),
              encodeGroupMembership({"10.0.0.9:80", "g"}), encodeGroupQuery("10.0.0.1:7340"),
              encodeExpertCounts({"g", 3, 7, {1, 2, 300}})},
             runPeers},
            {"stored-values",
             {R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/a/","kind":"streaming",
             "timeoutMs":8000,"service":"s"}],"services":[{"name":"s"}],"tenants":[{"name":"x",
             "apiKeys":["k"]}]})",
              R"({"service":"s","address":"10.0.0.9:80","zone":"n","slots":1,"state":"ready"})",
              R"({"service":"s","address":"10.0.0.9:70000","zone":"n","slots":4294967297,
             "state":"ready","coldLeftMs":-1,"born":1e400,"x":[[[[[[[]]]]]]]})"},
             runStoredValues},
            {"published-configuration",
             {encodeConfiguration({}), R"({"version":3,"routes":[{"name":"r","timeout":5}]})"},
             runConfiguration},
            {"declarations",
             {"kind: Place\nname: region\nfailureDomains: [east]\n---\nkind: Service\nname: s\n"
              "type: plain\nfailureDomains: [east]\n---\nkind: Route\nname: r\nhost: h\n"
              "pathPrefix: /a/\nrequests: stream\nservices: [{name: s, weight: 2}]\n"},
             runDeclarations},
            {"engine-reports",
             {R"({"stage":"prefill_decode","queued":1,"running":12,"step":8,"group":{"name":"g",
             "epoch":1,"rank":2,"state":"open"},"size":12,"map":3,"prepared":4})",
              R"({"step":812,"epoch":1,"counts":[[5120,88],[940,1]]})",
              R"({"map":{"version":1,"experts":[[0,2],[1,0]]}})"},
             runEngine},
            {"request-headers",
             {"POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\nCredential: k\r\n"
              "Tenant: forged\r\nDeadline-Ms: 800\r\nToken-Usage: 14,8\r\nLast-Event-Id: 3\r\n"
              "Connection: X-Own\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nbody"},
             runProtocol}};
    return targets;
}

} // namespace Nutmegrill
