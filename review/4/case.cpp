// Rolling restart of two entries, one second apart. Clients hold to the directory. Some lookups
// take long. Does the second entry finish the requests that it takes while it stops?
#include "Harness.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace Review;

namespace {

constexpr double TimeoutMs = 5000;
constexpr double GraceMs = 8000;
constexpr double FirstStopMs = 5000;
constexpr double GapMs = 1000;
constexpr double EndMs = 16000;
constexpr int Clients = 18;
constexpr double ShortWorkMs = 60;
constexpr double LongWorkMs = 2800;
/// One request of so many takes long.
constexpr int LongEach = 12;

const std::string Host = "ficu95.example";

struct Request
{
    std::string id;
    std::string address;
    double sentAt = 0;
    double endedAt = 0;
    bool isWhole = false;
    std::string end;
};

struct Run
{
    double from = 0;
    double until = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    Store store(loopback(100) + ":" + std::to_string(freePort(loopback(100))));
    store.put("op/config",
              R"({"version":7,"routes":[{"name":"lookup","hostname":")" + Host
                      + R"(","prefix":"/rounds/","kind":"idempotent","timeoutMs":5000,)"
                        R"("targetLatencyMs":300,"priority":2,"service":"rounds-app","attempts":1,)"
                        R"("public":false}],"services":[{"name":"rounds-app",)"
                        R"("healthPath":"/health","maxConnections":49,"protocol":"h1","tls":false}],)"
                        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
                        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                        R"("tenants":[{"name":"members","apiKeys":["key-of-members"]}]})");
    std::mutex mutex;
    std::map<std::string, Run> runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 1; number <= 3; ++number) {
        Worker::Options options;
        options.id = "i-" + std::to_string(number);
        options.service = "rounds-app";
        const std::string ip = loopback(10 + number);
        options.address = ip + ":" + std::to_string(freePort(ip));
        workers.push_back(std::make_unique<Worker>(
                store, options, [&](const Message &request, Connection &connection) {
                    const std::string id = request.get("Attempt-Id");
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        runs[id] = {nowMs(), 0};
                    }
                    // The same requests take long at any worker.
                    const int number = std::atoi(id.c_str() + id.find('-') + 1);
                    sleepMs(number % LongEach == LongEach - 1 ? LongWorkMs : ShortWorkMs);
                    const std::string body(800, 'b');
                    const bool isWritten = connection.write(
                            Worker::answerHead(200, request, body.size()) + "\r\n" + body);
                    const std::lock_guard<std::mutex> lock(mutex);
                    runs[id].until = nowMs();
                    return isWritten;
                }));
    }

    const Deployment deployment{arguments.folder, arguments.entryCommand, GraceMs / 1000};
    const int internalPort = freePort(loopback(1));
    std::vector<std::unique_ptr<Entry>> entries;
    for (int number = 1; number <= 2; ++number)
        entries.push_back(makeEntry(deployment, number, "zone-1", store.address, internalPort));
    for (const auto &entry : entries) {
        if (!waitReady(*entry, 10000)) {
            say("an entry is not ready");
            entries.clear();
            finish(2);
        }
    }
    sleepMs(1500);
    const double start = nowMs();

    std::vector<Request> requests;
    std::vector<std::thread> threads;
    for (int client = 0; client < Clients; ++client) {
        threads.emplace_back([&, client] {
            std::unique_ptr<Connection> connection;
            std::string address;
            std::vector<std::string> addresses;
            double freshUntil = 0;
            sleepMs(25 * client);
            for (int number = 0; nowMs() - start < EndMs; ++number) {
                // Asks the directory once the last response is older than its ttlS of one second, or
                // three times that; without a new one, the old one stays in use.
                if (nowMs() >= freshUntil) {
                    for (std::size_t node = 0; node < entries.size(); ++node) {
                        const auto found = lookUp(
                                entries[(node + static_cast<std::size_t>(client)) % entries.size()]
                                        ->directory,
                                Host);
                        if (found.empty())
                            continue;
                        addresses = found;
                        break;
                    }
                    // Half of the clients keep a response three times as long.
                    freshUntil = nowMs() + (client % 2 == 0 ? 1000 : 3000);
                    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
                        connection.reset();
                }
                if (addresses.empty()) {
                    sleepMs(50);
                    continue;
                }
                if (!connection) {
                    address = addresses[static_cast<std::size_t>(client + number) % addresses.size()];
                    connection = Connection::connect(address);
                }
                if (!connection) {
                    sleepMs(50);
                    continue;
                }
                Request request;
                request.id = "c" + std::to_string(client) + "-" + std::to_string(number);
                request.address = address;
                record("client sends " + request.id + " to " + address);
                const Answer answer = ask(*connection,
                                          "GET /rounds/2f HTTP/1.1\r\nHost: " + Host
                                                  + "\r\nAttempt-Id: " + request.id
                                                  + "\r\nDeadline-Ms: "
                                                  + std::to_string(static_cast<int>(TimeoutMs))
                                                  + "\r\nCredential: key-of-members\r\n\r\n",
                                          nowMs() + TimeoutMs + 500);
                request.sentAt = answer.sentAt;
                request.endedAt = answer.endedAt;
                request.isWhole = answer.isWhole;
                request.end = answer.isWhole ? std::to_string(answer.status) : answer.end;
                record("client got " + request.id + ": " + request.end + " after "
                       + std::to_string(static_cast<int>(answer.endedAt - answer.sentAt)) + " ms");
                if (!answer.isWhole || answer.message.get("Connection") == "close")
                    connection.reset();
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    requests.push_back(request);
                }
                sleepMs(60);
            }
        });
    }

    // The platform: SIGTERM, SIGKILL after graceS, and a new start shortly after the end.
    std::vector<double> stoppedAt(entries.size(), -1);
    std::vector<double> endedAt(entries.size(), -1);
    std::vector<bool> isUp(entries.size(), true);
    while (nowMs() - start < EndMs) {
        for (std::size_t index = 0; index < entries.size(); ++index) {
            Program &program = *entries[index]->program;
            if (arguments.trouble && stoppedAt[index] < 0
                && nowMs() - start >= FirstStopMs + GapMs * static_cast<double>(index)) {
                program.signal(SIGTERM);
                stoppedAt[index] = nowMs();
            }
            if (isUp[index] && program.hasEnded()) {
                isUp[index] = false;
                endedAt[index] = nowMs();
            }
            if (isUp[index] && stoppedAt[index] >= 0 && endedAt[index] < 0
                && nowMs() >= stoppedAt[index] + GraceMs)
                program.signal(SIGKILL);
            if (!isUp[index] && nowMs() >= endedAt[index] + 200) {
                program.start();
                isUp[index] = true;
            }
        }
        sleepMs(5);
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::vector<std::string> addresses{entries[0]->callers, entries[1]->callers};
    entries.clear();

    int served = 0;
    int lost = 0;
    for (const Request &request : requests) {
        served += request.isWhole && request.end == "200";
        if (request.isWhole || request.end == "none")
            continue;
        const auto index = static_cast<std::size_t>(request.address == addresses[1]);
        const double since = request.sentAt - stoppedAt[index];
        const auto run = runs.find(request.id);
        const bool isPlanned = stoppedAt[index] >= 0
                               && request.endedAt <= stoppedAt[index] + GraceMs + 1000;
        // LOST: excused are an end at the deadline, and a worker that is at work in the last sixth
        // of graceS on a request that was sent no later than 3 s after the SIGTERM.
        if (!isPlanned || run == runs.end() || request.endedAt >= request.sentAt + TimeoutMs
            || since <= 3000)
            continue;
        ++lost;
        say("LOST: " + request.id + " was sent " + std::to_string(static_cast<int>(since))
            + " ms after the SIGTERM, ran at a worker, and its connection ended ("
            + request.end + ") after "
            + std::to_string(static_cast<int>(request.endedAt - request.sentAt))
            + " ms without an answer");
    }
    say("sent " + std::to_string(requests.size()) + ", served " + std::to_string(served) + ", lost "
        + std::to_string(lost));
    if (requests.size() < 200 || served < 200)
        finish(2);
    say(lost > 0 ? "LOST is broken" : "LOST holds");
    finish(lost > 0 ? 1 : 0);
}
