#include "SoakWorker.h"

#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxConnections = 400;
constexpr milliseconds MaxServiceTime{60};
constexpr milliseconds EventPeriod{15};
constexpr double RefusedShare = 0.1;
constexpr double BrokenShare = 0.05;

} // namespace

SoakWorker::SoakWorker(EventLoop &loop, RandomSource &random, std::string address,
                       std::string service, Runs &runs)
    : loop(loop), random(random), address(std::move(address)), service(std::move(service)),
      runs(runs)
{
    this->start();
}

void SoakWorker::start()
{
    ++this->starts;
    this->instanceId =
            "i-" + this->address.substr(this->address.find(':') + 1) + "-" + std::to_string(starts);
    this->listener = std::make_unique<HttpListener>(
            this->loop, this->address, MaxConnections,
            [this](HttpListener::Request &&request) { this->serve(request); });
}

void SoakWorker::tick()
{
    if (this->listener != nullptr)
        this->listener->tick(this->loop.now());
}

std::string SoakWorker::record() const
{
    return R"({"service":")" + this->service + R"(","address":")" + this->address
           + R"(","zone":"north","slots":20,"state":"ready","coldLeftMs":0,"born":)"
           + std::to_string(this->starts) + "}";
}

std::string SoakWorker::eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

void SoakWorker::serve(const HttpListener::Request &request)
{
    auto *connection = this->listener->find(request.id);
    const std::string *id = request.head.find("Attempt-Id");
    const std::string *expected = request.head.find("Expect-Instance");
    if (id == nullptr) {
        connection->reply(400, "", {{"Not-Executed", "1"}}, {});
        return;
    }
    HttpHead::Headers headers = {{"Attempt-Id", *id}};
    if (expected != nullptr && *expected != this->instanceId) {
        connection->reply(421, "", headers, {});
        return;
    }
    if (this->faulty && this->random.unit() < RefusedShare) {
        headers.emplace_back("Not-Executed", "1");
        connection->reply(503, "", headers, {});
        return;
    }
    ++this->runs[*id];
    headers.emplace_back("Response-Seal", "seal-" + *id);
    if (request.path().substr(0, 3) != "/s/") {
        this->reply(request.id, headers, *id);
        return;
    }
    headers.emplace_back("Content-Type", "text/event-stream");
    connection->startStream(200, "OK", headers);
    const std::string *last = request.head.find("Last-Event-Id");
    this->sendEvent(request.id, last == nullptr ? 1 : std::stoi(*last) + 1);
}

void SoakWorker::reply(HttpListener::RequestId request, const HttpHead::Headers &headers,
                       const std::string &id)
{
    const bool isBroken = this->faulty && this->random.unit() < BrokenShare;
    const auto time = milliseconds(this->random.below(MaxServiceTime.count()));
    this->loop.after(time, [this, request, headers, id, isBroken, start = this->starts] {
        auto *connection = this->listener == nullptr || start != this->starts
                                   ? nullptr
                                   : this->listener->find(request);
        if (connection == nullptr)
            return;
        if (isBroken)
            connection->abort();
        else
            connection->reply(200, "OK", headers, "done:" + id);
    });
}

void SoakWorker::sendEvent(HttpListener::RequestId request, int number)
{
    this->loop.after(EventPeriod, [this, request, number, start = this->starts] {
        auto *connection = this->listener == nullptr || start != this->starts
                                   ? nullptr
                                   : this->listener->find(request);
        if (connection == nullptr)
            return;
        if (number > Events) {
            connection->endStream();
            return;
        }
        const std::string text = eventText(number);
        if (this->faulty && this->random.unit() < BrokenShare) {
            connection->sendChunk(text.substr(0, text.size() / 2));
            connection->abort();
            return;
        }
        connection->sendChunk(text);
        this->sendEvent(request, number + 1);
    });
}

} // namespace Nutmegrill
