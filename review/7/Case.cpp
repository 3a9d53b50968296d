// A watch that waits at the store is cut. A worker that reports no draining then leaves: its entry
// is removed. No request may reach it later than drainMs after that.
#include "StandIns2.h"

using namespace Review;

namespace {

constexpr const char *Service = "book";
/// Bounds of the small sites.
constexpr std::int64_t DrainMs = 2000;
constexpr int Rounds = 6;
constexpr int Clients = 16;
/// How long a leaving worker serves after drainMs ("a little longer") before it exits.
constexpr std::int64_t Longer = 130;
/// Usual work of the class book-pickup, in milliseconds.
constexpr std::int64_t WorkMs = 60;

class Worker
{
public:
    Worker(std::string name, Record &record)
        : name(std::move(name)), record(record), server([this](int fd) { this->serve(fd); })
    {}
    int port() const { return this->server.port; }

    /// The process exits.
    void end() { this->server.end(); }

    const std::string name;
    std::atomic<std::int64_t> removedAt{-1};
    std::atomic<int> runs{0};
    std::atomic<int> late{0};
    std::atomic<std::int64_t> latest{0};

private:
    void serve(int fd)
    {
        Reader reader(fd);
        while (const auto request = reader.next(600000)) {
            const std::int64_t since = this->removedAt < 0 ? -1 : now() - this->removedAt.load();
            ++this->runs;
            if (since > DrainMs) {
                ++this->late;
                this->latest = std::max(this->latest.load(), since);
                this->record.line(this->name + " runs " + request->header("attempt-id") + " "
                                  + std::to_string(since) + " ms after its removal");
            }
            sleepMs(WorkMs);
            const std::string id = request->header("attempt-id");
            const std::string body = "booked " + id;
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-"
                                     + id + "\r\nContent-Length: " + std::to_string(body.size())
                                     + "\r\n\r\n" + body))
                return;
        }
    }

    Record &record;
    Server server;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    Store store(record);
    std::vector<std::unique_ptr<Worker>> workers;
    const auto addWorker = [&] {
        const std::string name = "i-" + std::to_string(workers.size() + 1);
        workers.push_back(std::make_unique<Worker>(name, record));
        store.put("servers/" + name, workerEntry(Service, workers.back()->port(), 6));
        record.line("store accepts the entry of " + name);
        return workers.back().get();
    };
    store.put("op/config",
              configuration(Json::array({routeRow(Service, "non_idempotent", 1, 1500)}),
                            Json::array({serviceRow(Service)})));
    addWorker();
    addWorker();
    Entry entry("entry-1", store.port(), argv[2]);
    entry.start();
    if (!entry.waitUntilReady()) {
        entry.end();
        finish(2);
    }
    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            int fd = -1;
            while (!isOver) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(++sent);
                if (fd < 0)
                    fd = connectTo(entry.callers);
                sendAll(fd, "POST /book/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id
                                    + "\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbook");
                Reader reader(fd);
                const auto answer = reader.next(4000);
                served += answer && answer->status() == 200 ? 1 : 0;
                lost += answer && (answer->status() == 200 || answer->status() == 503) ? 0 : 1;
                if (!answer || answer->status() != 200)
                    record.line("client gets " + id + " " + (answer ? answer->first : reader.why));
                if (!answer || answer->header("connection") == "close") {
                    close(fd);
                    fd = -1;
                }
                sleepMs(40);
            }
        });
    }
    // Longer than stableWindowMs: the store and the entry have been without disruption.
    sleepMs(4000);
    for (int round = 0; round < Rounds; ++round) {
        Worker *const leaving = workers[static_cast<std::size_t>(round)].get();
        addWorker();
        sleepMs(2000);
        if (hasTrouble())
            record.line("store cuts watches: " + std::to_string(store.cutWatches()));
        // The entry watches again after some 100 ms.
        sleepMs(400);
        store.remove("servers/" + leaving->name);
        leaving->removedAt = now();
        record.line("store accepts the removal of " + leaving->name);
        sleepMs(DrainMs + Longer);
        leaving->end();
        record.line(leaving->name + " exits");
        sleepMs(1500);
        record.line(leaving->name + " ran " + std::to_string(leaving->runs) + ", late "
                    + std::to_string(leaving->late) + ", the latest after "
                    + std::to_string(leaving->latest) + " ms");
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    entry.end();
    int late = 0;
    std::int64_t latest = 0;
    for (const auto &worker : workers) {
        late += worker->late;
        latest = std::max(latest, worker->latest.load());
    }
    std::printf("requests %d, served %d, lost %d, later than %d ms at a worker that is gone: %d, "
                "the latest "
                "after %d ms\n",
                sent.load(), served.load(), lost.load(), static_cast<int>(DrainMs), late,
                static_cast<int>(latest));
    finish(late > 0 ? 1 : 0);
}
