// Stand-ins of the second review: the platform's store, workers, clients, and the start of entries.
// Blocking sockets and one thread a connection; nothing here uses the code under review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point Start = Clock::now();

inline std::int64_t now()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Start).count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(milliseconds(std::max<std::int64_t>(time, 0)));
}

/// record.txt: one line per event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path) : file(path) {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << now() << " " << text << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline int listenOn(int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), length) != 0 || listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

inline bool isFree(int type, int port)
{
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool result = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    return result;
}

/// A port that is free for TCP and UDP now, below those that the system gives to outgoing
/// connections, and not one that was returned before.
inline int freePort()
{
    static std::set<int> given;
    static std::mt19937 random{std::random_device{}()};
    for (;;) {
        const int port = std::uniform_int_distribution<int>(12000, 32000)(random);
        if (isFree(SOCK_STREAM, port) && isFree(SOCK_DGRAM, port) && given.insert(port).second)
            return port;
    }
}

/// \a receiveBuffer: size of the receive buffer, 0 for the system's default.
inline int connectTo(int port, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// A request, or the head of an answer.
struct Message
{
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The connection ended before the message did.
    bool isCut = false;
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(lower(name));
        return found == this->headers.end() ? std::string() : found->second;
    }
    int status() const { return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0; }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string target() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

/// Reads messages from a connection.
class Reader
{
public:
    explicit Reader(int fd) : fd(fd) {}

    /// Nullopt if the connection ended, or the time is over, before a whole head arrived.
    std::optional<Message> next(std::int64_t timeout = 60000)
    {
        const std::int64_t until = now() + timeout;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until))
                return std::nullopt;
        }
        Message message;
        std::istringstream lines(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[lower(line.substr(0, colon))] = value;
        }
        if (lower(message.header("transfer-encoding")) == "chunked")
            this->readChunks(message, until);
        else if (const std::string length = message.header("content-length"); !length.empty())
            this->readBytes(message, std::stoul(length), until);
        return message;
    }

    /// Why the last read failed: "closed", "reset", or "late".
    std::string why = "closed";

private:
    bool fill(std::int64_t until)
    {
        pollfd row{this->fd, POLLIN, 0};
        if (poll(&row, 1, static_cast<int>(std::max<std::int64_t>(until - now(), 0))) != 1) {
            this->why = "late";
            return false;
        }
        char bytes[65536];
        const ssize_t size = recv(this->fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            this->why = size == 0 ? "closed" : "reset";
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    void readBytes(Message &message, std::size_t length, std::int64_t until)
    {
        while (this->buffer.size() < length && !message.isCut)
            message.isCut = !this->fill(until);
        message.body += this->buffer.substr(0, length);
        this->buffer.erase(0, length);
    }

    void readChunks(Message &message, std::int64_t until)
    {
        while (!message.isCut) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos && !message.isCut)
                message.isCut = !this->fill(until);
            if (message.isCut)
                return;
            const std::size_t size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            this->buffer.erase(0, end + 2);
            while (this->buffer.size() < size + 2 && !message.isCut)
                message.isCut = !this->fill(until);
            message.body += this->buffer.substr(0, std::min(size, this->buffer.size()));
            this->buffer.erase(0, std::min(size + 2, this->buffer.size()));
            if (size == 0)
                return;
        }
    }

    int fd;
    std::string buffer;
};

/// Listens at a port of its own and calls the handler with each connection, in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(int fd)>;

    explicit Server(Handler handler, int wanted = 0) : handler(std::move(handler))
    {
        this->port = wanted;
        this->listening = listenOn(this->port);
        std::thread([this, fd = this->listening] {
            for (;;) {
                const int connection = accept(fd, nullptr, nullptr);
                if (connection < 0)
                    return;
                const int on = 1;
                setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.insert(connection);
                }
                std::thread([this, connection] {
                    this->handler(connection);
                    const std::lock_guard held(this->mutex);
                    this->open.erase(connection);
                    close(connection);
                }).detach();
            }
        }).detach();
    }

    /// Ends as a process does: nothing listens any more, open connections are closed.
    void end()
    {
        shutdown(this->listening, SHUT_RDWR);
        close(this->listening);
        const std::lock_guard lock(this->mutex);
        for (const int connection : this->open)
            shutdown(connection, SHUT_RDWR);
    }

    int port = 0;

private:
    Handler handler;
    int listening = -1;
    std::mutex mutex;
    std::set<int> open;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned value = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            value = value << 8U
                    | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte])
                                                : 0U);
        for (int digit = 0; digit < 4; ++digit)
            text += at + static_cast<std::size_t>(digit) > bytes.size()
                            ? '='
                            : digits[value >> (18 - 6 * digit) & 63U];
    }
    return text;
}

/// The platform's store (PROTOCOL.md, "The platform's metadata store"). Leases don't expire: the
/// cases are shorter than those of the entries.
class Store
{
public:
    explicit Store(Record &record) : record(record), server([this](int fd) { this->serve(fd); }) {}

    int port() const { return this->server.port; }

    /// What a worker or the operator writes. Returns once the store has accepted it.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, base64(value), 0);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }

    /// Cuts the watches that wait now: their connections end. Returns how many.
    std::size_t cutWatches()
    {
        const std::lock_guard lock(this->mutex);
        for (const int fd : this->watching)
            shutdown(fd, SHUT_RDWR);
        const std::size_t count = this->watching.size();
        ++this->cuts;
        this->changed.notify_all();
        return count;
    }

    std::size_t waitingWatches()
    {
        const std::lock_guard lock(this->mutex);
        return this->watching.size();
    }

private:
    struct Item
    {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = this->items[key];
        ++this->revision;
        item = {value, this->revision, item.value ? item.created : this->revision, lease};
        this->noteChange(key, item);
    }

    void erase(const std::string &key)
    {
        this->items[key] = {std::nullopt, ++this->revision, 0, 0};
        this->noteChange(key, this->items[key]);
    }

    void noteChange(const std::string &key, const Item &item)
    {
        this->history.push_back({key, item, now()});
        this->changed.notify_all();
    }

    void dropHistory()
    {
        while (!this->history.empty() && this->history.front().at + HistoryMs < now()) {
            this->dropped = this->history.front().item.revision;
            this->history.pop_front();
        }
    }

    struct Change
    {
        std::string key;
        Item item;
        std::int64_t at = 0;
    };

    /// historyRetentionS of the small sites.
    static constexpr std::int64_t HistoryMs = 20000;

    static std::string decoded(const std::string &text)
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

    static std::string field(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 1;
        return decoded(target.substr(begin, target.find('&', begin) - begin));
    }

    static Json row(const std::string &key, const Item &item)
    {
        if (!item.value)
            return {{"key", key}, {"revision", item.revision}, {"deleted", true}};
        return {{"key", key},
                {"value", *item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    static bool answer(int fd, int status, const Json &body)
    {
        const std::string text = body.dump();
        return sendAll(fd, "HTTP/1.1 " + std::to_string(status)
                                   + " Status\r\nContent-Type: application/json\r\n"
                                     "Content-Length: "
                                   + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (const auto request = reader.next(600000)) {
            const std::string target = request->target();
            const std::string path = target.substr(0, target.find('?'));
            if (path == "/kv-watch") {
                if (!this->watch(fd, target))
                    return;
                continue;
            }
            std::unique_lock lock(this->mutex);
            int status = 200;
            Json body = Json::object();
            if (path == "/kv-range") {
                const std::string prefix = field(target, "prefix");
                const std::string after = field(target, "after");
                Json rows = Json::array();
                bool hasMore = false;
                for (const auto &[key, item] : this->items) {
                    if (!item.value || key.rfind(prefix, 0) != 0 || key <= after)
                        continue;
                    hasMore = rows.size() == 500;
                    if (hasMore)
                        break;
                    rows.push_back(row(key, item));
                }
                body = {{"items", rows}, {"hasMore", hasMore}, {"storeRevision", this->revision}};
            } else if (path == "/kv-txn") {
                const Json call = Json::parse(request->body);
                for (const Json &expected : call.at("expected")) {
                    const auto found = this->items.find(expected.at("key"));
                    const std::uint64_t present = found == this->items.end() || !found->second.value
                                                          ? 0
                                                          : found->second.revision;
                    if (present != expected.at("revision").get<std::uint64_t>())
                        status = 412;
                }
                if (status == 200) {
                    for (const Json &item : call.at("writes"))
                        this->write(item.at("key"), item.at("value"), item.at("lease"));
                    body = {{"revision", this->revision}};
                } else {
                    body = {{"items", Json::array()}};
                }
            } else if (path == "/kv-lease") {
                body = {{"lease", ++this->lastLease},
                        {"ttlMs", Json::parse(request->body).at("ttlMs")}};
            } else if (path.rfind("/kv-lease-end/", 0) == 0) {
                const std::uint64_t lease = std::stoull(path.substr(14));
                for (auto &[key, item] : this->items) {
                    if (item.value && lease != 0 && item.lease == lease)
                        this->erase(key);
                }
            } else if (path.rfind("/kv-keep/", 0) != 0) {
                status = 404;
            }
            lock.unlock();
            if (!answer(fd, status, body))
                return;
        }
    }

    bool watch(int fd, const std::string &target)
    {
        const std::string prefix = field(target, "prefix");
        const std::uint64_t after = std::stoull(field(target, "after"));
        const auto until = Clock::now() + milliseconds(std::stoul(field(target, "waitMs")));
        std::unique_lock lock(this->mutex);
        const std::uint64_t cutsBefore = this->cuts;
        this->watching.insert(fd);
        Json events;
        for (;;) {
            this->dropHistory();
            if (after < this->dropped) {
                this->watching.erase(fd);
                lock.unlock();
                return answer(fd, 410, Json::object());
            }
            events = Json::array();
            for (const Change &change : this->history) {
                if (change.item.revision > after && change.key.rfind(prefix, 0) == 0)
                    events.push_back(row(change.key, change.item));
            }
            if (!events.empty() || this->cuts != cutsBefore
                || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        this->watching.erase(fd);
        const Json body = {{"events", events}, {"storeRevision", this->revision}};
        const bool isCut = this->cuts != cutsBefore;
        lock.unlock();
        if (events.size() > 1)
            this->record.line("store: a watch from revision " + std::to_string(after) + " gets "
                              + std::to_string(events.size()) + " events, "
                              + std::to_string(body.dump().size()) + " bytes");
        return !isCut && answer(fd, 200, body);
    }

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::deque<Change> history;
    /// The latest revision of which the history is gone.
    std::uint64_t dropped = 0;
    std::uint64_t revision = 10;
    std::uint64_t lastLease = 70;
    std::uint64_t cuts = 0;
    std::set<int> watching;
    Server server;
};

/// The entry of a worker in the store.
inline std::string workerEntry(const std::string &service, int port, int slots,
                               const std::string &state = "ready", std::uint64_t sequence = 1,
                               std::uint64_t born = 1700000000000)
{
    return Json{{"service", service}, {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", "zone-a"},   {"version", "v1"},
                {"slots", slots},     {"state", state},
                {"coldLeftMs", 0},    {"seq", sequence},
                {"born", born}}
            .dump();
}

/// An entry process, started with the command and template of the deploy file.
class Entry
{
public:
    Entry(const std::string &name, int storePort, const std::string &folder,
          const std::string &zone = "zone-a")
        : name(name), storePort(storePort), folder(folder), zone(zone), callers(freePort()),
          readiness(freePort()), directory(freePort()), internal(freePort()), metrics(freePort())
    {}

    void start()
    {
        const std::string path = this->folder + "/" + this->name + ".settings";
        this->writeSettings(path);
        const std::string log = this->folder + "/" + this->name + ".log";
        const std::string argument = "--settings=" + path;
        this->pid = fork();
        if (this->pid != 0)
            return;
        // The entry ends with this program, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        FILE *const output = std::freopen(log.c_str(), "a", stdout);
        dup2(fileno(output), STDERR_FILENO);
        for (int fd = 3; fd < 4096; ++fd)
            close(fd);
        signal(SIGPIPE, SIG_DFL);
        const char *const arguments[] = {"target/platform/nutmegrill-platform-entry",
                                         argument.c_str(), nullptr};
        const char *const environment[] = {"PATH=/usr/bin:/bin",
                                           "NUTMEGRILL_USAGE_RECEIVER=",
                                           "NUTMEGRILL_USAGE_WINDOW_SECONDS=",
                                           "NUTMEGRILL_USAGE_DUE_SECONDS=",
                                           "NUTMEGRILL_DUTY_LEASE_MILLISECONDS=",
                                           nullptr};
        execve(arguments[0], const_cast<char *const *>(arguments),
               const_cast<char *const *>(environment));
        std::_Exit(127);
    }

    void signalProcess(int number) const { kill(this->pid, number); }

    void end()
    {
        if (this->pid <= 0)
            return;
        kill(this->pid, SIGCONT);
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }

    /// Nullopt while the process runs.
    std::optional<int> exitStatus() const
    {
        int status = 0;
        return waitpid(this->pid, &status, WNOHANG) == this->pid ? std::optional(status)
                                                                 : std::nullopt;
    }

    bool isReady() const
    {
        const int fd = connectTo(this->readiness);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader reader(fd);
        const auto answer = reader.next(1000);
        close(fd);
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(std::int64_t timeout = 10000) const
    {
        for (const std::int64_t until = now() + timeout; now() < until; sleepMs(50)) {
            if (this->isReady())
                return true;
        }
        return false;
    }

    std::string name;
    int storePort;
    std::string folder;
    std::string zone;
    int callers, readiness, directory, internal, metrics;
    pid_t pid = -1;

private:
    static void replace(std::string &text, const std::string &field, const std::string &value)
    {
        for (auto at = text.find("{{" + field + "}}"); at != std::string::npos;
             at = text.find("{{" + field + "}}"))
            text.replace(at, field.size() + 4, value);
    }

    void writeSettings(const std::string &path) const
    {
        std::ifstream input("deploy/entry.settings");
        std::string text((std::istreambuf_iterator<char>(input)), {});
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        replace(text, "node", this->name);
        replace(text, "zone", this->zone);
        replace(text, "listen.front", address(this->callers));
        replace(text, "listen.ready", address(this->readiness));
        replace(text, "listen.directory", address(this->directory));
        replace(text, "ip", "127.0.0.1");
        replace(text, "internalPorts.0", std::to_string(this->internal));
        replace(text, "internalPorts.1", std::to_string(this->metrics));
        replace(text, "platform.address", address(this->storePort));
        // Bounds of the small site nutmegrill-amman.
        replace(text, "bounds.graceS", "8");
        replace(text, "bounds.retryBudgetRatio", "0.2");
        replace(text, "bounds.budgetSlack", "90");
        replace(text, "bounds.budgetWindowS", "10");
        std::ofstream(path) << text;
    }
};

/// A configuration with one route a service: host "app.example", prefix "/NAME/", no tenants.
inline Json serviceRow(const std::string &name)
{
    return {{"name", name}, {"healthPath", "/health"}, {"maxConnections", 49}, {"protocol", "h1"},
            {"tls", false}, {"coldStartS", 0.0},       {"coldPerS", 0.0}};
}

inline Json routeRow(const std::string &service, const std::string &kind, int attempts, int timeout)
{
    return {{"name", "r-" + service},
            {"hostname", "app.example"},
            {"prefix", "/" + service + "/"},
            {"kind", kind},
            {"timeoutMs", timeout},
            {"targetLatencyMs", 300},
            {"priority", 2},
            {"service", service},
            {"attempts", attempts},
            {"public", false},
            {"sticky", false}};
}

inline std::string configuration(const Json &routes, const Json &services)
{
    return Json{{"version", 7},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}}
            .dump();
}

/// Ends the process while threads of stand-ins still run.
[[noreturn]] inline void finish(int status)
{
    std::fflush(stdout);
    std::_Exit(status);
}

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
