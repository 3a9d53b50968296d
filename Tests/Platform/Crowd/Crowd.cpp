#include "Crowd.h"

#include "CrowdCaller.h"
#include "Http/ClientConnection.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Callers = 100;
/// The limit of the configuration.
constexpr std::size_t MaxBodyBytes = 1U << 20U;
constexpr std::size_t LargeChunk = 64U << 10U;
constexpr std::size_t SmallChunk = 16;
/// What a caller beyond the limit would send at most.
constexpr std::size_t FarBeyond = 8U << 20U;
constexpr std::size_t LongAnswerBytes = 512U << 10U;
constexpr std::size_t PipelinedBytes = 4U << 20U;
/// Without progress of any caller for this long, the crowd has sent what the entry takes.
constexpr milliseconds QuietTime{1500};
/// A process that hangs is found at the latest then.
constexpr milliseconds MaxPlayTime{40000};
constexpr milliseconds MaxAnswerTime{40000};

constexpr const char *Configuration =
        R"({"version":1,"routes":[
{"name":"r","hostname":"h.example","prefix":"/r/","kind":"idempotent","timeoutMs":8000,
"targetLatencyMs":1000,"service":"p","attempts":1}],
"services":[{"name":"p","maxConnections":600}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"x","apiKeys":["k"]}]})";

std::string headOf(const std::string &path, const std::string &framing)
{
    return "POST /r/" + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n"
           + "Deadline-Ms: 8000\r\nCredential: k\r\n" + framing + "\r\n";
}

/// Sends the head and then \a total bytes in pieces.
CrowdCaller::Source body(std::string head, std::size_t total, std::string piece)
{
    return [head = std::move(head), left = total, piece = std::move(piece),
            isFirst = true]() mutable -> std::string {
        if (isFirst) {
            isFirst = false;
            return head;
        }
        const std::size_t size = std::min(left, piece.size());
        left -= size;
        return piece.substr(0, size);
    };
}

std::string chunk(std::size_t size)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string number;
    for (std::size_t rest = size; rest > 0; rest /= 16)
        number.insert(number.begin(), Digits[rest % 16]);
    return number + "\r\n" + std::string(size, 'c') + "\r\n";
}

CrowdCaller::Source chunked(std::size_t total, std::size_t chunkBytes)
{
    const std::string piece = chunk(chunkBytes);
    return body(headOf("c", "Transfer-Encoding: chunked\r\n"), total / chunkBytes * piece.size(),
                piece);
}

CrowdCaller::Source withLength(std::size_t announced, std::size_t sent)
{
    return body(headOf("l", "Content-Length: " + std::to_string(announced) + "\r\n"), sent,
                std::string(LargeChunk, 'l'));
}

/// Requests without the usual headers, sent ahead behind one that the backend server holds.
CrowdCaller::Source pipelined()
{
    const std::string request = "GET /other HTTP/1.1\r\nHost: h.example\r\nX-Padding: "
                                + std::string(1000, 'p') + "\r\n\r\n";
    return body(headOf("hold", "Content-Length: 0\r\n"), PipelinedBytes, request);
}

/// Requests for long answers that nobody reads.
CrowdCaller::Source unreadAnswers()
{
    std::string requests;
    for (int number = 0; number < 12; ++number)
        requests += headOf("long", "Content-Length: 0\r\n");
    return body("", requests.size(), requests);
}

CrowdCaller::Source unfinishedHead()
{
    return body("GET /r/h HTTP/1.1\r\nHost: h.example\r\n", 15U << 10U,
                "X-Padding: " + std::string(100, 'h') + "\r\n");
}

const std::map<std::string, CrowdCaller::Source (*)()> &patterns()
{
    static const std::map<std::string, CrowdCaller::Source (*)()> table = {
            {"large-chunks-without-end", [] { return chunked(MaxBodyBytes - 1, LargeChunk); }},
            {"small-chunks-without-end", [] { return chunked(MaxBodyBytes / 2, SmallChunk); }},
            {"length-without-end", [] { return withLength(MaxBodyBytes, MaxBodyBytes - 1); }},
            {"announced-beyond-the-limit", [] { return withLength(FarBeyond, FarBeyond); }},
            {"sent-beyond-the-limit", [] { return chunked(FarBeyond, LargeChunk); }},
            {"requests-ahead", &pipelined},
            {"unread-answers", &unreadAnswers},
            {"heads-without-end", &unfinishedHead},
    };
    return table;
}

} // namespace

Crowd::Crowd(const Options &options)
    : options(options), store(this->loop, options.storeAddress),
      worker(this->loop, options.workerAddress, 2000,
             [this](HttpListener::Request &&request) { this->serveWorker(request); })
{
    this->store.put("op/config", Configuration);
    this->store.put("servers/i-1", R"({"service":"p","address":")" + options.workerAddress
                                           + R"(","zone":"n","slots":400,"state":"ready"})");
    this->tickTimer = this->loop.every(milliseconds(20), [this] {
        this->store.tick(this->loop.now());
        this->worker.tick(this->loop.now());
        this->observe();
    });
}

Crowd::~Crowd() = default;

void Crowd::serveWorker(const HttpListener::Request &request)
{
    if (request.path() == "/r/hold")
        return;
    const bool isLong = request.path() == "/r/long";
    if (auto *connection = this->worker.find(request.id))
        connection->reply(
                200, {}, {{"Attempt-Id", *request.head.find("Attempt-Id")}, {"Response-Seal", "s"}},
                std::string(isLong ? LongAnswerBytes : 2, 'a'));
}

bool Crowd::isAlive() const
{
    return ::kill(this->options.process, 0) == 0;
}

void Crowd::observe()
{
    const std::string folder = "/proc/" + std::to_string(this->options.process);
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            this->peakMegabytes = std::max(this->peakMegabytes, kilobytes >> 10U);
    }
    std::error_code error;
    const auto files = std::filesystem::directory_iterator(folder + "/fd", error);
    if (!error)
        this->peakDescriptors =
                std::max(this->peakDescriptors,
                         static_cast<std::size_t>(std::distance(begin(files), end(files))));
}

bool Crowd::waitReady()
{
    for (const Instant until = this->loop.now() + MaxAnswerTime;
         this->loop.now() < until && this->isAlive();) {
        int status = 0;
        const auto client = std::make_shared<ClientConnection>(
                this->loop, this->options.readinessAddress, milliseconds(500));
        bool isOver = false;
        ClientConnection::Handlers handlers;
        handlers.onHead = [&status](const HttpHead &head) {
            status = head.status;
            return true;
        };
        handlers.onData = [](std::string_view) {};
        handlers.onEnd = [&isOver] { isOver = true; };
        handlers.onFailure = [&isOver](ClientConnection::Failure) { isOver = true; };
        client->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", std::move(handlers));
        this->loop.runUntil([&isOver] { return isOver; }, milliseconds(500));
        if (status == 200)
            return true;
        this->loop.runUntil([] { return false; }, milliseconds(50));
    }
    return false;
}

void Crowd::play()
{
    const auto source = patterns().at(this->options.pattern);
    for (std::size_t number = 0; number < Callers; ++number)
        this->callers.push_back(
                std::make_unique<CrowdCaller>(this->options.entryAddress, source()));
    Instant quietSince = this->loop.now();
    const Instant until = quietSince + MaxPlayTime;
    while (this->loop.now() < until && this->loop.now() < quietSince + QuietTime) {
        for (const auto &caller : this->callers) {
            if (caller->sendSome())
                quietSince = this->loop.now();
        }
        this->loop.runUntil([] { return false; }, milliseconds(10));
    }
}

bool Crowd::isAnswered(std::size_t bodyBytes)
{
    for (const Instant until = this->loop.now() + MaxAnswerTime;
         this->loop.now() < until && this->isAlive();) {
        int status = 0;
        bool isOver = false;
        const auto client = std::make_shared<ClientConnection>(
                this->loop, this->options.entryAddress, milliseconds(2000));
        ClientConnection::Handlers handlers;
        handlers.onHead = [&status](const HttpHead &head) {
            status = head.status;
            return true;
        };
        handlers.onData = [](std::string_view) {};
        handlers.onEnd = [&isOver] { isOver = true; };
        handlers.onFailure = [&isOver, &status](ClientConnection::Failure) {
            isOver = true;
            status = 0;
        };
        client->send(headOf("ordinary", "Content-Length: " + std::to_string(bodyBytes) + "\r\n")
                             + std::string(bodyBytes, 'o'),
                     std::move(handlers));
        this->loop.runUntil([&isOver] { return isOver; }, milliseconds(10000));
        if (status == 200)
            return true;
        this->loop.runUntil([] { return false; }, milliseconds(200));
    }
    return false;
}

std::string Crowd::run()
{
    if (!this->worker.isListening() || patterns().count(this->options.pattern) == 0)
        return "cannot be played";
    if (!this->waitReady())
        return "the entry is not ready";
    this->play();
    const bool isServed = this->isAnswered(100);
    this->observe();
    if (!this->isAlive())
        return "the process has ended";
    if (this->peakMegabytes > this->options.maxMegabytes)
        return "resident memory " + std::to_string(this->peakMegabytes) + " MB";
    if (this->peakDescriptors > this->options.maxDescriptors)
        return "descriptors " + std::to_string(this->peakDescriptors);
    if (!isServed)
        return "an ordinary request is not answered";
    this->callers.clear();
    return this->isAnswered(MaxBodyBytes) ? "" : "a request of the largest size is not answered";
}

} // namespace Nutmegrill
