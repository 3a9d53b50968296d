// The store is silent for 4.5 s, at a moment when the watches of the entries expire. Then, with the
// store back, the operator takes a key away. When is that in force?
#include "Harness.h"

using namespace Review;

namespace {

constexpr double SilentFromMs = 19000;
constexpr double SilentForMs = 4500;
constexpr double RevokeMs = 25500;
constexpr double StableWindowMs = 3000;
constexpr double ApplyMs = 2000;
constexpr double CheckForMs = 6000;

const std::string Host = "ficu95.example";

std::string configuration(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"lookup","hostname":")"
           + Host
           + R"(","prefix":"/rounds/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":300,)"
             R"("priority":2,"service":"rounds-app","attempts":2,"public":false}],)"
             R"("services":[{"name":"rounds-app","healthPath":"/health","maxConnections":49,)"
             R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
             R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"members","apiKeys":[)"
           + keys + "]}]}";
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    Store store(loopback(100) + ":" + std::to_string(freePort(loopback(100))));
    store.put("op/config", configuration(7, R"("key-one","key-two")"));
    std::mutex mutex;
    std::map<std::string, double> runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 1; number <= 3; ++number) {
        Worker::Options options;
        options.id = "i-" + std::to_string(number);
        options.service = "rounds-app";
        const std::string ip = loopback(10 + number);
        options.address = ip + ":" + std::to_string(freePort(ip));
        workers.push_back(std::make_unique<Worker>(
                store, options, [&](const Message &request, Connection &connection) {
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        runs[request.get("Attempt-Id")] = nowMs();
                    }
                    sleepMs(20);
                    const std::string body(800, 'b');
                    return connection.write(Worker::answerHead(200, request, body.size()) + "\r\n"
                                            + body);
                }));
    }
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
    const double start = nowMs();
    int number = 0;
    const auto send = [&](const std::string &key) {
        const std::string id = "c-" + std::to_string(++number);
        const auto connection = Connection::connect(
                entries[static_cast<std::size_t>(number) % entries.size()]->callers);
        if (!connection)
            return std::make_pair(id, 0);
        const Answer answer =
                ask(*connection,
                    "GET /rounds/2f HTTP/1.1\r\nHost: " + Host + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: 1500\r\nCredential: " + key + "\r\n\r\n",
                    nowMs() + 1500);
        record("client sent " + id + " with " + key + " and got " + std::to_string(answer.status));
        return std::make_pair(id, answer.status);
    };
    int served = 0;
    for (int round = 0; round < 10; ++round) {
        served += send("key-one").second == 200;
        sleepMs(100);
    }
    sleepUntilMs(start + SilentFromMs);
    if (arguments.trouble) {
        record("the store falls silent");
        store.setSilent(true);
    }
    sleepUntilMs(start + SilentFromMs + SilentForMs);
    store.setSilent(false);
    record("the store answers again");
    sleepUntilMs(start + RevokeMs);
    store.put("op/config", configuration(8, R"("key-two","key-three")"));
    record("version 8 is acknowledged: key-one is taken away, key-three is new");
    // In touch again, and configApplyMs after the acknowledgement.
    const double from = std::max(start + SilentFromMs + SilentForMs + StableWindowMs,
                                 start + RevokeMs + ApplyMs);
    sleepUntilMs(from + 200);
    int stale = 0;
    int denied = 0;
    int rounds = 0;
    while (nowMs() < from + CheckForMs) {
        ++rounds;
        const auto [id, status] = send("key-one");
        {
            const std::lock_guard<std::mutex> lock(mutex);
            stale += runs.count(id) != 0;
        }
        denied += send("key-three").second == 401;
        served += send("key-two").second == 200;
        sleepMs(100);
    }
    entries.clear();
    say("served with a good key " + std::to_string(served) + "; of " + std::to_string(rounds)
        + " each, sent 2.2 s and more after the acknowledgement: run with the key that was taken away "
        + std::to_string(stale) + ", refused with the new key " + std::to_string(denied));
    if (served < 20)
        finish(2);
    say(stale + denied > 0 ? "CONFIG is broken" : "CONFIG holds");
    finish(stale + denied > 0 ? 1 : 0);
}
