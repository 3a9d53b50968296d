// A worker fails part of its requests: it answers 500 and its answer breaks off, while the
// connection stays open. The entry tries again elsewhere, which does not succeed. What does the
// client get?
#include "Harness.h"

#include <cstdlib>

using namespace Review;

namespace {

constexpr double TimeoutMs = 800;
constexpr double DeadlineMs = 1500;
constexpr double TroubleFromMs = 4000;
constexpr double TroubleForMs = 6000;
constexpr double EndMs = 13000;
constexpr int Clients = 8;
/// Of ten requests of the worker, those that fail during the trouble.
constexpr int FailedOfTen = 4;

const std::string Host = "ficu95.example";

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    Store store(loopback(100) + ":" + std::to_string(freePort(loopback(100))));
    store.put("op/config",
              R"({"version":7,"routes":[{"name":"lookup","hostname":")" + Host
                      + R"(","prefix":"/rounds/","kind":"idempotent","timeoutMs":800,)"
                        R"("targetLatencyMs":300,"priority":2,"service":"rounds-app","attempts":2,)"
                        R"("public":false}],"services":[{"name":"rounds-app",)"
                        R"("healthPath":"/health","maxConnections":49,"protocol":"h1","tls":false}],)"
                        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
                        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                        R"("tenants":[{"name":"members","apiKeys":["key-of-members"]}]})");
    double start = 0;
    std::atomic<int> runs{0};
    std::atomic<int> failed{0};
    Worker::Options options;
    options.id = "i-7f3a91c2";
    options.service = "rounds-app";
    options.address = loopback(11) + ":" + std::to_string(freePort(loopback(11)));
    Worker worker(store, options, [&](const Message &request, Connection &connection) {
        sleepMs(40);
        const std::string body(800, 'b');
        const double at = nowMs() - start;
        const bool inTrouble = arguments.trouble && start > 0 && at >= TroubleFromMs
                               && at < TroubleFromMs + TroubleForMs;
        if (inTrouble && runs++ % 10 < FailedOfTen) {
            ++failed;
            record("the worker answers " + request.get("Attempt-Id")
                   + " with 500 and breaks off after 200 bytes of 800");
            return connection.write(Worker::answerHead(500, request, body.size()) + "\r\n"
                                    + body.substr(0, 200));
        }
        return connection.write(Worker::answerHead(200, request, body.size()) + "\r\n" + body);
    });

    const Deployment deployment{arguments.folder, arguments.entryCommand};
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
    start = nowMs();

    std::mutex mutex;
    int sent = 0;
    int served = 0;
    int late = 0;
    int unanswered = 0;
    std::map<std::string, int> outcomes;
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            const std::vector<std::string> addresses = lookUp(entries.front()->directory, Host);
            if (addresses.empty())
                return;
            std::unique_ptr<Connection> connection;
            sleepMs(25 * client);
            for (int number = 0; nowMs() - start < EndMs; ++number) {
                if (!connection)
                    connection = Connection::connect(
                            addresses[static_cast<std::size_t>(client) % addresses.size()]);
                if (!connection)
                    return;
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                record("client sends " + id);
                // The first client waits longer, to see whether an answer comes at all.
                const double patience = client == 0 ? 8000 : DeadlineMs;
                const Answer answer = ask(*connection,
                                          "GET /rounds/2f HTTP/1.1\r\nHost: " + Host
                                                  + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                                                  + std::to_string(static_cast<int>(DeadlineMs))
                                                  + "\r\nCredential: key-of-members\r\n\r\n",
                                          nowMs() + patience);
                const double took = answer.endedAt - answer.sentAt;
                record("client got " + id + ": "
                       + (answer.isWhole ? std::to_string(answer.status) : "no answer, " + answer.end)
                       + " after " + std::to_string(static_cast<int>(took)) + " ms");
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++sent;
                    served += answer.isWhole && answer.status == 200;
                    late += took > TimeoutMs;
                    unanswered += took > TimeoutMs + 500;
                    ++outcomes[answer.isWhole ? std::to_string(answer.status) : answer.end];
                }
                if (!answer.isWhole || answer.message.get("Connection") == "close")
                    connection.reset();
                sleepMs(120);
            }
        });
    }
    for (std::thread &client : clients)
        client.join();
    bool alive = true;
    for (const auto &entry : entries)
        alive = !entry->program->hasEnded() && alive;
    entries.clear();

    std::string text;
    for (const auto &[outcome, count] : outcomes)
        text += " " + outcome + ":" + std::to_string(count);
    say("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", broken off by the worker "
        + std::to_string(failed.load()) + ", outcomes" + text);
    say("without an answer at the route's timeoutMs: " + std::to_string(late)
        + "; of these without an answer 500 ms later: " + std::to_string(unanswered));
    if (!alive || sent < 100 || served < 100)
        finish(2);
    // CONFIG: more than half of those that are unanswered at timeoutMs, and eight at least.
    const bool broken = unanswered >= 8 && 2 * unanswered > late;
    say(broken ? "CONFIG is broken" : "CONFIG holds");
    finish(broken ? 1 : 0);
}
