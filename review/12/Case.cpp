// A stream is preempted by its worker for 1.5 s while the entry that serves it has SIGTERM and all other slots are taken.
#include "Rig3.h"

using namespace Rig;

namespace {

constexpr std::uint32_t Slots = 4;
constexpr int Streams = 8;
constexpr int Events = 40;
constexpr long long EventMs = 60;
constexpr long long PreemptedMs = 1500;
constexpr long long DeadlineMs = 8000;
constexpr const char *PreemptedStream = "s1";
constexpr int PreemptedAfter = 15;

std::string configuration()
{
    return Json{{"version", 7},
                {"routes", Json::array({{{"name", "route-brief"},
                                         {"hostname", "brief.example"},
                                         {"prefix", "/brief/"},
                                         {"service", "brief-writer"},
                                         {"kind", "streaming"},
                                         {"timeoutMs", 8000},
                                         {"targetLatencyMs", 400},
                                         {"targetItlMs", 120},
                                         {"attempts", 2},
                                         {"priority", 1},
                                         {"canResume", true}}})},
                {"services", Json::array({{{"name", "brief-writer"}, {"maxConnections", 278}}})},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}}
            .dump();
}

/// Writes an event each 60 ms, from the one after Last-Event-Id. The first run of one stream pauses once in the middle.
void runStream(Worker &worker, int socket, const Message &request)
{
    const std::string id = request.field("Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id
                            + "\r\nResponse-Seal: " + worker.seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= Events; ++event) {
        if (hasTrouble() && id == PreemptedStream && last.empty() && event == PreemptedAfter + 1) {
            note("worker " + worker.name() + " preempts " + id + " after event " + std::to_string(PreemptedAfter)
                 + " and goes on after " + std::to_string(PreemptedMs) + " ms");
            sleepMs(PreemptedMs);
        }
        std::string text = "id: " + std::to_string(event) + "\ndata: ";
        text.resize(68, 'x');
        text += "\n\n";
        if (!sendAll(socket, "46\r\n" + text + "\r\n")) {
            note("worker " + worker.name() + ": the connection of " + id + " ended before event "
                 + std::to_string(event));
            return;
        }
        sleepMs(EventMs);
    }
    sendAll(socket, "0\r\n\r\n");
    note("worker " + worker.name() + " has sent the whole answer of " + id);
}

std::atomic<int> incomplete{0};
std::atomic<int> finished{0};

void callStream(const std::string &ip, std::uint16_t port, const std::string &id)
{
    const long long sentAt = elapsedMs();
    const int socket = connectTo(ip, port);
    sendAll(socket, "POST /brief/2f HTTP/1.1\r\nHost: brief.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                            + std::to_string(DeadlineMs) + "\r\nContent-Length: 4\r\n\r\ntext");
    Reader reader(socket);
    Message answer;
    const bool hasHead = reader.read(answer, Clock::now() + std::chrono::milliseconds(DeadlineMs));
    int events = 0;
    for (auto at = answer.body.find("id: "); at != std::string::npos; at = answer.body.find("id: ", at + 1))
        ++events;
    const bool isComplete = answer.isComplete && (answer.status() != 200 || events == Events);
    incomplete += isComplete ? 0 : 1;
    note("caller " + id + ": " + (hasHead ? answer.start : "no head") + ", events " + std::to_string(events) + " of "
         + std::to_string(Events) + ", complete " + (answer.isComplete ? "yes" : "no") + ", after "
         + std::to_string(elapsedMs() - sentAt) + " ms");
    ::close(socket);
    ++finished;
}

int run()
{
    TemporaryFolder folder;
    const std::string ip = "127.0.0.1";
    // The threads of the stand-ins use these until the process ends.
    Store &store = *new Store(ip);
    store.put("op/config", configuration());
    new Worker(store, ip, "i-1", "brief-writer", "north", Slots, runStream);
    new Worker(store, ip, "i-2", "brief-writer", "north", Slots, runStream);
    const Entry entry(ip, "front-north-1");
    writeFile(folder.path() + "/settings", entry.settings("north", store.address()));
    Program program({entryProgram(), "--settings=" + folder.path() + "/settings"}, folder.path() + "/log");
    if (!entry.waitUntilReady(10000)) {
        note("the entry did not become ready");
        return 2;
    }
    sleepMs(3500);

    for (int number = 1; number <= Streams; ++number) {
        const std::string id = "s" + std::to_string(number);
        std::thread([ip, port = entry.front, id] { callStream(ip, port, id); }).detach();
        sleepMs(20);
    }
    sleepMs(200);
    program.signal(SIGTERM);
    note("SIGTERM to the entry, which has 8 s; " + std::to_string(Streams) + " streams run in " + std::to_string(2 * Slots)
         + " slots");
    while (finished < Streams)
        sleepMs(20);
    std::ifstream log(folder.path() + "/log");
    for (std::string line; std::getline(log, line);)
        note("entry: " + line);
    note("streams that ended without a complete answer: " + std::to_string(incomplete));
    return incomplete > 0 ? 1 : 0;
}

} // namespace

int main(int, char **arguments)
{
    Record::get().open(arguments[1]);
    std::_Exit(run());
}
