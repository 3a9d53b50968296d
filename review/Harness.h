// Small stand-ins for the cases of this review: the platform's store, workers and clients, all on
// loopback addresses and the real clock, and the start of the project's own programs.
// They do what PROTOCOL.md and DEPLOY.md say and are sound unless a case tells them otherwise.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Milliseconds since the start of the case.
double nowMs();
void sleepMs(double milliseconds);
void sleepUntilMs(double time);

/// record.txt: one line for whatever was sent, answered and run.
void openRecord(const std::string &path);
void record(const std::string &line);
/// Also printed.
void say(const std::string &line);

/// One of 250 loopback addresses of this process, so that runs at the same time don't meet.
std::string loopback(int number);

/// A TCP port that is free at an address, and was not given out before.
int freePort(const std::string &ip);

/// Header names are kept as sent and compared without case.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    const std::string *find(const std::string &name) const;
    std::string get(const std::string &name) const;
    /// Of a request.
    std::string method() const;
    std::string target() const;
    /// Of an answer.
    int status() const;
};

/// A blocking connection with deadlines.
class Connection
{
public:
    explicit Connection(int fd) : fd(fd) {}
    ~Connection() { this->close(); }
    Connection(const Connection &) = delete;

    struct ConnectOptions
    {
        double timeoutMs = 1000;
        /// Receive buffer and largest segment, as on an ordinary link; 0: those of the system.
        int receiveBuffer = 0;
        int segmentBytes = 0;
    };
    static std::unique_ptr<Connection> connect(const std::string &address,
                                               const ConnectOptions &options);
    static std::unique_ptr<Connection> connect(const std::string &address);

    bool write(const std::string &bytes);
    /// Reads whatever is there; 0: the end, -1: a reset, -2: nothing by that time.
    long read(char *bytes, std::size_t length, double untilMs);
    bool isOpen() const { return this->fd >= 0; }
    void close();
    /// Closes with a reset.
    void reset();

    /// Reads a head; false at the end of the connection or the time.
    bool readHead(Message &message, double untilMs);
    /// Reads a body with a length or in chunks.
    bool readBody(Message &message, double untilMs);
    /// Bytes that were received and not used yet.
    std::string buffer;
    /// The peer has closed (1) or reset (2) the connection.
    int ended = 0;

private:
    bool fill(double untilMs);
    int fd;
};

/// Accepts connections; each is served by a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;
    Server(const std::string &address, Handler handler);
    ~Server();
    void stop();

private:
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::thread thread;
    Handler handler;
};

/// The platform's store (kv): ranges, watches, leases and conditional writes.
class Store
{
public:
    explicit Store(const std::string &address);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While silent, the store takes calls and changes of the operator and answers no call. A call
    /// that comes in this time, or whose answer falls into it, gets none later either, and its
    /// connection returns nothing further.
    void setSilent(bool isSilent) { this->silent = isSilent; }
    const std::string address;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Item> item;
    };
    void serve(Connection &connection);
    std::pair<int, std::string> answer(const Message &request);
    void putLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void removeLocked(const std::string &key);
    void expireLocked();

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<std::uint64_t, std::pair<double, double>> leases;
    std::uint64_t revision = 1;
    std::uint64_t nextLease = 100;
    std::atomic<bool> silent{false};
    std::unique_ptr<Server> server;
};

/// A worker: registers in the store, runs up to `slots` requests at a time, queues a few more,
/// turns others away as not run, checks Expect-Instance, and answers its health check.
class Worker
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string address;
        std::string zone = "zone-1";
        int slots = 6;
        int queue = 24;
        int maxConnections = 49;
    };
    /// Runs a request and writes the answer. Returns false if the connection is to be closed.
    using Run = std::function<bool(const Message &request, Connection &connection)>;

    Worker(Store &store, const Options &options, Run run);
    ~Worker();

    static std::string answerHead(int status, const Message &request, std::size_t length);
    const Options options;

private:
    void serve(Connection &connection);
    void beat();

    Store &store;
    Run run;
    std::string born;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int queued = 0;
    std::atomic<int> connections{0};
    std::atomic<bool> stopping{false};
    std::unique_ptr<Server> server;
    std::thread beats;
};

/// A process of the project, started with the command of deploy/system.toml and settings that are
/// rendered from the template of its role.
class Program
{
public:
    Program(const std::string &name, const std::string &folder, const std::string &command,
            const std::string &templatePath, const std::map<std::string, std::string> &fields);
    ~Program();
    void start();
    void signal(int number);
    /// Whether it has ended, also by itself.
    bool hasEnded();
    pid_t pid() const { return this->process; }
    const std::string name;

private:
    std::string folder;
    std::string command;
    std::string settings;
    pid_t process = -1;
};

/// An entry on its own loopback address.
struct Entry
{
    std::string ip;
    std::string callers;
    std::string readiness;
    std::string directory;
    std::unique_ptr<Program> program;
};

struct Deployment
{
    std::string folder;
    std::string entryCommand;
    double graceS = 8;
};

std::unique_ptr<Entry> makeEntry(const Deployment &deployment, int number, const std::string &zone,
                                 const std::string &storeAddress, int internalPort);
/// Waits until it says that it is ready.
bool waitReady(const Entry &entry, double timeoutMs);

struct Answer
{
    double sentAt = 0;
    double endedAt = 0;
    /// 0: none.
    int status = 0;
    bool isWhole = false;
    /// How the wait ended if the answer is not whole: "closed", "reset", "none".
    std::string end;
    Message message;
};

/// Sends a request and reads its answer on an open connection.
Answer ask(Connection &connection, const std::string &request, double untilMs);

/// The addresses that a directory names; empty if it gives none.
std::vector<std::string> lookUp(const std::string &directory, const std::string &host);

/// Common arguments: FOLDER ENTRY_COMMAND RECORD TROUBLE.
struct Arguments
{
    std::string folder;
    std::string entryCommand;
    std::string recordPath;
    bool trouble = true;
};
Arguments readArguments(int argc, char **argv);

/// Ends this process; the programs have to be ended before.
[[noreturn]] void finish(int code);

} // namespace Review
