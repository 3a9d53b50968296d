// Stand-ins and process control for the scripts of the third review: a store, plain workers, callers and started
// programs. One thread per connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace Rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point StartedAt = Clock::now();

inline long long elapsedMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartedAt).count();
}

inline void sleepMs(long long milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Writes record.txt.
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path) { this->file.open(path); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        std::ostringstream out;
        out.setf(std::ios::fixed);
        out.precision(3);
        out << static_cast<double>(elapsedMs()) / 1000 << " s  " << text << "\n";
        this->file << out.str() << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline void note(const std::string &text)
{
    Record::get().line(text);
}

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/// Listens on a free port, or the given one; -1 on failure.
inline int listenOn(const std::string &ip, std::uint16_t port = 0)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || listen(socket, 256) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// A port that is free for TCP and UDP on an address now, below the range of outgoing connections.
inline std::uint16_t freePort(const std::string &ip)
{
    static constexpr unsigned First = 18000;
    static constexpr unsigned Count = 14000;
    static std::random_device random;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(First + random() % Count);
        const int stream = listenOn(ip, port);
        if (stream < 0)
            continue;
        const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf(ip, port);
        const bool isFree = bind(datagram, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(datagram);
        ::close(stream);
        if (isFree)
            return port;
    }
}

/// Connects; receiveBuffer > 0 sets SO_RCVBUF first. -1 on failure.
inline int connectTo(const std::string &ip, std::uint16_t port, int receiveBuffer = 0)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address = addressOf(ip, port);
    if (connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

inline bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Start line, header fields and body of a message.
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// The body has come to its end.
    bool isComplete = false;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const
    {
        const auto begin = this->start.find(' ') + 1;
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }
};

/// Reads messages from a socket.
class Reader
{
public:
    explicit Reader(int socket) : socket(socket) {}

    /// Bytes per read and pause after each, for a slow reader.
    std::size_t bytesPerRead = 65536;
    std::function<void(std::size_t total)> afterRead;
    /// How the last read ended: 0 for the end of the connection, an errno, or ETIMEDOUT for its own time limit.
    int error = 0;

    /// False if the connection ended or the time is over before the head was complete.
    bool read(Message &message, Clock::time_point until)
    {
        message = {};
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until))
                return false;
        }
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string text;
        while (std::getline(head, text)) {
            if (!text.empty() && text.back() == '\r')
                text.pop_back();
            if (message.start.empty()) {
                message.start = text;
                continue;
            }
            const auto colon = text.find(':');
            std::string value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields.emplace_back(text.substr(0, colon), value);
        }
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return this->readChunks(message, until);
        const std::size_t length = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (this->buffer.size() < length) {
            if (!this->fill(until)) {
                message.body = this->buffer;
                return true;
            }
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        message.isComplete = true;
        return true;
    }

private:
    bool readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(until))
                    return true;
            }
            const std::size_t size = std::stoul(this->buffer, nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill(until))
                    return true;
            }
            message.body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                message.isComplete = true;
                return true;
            }
        }
    }

    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd row{this->socket, POLLIN, 0};
        if (left <= 0 || poll(&row, 1, static_cast<int>(left)) <= 0) {
            this->error = ETIMEDOUT;
            return false;
        }
        std::string bytes(this->bytesPerRead, '\0');
        const ssize_t size = ::recv(this->socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            this->error = size == 0 ? 0 : errno;
            return false;
        }
        this->total += static_cast<std::size_t>(size);
        this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
        if (this->afterRead)
            this->afterRead(this->total);
        return true;
    }

    int socket;
    std::size_t total = 0;
    std::string buffer;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(int socket)>;

    Server(const std::string &ip, Serve serve, std::uint16_t port = 0) : ip(ip), serve(std::move(serve))
    {
        this->socket = listenOn(ip, port);
        this->number = portOf(this->socket);
        std::thread([this] { this->run(); }).detach();
    }
    std::uint16_t port() const { return this->number; }
    std::string address() const { return this->ip + ":" + std::to_string(this->number); }
    bool isListening() const { return this->socket >= 0; }

private:
    void run()
    {
        for (;;) {
            const int accepted = ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, accepted] {
                this->serve(accepted);
                ::close(accepted);
            }).detach();
        }
    }

    std::string ip;
    Serve serve;
    int socket = -1;
    std::uint16_t number = 0;
};

inline std::string encodeBase64(const std::string &text)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            out += at + index > text.size() ? '=' : Digits[group >> (18U - 6U * index) & 63U];
    }
    return out;
}

inline std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

inline std::string queryOf(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return {};
    std::istringstream parts(target.substr(question + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return decodePercent(part.substr(name.size() + 1));
    }
    return {};
}

inline void reply(int socket, int status, const std::string &body, const std::string &fields = {})
{
    sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n" + fields
                            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// The platform's key-value store. Keeps the history of `historyRetentionS`.
class Store
{
public:
    static constexpr std::chrono::seconds HistoryTime{20};

    explicit Store(const std::string &ip) : server(ip, [this](int socket) { this->serve(socket); }) {}
    std::string address() const { return this->server.address(); }

    std::uint64_t put(const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        return this->write(key, encodeBase64(text), 0);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change
    {
        Clock::time_point at;
        Json row;
    };
    struct Lease
    {
        std::chrono::milliseconds time{};
        Clock::time_point end;
    };

    static Json rowOf(const std::string &key, const Item &item)
    {
        return {{"key", key}, {"value", item.value}, {"revision", item.revision}, {"created", item.created},
                {"lease", item.lease}};
    }
    std::uint64_t write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        item.created = item.created == 0 ? item.revision : item.created;
        item.lease = lease;
        this->addChange(rowOf(key, item));
        return item.revision;
    }
    void erase(const std::string &key)
    {
        if (this->items.erase(key) == 0)
            return;
        this->addChange({{"key", key}, {"revision", ++this->revision}, {"deleted", true}});
    }
    void addChange(Json row)
    {
        const Clock::time_point now = Clock::now();
        this->history.push_back({now, std::move(row)});
        while (this->history.front().at + HistoryTime < now) {
            this->discardedUpTo = this->history.front().row.at("revision").get<std::uint64_t>();
            this->history.pop_front();
        }
        this->changed.notify_all();
    }
    void endLease(std::uint64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            this->erase(key);
    }
    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (const auto &[lease, row] : this->leases) {
            if (row.end <= Clock::now())
                ended.push_back(lease);
        }
        for (const std::uint64_t lease : ended)
            this->endLease(lease);
    }

    void serve(int socket)
    {
        Reader reader(socket);
        Message call;
        while (reader.read(call, Clock::now() + std::chrono::minutes(5)) && call.isComplete)
            this->answer(socket, call);
    }

    void answer(int socket, const Message &call)
    {
        const std::string target = call.target();
        const std::string path = target.substr(0, target.find('?'));
        const Json body = call.body.empty() ? Json::object() : Json::parse(call.body);
        std::unique_lock lock(this->mutex);
        this->expire();
        Json out = Json::object();
        int status = 200;
        if (path == "/kv-range") {
            out["items"] = Json::array();
            const std::string prefix = queryOf(target, "prefix");
            const std::string after = queryOf(target, "after");
            for (const auto &[key, item] : this->items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after)
                    out["items"].push_back(rowOf(key, item));
            }
            out["hasMore"] = false;
            out["storeRevision"] = this->revision;
        } else if (path == "/kv-watch") {
            const std::string prefix = queryOf(target, "prefix");
            const std::uint64_t after = std::stoull(queryOf(target, "after"));
            const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(queryOf(target, "waitMs")));
            for (;;) {
                out["events"] = Json::array();
                if (after < this->discardedUpTo) {
                    status = 410;
                    break;
                }
                for (const Change &change : this->history) {
                    if (change.row.at("revision").get<std::uint64_t>() > after
                        && change.row.at("key").get<std::string>().compare(0, prefix.size(), prefix) == 0)
                        out["events"].push_back(change.row);
                }
                if (!out["events"].empty() || Clock::now() >= until)
                    break;
                this->changed.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(200)));
                this->expire();
            }
            out["storeRevision"] = this->revision;
        } else if (path == "/kv-txn") {
            Json rows = Json::array();
            bool isMet = true;
            for (const Json &row : body.value("expected", Json::array())) {
                const auto found = this->items.find(row.at("key").get<std::string>());
                const std::uint64_t actual = found == this->items.end() ? 0 : found->second.revision;
                isMet = isMet && actual == row.at("revision").get<std::uint64_t>();
                if (found != this->items.end())
                    rows.push_back(rowOf(found->first, found->second));
            }
            bool hasLeases = true;
            for (const Json &row : body.value("writes", Json::array()))
                hasLeases = hasLeases
                            && (row.value("lease", 0ULL) == 0 || this->leases.count(row.value("lease", 0ULL)) != 0);
            if (!isMet) {
                status = 412;
                out["items"] = rows;
            } else if (!hasLeases) {
                status = 404;
            } else {
                for (const Json &row : body.value("writes", Json::array()))
                    this->write(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
                                row.value("lease", 0ULL));
                for (const Json &key : body.value("deletes", Json::array()))
                    this->erase(key.get<std::string>());
                out["revision"] = this->revision;
            }
        } else if (path == "/kv-lease") {
            const std::chrono::milliseconds time(body.at("ttlMs").get<long long>());
            const std::uint64_t lease = ++this->lastLease;
            this->leases[lease] = {time, Clock::now() + time};
            out = {{"lease", lease}, {"ttlMs", time.count()}};
        } else if (path.rfind("/kv-keep/", 0) == 0 || path.rfind("/kv-lease-end/", 0) == 0) {
            const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
            const auto found = this->leases.find(lease);
            if (found == this->leases.end())
                status = 404;
            else if (path.rfind("/kv-keep/", 0) == 0)
                found->second.end = Clock::now() + found->second.time;
            else
                this->endLease(lease);
        } else {
            status = 404;
        }
        lock.unlock();
        reply(socket, status, out.dump());
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::deque<Change> history;
    /// Revision up to which the history is no longer available.
    std::uint64_t discardedUpTo = 0;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 100;
    std::uint64_t lastLease = 70;
    Server server;
};

/// A worker of a plain service or of streams. Its row in the store changes only when more than `seq` changes, so it is
/// written once.
class Worker
{
public:
    /// Answers a request that is run. The body and the identity have been checked.
    using Run = std::function<void(Worker &worker, int socket, const Message &request)>;

    Worker(Store &store, const std::string &ip, const std::string &id, const std::string &service,
           const std::string &zone, std::uint32_t slots, Run run)
        : store(store), id(id), service(service), zone(zone), slots(slots), run(std::move(run)),
          born(std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
          server(ip, [this](int socket) { this->serve(socket); })
    {
        this->enroll();
    }

    const std::string &name() const { return this->id; }
    std::string address() const { return this->server.address(); }
    std::string seal() { return this->id + "." + std::to_string(++this->seals); }

private:
    void enroll()
    {
        this->store.put("servers/" + this->id, Json{{"service", this->service},
                                                    {"address", this->server.address()},
                                                    {"zone", this->zone},
                                                    {"version", "1"},
                                                    {"slots", this->slots},
                                                    {"state", "ready"},
                                                    {"coldLeftMs", 0},
                                                    {"born", this->born},
                                                    {"seq", 1}}
                                                       .dump());
    }

    void serve(int socket)
    {
        Reader reader(socket);
        Message request;
        while (reader.read(request, Clock::now() + std::chrono::minutes(5)) && request.isComplete) {
            const std::string attempt = request.field("Attempt-Id");
            const std::string expected = request.field("Expect-Instance");
            const std::string echo = "Attempt-Id: " + attempt + "\r\n";
            if (attempt.empty() || (!expected.empty() && expected != this->id)) {
                reply(socket, attempt.empty() ? 400 : 421, "", echo + "Not-Executed: 1\r\n");
                continue;
            }
            note("worker " + this->id + " runs " + attempt + " (" + request.start + ")");
            this->run(*this, socket, request);
        }
    }

    Store &store;
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t slots;
    Run run;
    long long born;
    std::atomic<std::uint64_t> seals{0};
    Server server;
};

/// A program that the script started.
class Program
{
public:
    Program(const std::vector<std::string> &words, const std::string &logFile,
            const std::vector<std::string> &environment = {})
    {
        this->pid = fork();
        if (this->pid != 0)
            return;
        // Ends with the script, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        std::vector<char *> arguments;
        for (const std::string &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        for (const std::string &setting : environment)
            putenv(const_cast<char *>(setting.c_str()));
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    ~Program() { this->end(); }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    void signal(int number) const
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }
    bool hasEnded()
    {
        if (this->pid > 0 && waitpid(this->pid, &this->status, WNOHANG) == this->pid)
            this->pid = -1;
        return this->pid < 0;
    }
    /// Resident memory in KiB; 0 if the process has ended.
    long residentKib() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }
    void end()
    {
        if (this->hasEnded())
            return;
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, &this->status, 0);
        this->pid = -1;
    }

private:
    pid_t pid = -1;
    int status = 0;
};

/// Addresses of an entry and the text of its settings file, after deploy/entry.settings.
struct Entry
{
    std::string ip;
    std::string name;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t directory = 0;
    std::uint16_t internal = 0;
    std::uint16_t metrics = 0;

    Entry(const std::string &ip, const std::string &name, std::uint16_t internalPort = 0)
        : ip(ip), name(name), front(freePort(ip)), ready(freePort(ip)), directory(freePort(ip)),
          internal(internalPort != 0 ? internalPort : freePort(ip)), metrics(freePort(ip))
    {}

    std::string settings(const std::string &zone, const std::string &store) const
    {
        std::ostringstream text;
        text << "name = " << this->name << "\nfailure-domain = " << zone << "\ncallers = " << this->ip << ":"
             << this->front << "\nreadiness = " << this->ip << ":" << this->ready << "\ndirectory = " << this->ip
             << ":" << this->directory << "\nip = " << this->ip << "\ninternal-port = " << this->internal
             << "\nmetrics-port = " << this->metrics << "\nstore = " << store
             << "\ngrace-seconds = 8\nretry-ratio = 0.2\nretry-allowance = 88\nretry-window-seconds = 10\n";
        return text.str();
    }

    /// Waits until the entry counts as ready.
    bool waitUntilReady(long long milliseconds) const
    {
        const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
        while (Clock::now() < until) {
            if (this->isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }
    bool isReady() const
    {
        const int socket = connectTo(this->ip, this->ready);
        if (socket < 0)
            return false;
        sendAll(socket, "GET /readiness HTTP/1.1\r\nHost: " + this->ip + "\r\n\r\n");
        Reader reader(socket);
        Message answer;
        const bool isAnswered = reader.read(answer, Clock::now() + std::chrono::seconds(1));
        ::close(socket);
        return isAnswered && answer.status() == 200;
    }
};

inline std::string entryProgram()
{
    return "target/platform/nutmegrill-platform-entry";
}

inline void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

/// Folder for settings and logs; removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "nutmegrill-review-XXXXXX").string();
        this->folder = mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (!this->folder.empty())
            std::filesystem::remove_all(this->folder, ignored);
    }
    const std::string &path() const { return this->folder; }

private:
    std::string folder;
};

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Rig
