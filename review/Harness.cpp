#include "Harness.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace Review {

namespace {

using Json = nlohmann::json;

const Clock::time_point Start = Clock::now();
std::mutex recordMutex;
std::FILE *recordFile = nullptr;

bool sameName(const std::string &left, const std::string &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

sockaddr_in parse(const std::string &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    const auto colon = address.rfind(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

std::string base64(const std::string &text)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, text.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 | (index < count ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            out += index <= count ? Digits[group >> (18 - 6 * index) & 63U] : '=';
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    static const std::string Digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        const auto digit = Digits.find(letter);
        if (digit == std::string::npos)
            break;
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255U);
        }
    }
    return out;
}

std::string unescape(const std::string &text)
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

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream stream(target.substr(mark + 1));
    for (std::string part; std::getline(stream, part, '&');) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : unescape(part.substr(equals + 1));
    }
    return query;
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - Start).count();
}

void sleepMs(double milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

void sleepUntilMs(double time)
{
    sleepMs(time - nowMs());
}

void openRecord(const std::string &path)
{
    recordFile = std::fopen(path.c_str(), "w");
}

void record(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    if (recordFile == nullptr)
        return;
    std::fprintf(recordFile, "%9.1f ms  %s\n", nowMs(), line.c_str());
    std::fflush(recordFile);
}

void say(const std::string &line)
{
    record(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

std::string loopback(int number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(16 + process / 256 % 200) + "." + std::to_string(process % 256)
           + "." + std::to_string(number);
}

namespace {

int bindFreePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = parse(ip + ":0");
    socklen_t length = sizeof(address);
    int port = 0;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
        && ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        port = ntohs(address.sin_port);
    ::close(fd);
    return port;
}

} // namespace

int freePort(const std::string &ip)
{
    static std::set<int> given;
    int port = 0;
    do
        port = bindFreePort(ip);
    while (port != 0 && !given.insert(port).second);
    return port;
}

const std::string *Message::find(const std::string &name) const
{
    for (const auto &[key, value] : this->headers) {
        if (sameName(key, name))
            return &value;
    }
    return nullptr;
}

std::string Message::get(const std::string &name) const
{
    const std::string *value = this->find(name);
    return value == nullptr ? "" : *value;
}

std::string Message::method() const
{
    return this->startLine.substr(0, this->startLine.find(' '));
}

std::string Message::target() const
{
    const auto first = this->startLine.find(' ');
    return this->startLine.substr(first + 1, this->startLine.rfind(' ') - first - 1);
}

int Message::status() const
{
    return this->startLine.size() < 12 ? 0 : std::atoi(this->startLine.c_str() + 9);
}

std::unique_ptr<Connection> Connection::connect(const std::string &address)
{
    return connect(address, ConnectOptions());
}

std::unique_ptr<Connection> Connection::connect(const std::string &address,
                                                const ConnectOptions &options)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (options.receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(int));
    if (options.segmentBytes > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof(int));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in peer = parse(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        pollfd entry{fd, POLLOUT, 0};
        int error = errno;
        if (error == EINPROGRESS) {
            socklen_t length = sizeof(error);
            if (::poll(&entry, 1, static_cast<int>(options.timeoutMs)) != 1
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
                error = ETIMEDOUT;
        }
        if (error != 0) {
            ::close(fd);
            return nullptr;
        }
    }
    return std::make_unique<Connection>(fd);
}

bool Connection::write(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        if (this->fd < 0)
            return false;
        const ssize_t count =
                ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count > 0) {
            done += static_cast<std::size_t>(count);
        } else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            pollfd entry{this->fd, POLLOUT, 0};
            if (::poll(&entry, 1, 10000) == 0)
                return false;
        } else {
            return false;
        }
    }
    return true;
}

long Connection::read(char *bytes, std::size_t length, double untilMs)
{
    while (true) {
        if (this->fd < 0)
            return -1;
        const ssize_t count = ::recv(this->fd, bytes, length, MSG_DONTWAIT);
        if (count > 0)
            return count;
        if (count == 0) {
            this->ended = 1;
            return 0;
        }
        if (errno != EAGAIN && errno != EINTR) {
            this->ended = 2;
            return -1;
        }
        const double left = untilMs - nowMs();
        if (left <= 0)
            return -2;
        pollfd entry{this->fd, POLLIN, 0};
        ::poll(&entry, 1, static_cast<int>(std::min(left, 200.0)) + 1);
    }
}

void Connection::close()
{
    if (this->fd >= 0)
        ::close(this->fd);
    this->fd = -1;
}

void Connection::reset()
{
    const linger now{1, 0};
    if (this->fd >= 0)
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->close();
}

bool Connection::fill(double untilMs)
{
    char bytes[16384];
    const long count = this->read(bytes, sizeof(bytes), untilMs);
    if (count <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readHead(Message &message, double untilMs)
{
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(untilMs))
            return false;
    }
    std::istringstream lines(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    message = {};
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
    }
    return true;
}

bool Connection::readBody(Message &message, double untilMs)
{
    if (message.get("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(untilMs))
                    return false;
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill(untilMs))
                    return false;
            }
            message.body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::string *length = message.find("Content-Length");
    const std::size_t size = length == nullptr ? 0 : std::stoul(*length);
    while (this->buffer.size() < size) {
        if (!this->fill(untilMs)) {
            message.body = this->buffer;
            return false;
        }
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
}

Server::Server(const std::string &address, Handler handler) : handler(std::move(handler))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = parse(address);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || ::listen(this->listener, 1024) != 0) {
        say("cannot listen on " + address);
        std::exit(2);
    }
    this->thread = std::thread([this] {
        while (!this->stopping) {
            pollfd entry{this->listener, POLLIN, 0};
            if (::poll(&entry, 1, 100) != 1)
                continue;
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int nodelay = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
            std::thread([this, fd] {
                Connection connection(fd);
                this->handler(connection);
            }).detach();
        }
    });
}

void Server::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
    if (this->listener >= 0)
        ::close(std::exchange(this->listener, -1));
}

Server::~Server()
{
    this->stop();
}

Store::Store(const std::string &address) : address(address)
{
    this->server = std::make_unique<Server>(
            address, [this](Connection &connection) { this->serve(connection); });
}

void Store::putLocked(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = this->items[key];
    item.value = value;
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = lease;
    this->events.push_back({this->revision, key, item});
    this->changed.notify_all();
}

void Store::removeLocked(const std::string &key)
{
    if (this->items.erase(key) == 0)
        return;
    this->events.push_back({++this->revision, key, std::nullopt});
    this->changed.notify_all();
}

void Store::expireLocked()
{
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.first > nowMs()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            this->removeLocked(key);
        lease = this->leases.erase(lease);
    }
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->putLocked(key, value, 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->removeLocked(key);
}

std::pair<int, std::string> Store::answer(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    const auto itemJson = [](const std::string &key, const Item &item) {
        return Json{{"key", key},
                    {"value", base64(item.value)},
                    {"revision", item.revision},
                    {"created", item.created},
                    {"lease", item.lease}};
    };
    std::unique_lock<std::mutex> lock(this->mutex);
    this->expireLocked();
    if (path == "/kv-key") {
        const auto found = this->items.find(query["key"]);
        if (found == this->items.end())
            return {404, Json{{"storeRevision", this->revision}}.dump()};
        Json json = itemJson(found->first, found->second);
        json["storeRevision"] = this->revision;
        return {200, json.dump()};
    }
    if (path == "/kv-range") {
        Json list = Json::array();
        bool more = false;
        for (const auto &[key, item] : this->items) {
            if (key.compare(0, query["prefix"].size(), query["prefix"]) != 0
                || (query.count("after") != 0 && key <= query["after"]))
                continue;
            if (list.size() == 500) {
                more = true;
                break;
            }
            list.push_back(itemJson(key, item));
        }
        return {200,
                Json{{"items", list}, {"hasMore", more}, {"storeRevision", this->revision}}.dump()};
    }
    if (path == "/kv-watch") {
        const std::uint64_t after = std::stoull(query["after"]);
        const double until = nowMs() + std::stod(query["waitMs"]);
        while (true) {
            this->expireLocked();
            Json list = Json::array();
            for (const Event &event : this->events) {
                if (event.revision <= after
                    || event.key.compare(0, query["prefix"].size(), query["prefix"]) != 0)
                    continue;
                list.push_back(event.item ? itemJson(event.key, *event.item)
                                          : Json{{"key", event.key},
                                                 {"revision", event.revision},
                                                 {"deleted", true}});
            }
            if (!list.empty() || nowMs() >= until)
                return {200, Json{{"events", list}, {"storeRevision", this->revision}}.dump()};
            this->changed.wait_for(lock, Ms(50));
        }
    }
    if (path == "/kv-lease") {
        const double ttl = Json::parse(request.body).at("ttlMs").get<double>();
        const std::uint64_t lease = this->nextLease++;
        this->leases[lease] = {nowMs() + ttl, ttl};
        return {200, Json{{"lease", lease}, {"ttlMs", static_cast<std::uint64_t>(ttl)}}.dump()};
    }
    if (path.compare(0, 9, "/kv-keep/") == 0) {
        const auto found = this->leases.find(std::stoull(path.substr(9)));
        if (found == this->leases.end())
            return {404, "{}"};
        found->second.first = nowMs() + found->second.second;
        return {200,
                Json{{"ttlMs", static_cast<std::uint64_t>(found->second.second)}}.dump()};
    }
    if (path.compare(0, 14, "/kv-lease-end/") == 0) {
        const auto found = this->leases.find(std::stoull(path.substr(14)));
        if (found == this->leases.end())
            return {404, "{}"};
        found->second.first = 0;
        this->expireLocked();
        return {200, "{}"};
    }
    if (path == "/kv-txn") {
        const Json json = Json::parse(request.body);
        Json current = Json::array();
        bool fits = true;
        for (const Json &row : json.at("expected")) {
            const auto found = this->items.find(row.at("key").get<std::string>());
            const std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
            fits = fits && known == row.at("revision").get<std::uint64_t>();
            if (found != this->items.end())
                current.push_back(itemJson(found->first, found->second));
        }
        if (!fits)
            return {412, Json{{"items", current}}.dump()};
        for (const Json &row : json.at("writes")) {
            const auto lease = row.value("lease", std::uint64_t(0));
            if (lease != 0 && this->leases.count(lease) == 0)
                return {404, "{}"};
        }
        for (const Json &row : json.at("writes"))
            this->putLocked(row.at("key").get<std::string>(),
                            fromBase64(row.at("value").get<std::string>()),
                            row.value("lease", std::uint64_t(0)));
        for (const Json &key : json.at("deletes"))
            this->removeLocked(key.get<std::string>());
        return {200, Json{{"revision", this->revision}}.dump()};
    }
    return {404, "{}"};
}

void Store::serve(Connection &connection)
{
    Message request;
    while (connection.readHead(request, nowMs() + 120000)
           && connection.readBody(request, nowMs() + 10000)) {
        const bool isLost = this->silent;
        const auto [status, body] = isLost ? std::make_pair(0, std::string()) : this->answer(request);
        if (isLost || this->silent) {
            record("the store answers nothing to " + request.startLine);
            while (connection.ended == 0) {
                char bytes[1024];
                connection.read(bytes, sizeof(bytes), nowMs() + 1000);
            }
            return;
        }
        if (!connection.write("HTTP/1.1 " + std::to_string(status)
                              + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

Worker::Worker(Store &store, const Options &options, Run run)
    : options(options), store(store), run(std::move(run)),
      born(std::to_string(std::chrono::duration_cast<Ms>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count()))
{
    this->server = std::make_unique<Server>(
            options.address, [this](Connection &connection) { this->serve(connection); });
    this->beat();
    this->beats = std::thread([this] {
        for (int round = 1; !this->stopping; ++round) {
            sleepMs(100);
            // The store's entry changes when more than `seq` does, so a beat is no event.
            if (round % 12 == 0)
                this->beat();
        }
    });
}

Worker::~Worker()
{
    this->stopping = true;
    this->beats.join();
    this->server->stop();
}

void Worker::beat()
{
    if (++this->sequence > 1)
        return;
    this->store.put("servers/" + this->options.id,
                    Json{{"service", this->options.service},
                         {"address", this->options.address},
                         {"zone", this->options.zone},
                         {"version", "v1"},
                         {"slots", this->options.slots},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"seq", this->sequence},
                         {"born", std::stoull(this->born)}}
                            .dump());
}

std::string Worker::answerHead(int status, const Message &request, std::size_t length)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Answer")
           + "\r\nAttempt-Id: " + request.get("Attempt-Id")
           + "\r\nResponse-Seal: seal-" + request.get("Attempt-Id")
           + "\r\nContent-Length: " + std::to_string(length) + "\r\n";
}

void Worker::serve(Connection &connection)
{
    if (++this->connections > this->options.maxConnections) {
        --this->connections;
        connection.reset();
        return;
    }
    Message request;
    while (connection.readHead(request, nowMs() + 60000)
           && connection.readBody(request, nowMs() + 20000)) {
        if (request.target() == "/health") {
            if (!connection.write("HTTP/1.1 200 OK\r\nInstance-Id: " + this->options.id
                                  + "\r\nContent-Length: 0\r\n\r\n"))
                break;
            continue;
        }
        const std::string expected = request.get("Expect-Instance");
        if (!expected.empty() && expected != this->options.id) {
            if (!connection.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                                  + this->options.id + "\r\nContent-Length: 0\r\n\r\n"))
                break;
            continue;
        }
        bool isFull = false;
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            isFull = this->running >= this->options.slots && this->queued >= this->options.queue;
            if (!isFull) {
                ++this->queued;
                this->freed.wait(lock, [this] { return this->running < this->options.slots; });
                --this->queued;
                ++this->running;
            }
        }
        if (isFull) {
            record(this->options.id + " turns away " + request.get("Attempt-Id"));
            if (!connection.write("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "
                                  + request.get("Attempt-Id")
                                  + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                break;
            continue;
        }
        record(this->options.id + " runs " + request.get("Attempt-Id") + " ("
               + request.startLine + ", Tenant '" + request.get("Tenant") + "', Deadline-Ms "
               + request.get("Deadline-Ms") + ")");
        const bool isKept = this->run(request, connection);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            --this->running;
        }
        this->freed.notify_one();
        if (!isKept)
            break;
    }
    --this->connections;
}

Program::Program(const std::string &name, const std::string &folder, const std::string &command,
                 const std::string &templatePath, const std::map<std::string, std::string> &fields)
    : name(name), folder(folder), command(command), settings(folder + "/" + name + ".settings")
{
    std::ifstream file(templatePath);
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    for (const auto &[field, value] : fields) {
        const std::string mark = "{{" + field + "}}";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
            text.replace(at, mark.size(), value);
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        say("the template " + templatePath + " cannot be rendered");
        std::exit(2);
    }
    std::ofstream(this->settings) << text;
}

Program::~Program()
{
    if (this->process > 0 && !this->hasEnded()) {
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void Program::start()
{
    // The command of the deploy file, with the path of the settings file of this process.
    std::vector<std::string> words;
    std::istringstream stream(this->command);
    for (std::string word; stream >> word;) {
        static const std::string Flag = "--settings=";
        words.push_back(word.compare(0, Flag.size(), Flag) == 0 ? Flag + this->settings : word);
    }
    const std::string log = this->folder + "/" + this->name + ".log";
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string boot = "NUTMEGRILL_BOOT=" + this->settings;
    char *environment[] = {const_cast<char *>(boot.c_str()), nullptr};
    this->process = ::fork();
    if (this->process == 0) {
        const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
    std::ofstream(this->folder + "/" + this->name + ".pid") << this->process << "\n";
    record("started " + this->name);
}

void Program::signal(int number)
{
    record("signal " + std::to_string(number) + " to " + this->name);
    if (this->process > 0)
        ::kill(this->process, number);
}

bool Program::hasEnded()
{
    if (this->process <= 0)
        return true;
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) != this->process)
        return false;
    record(this->name + " has ended, status " + std::to_string(status));
    this->process = -1;
    return true;
}

std::unique_ptr<Entry> makeEntry(const Deployment &deployment, int number, const std::string &zone,
                                 const std::string &storeAddress, int internalPort)
{
    auto entry = std::make_unique<Entry>();
    entry->ip = loopback(number);
    const auto address = [&] { return entry->ip + ":" + std::to_string(freePort(entry->ip)); };
    entry->callers = address();
    entry->readiness = address();
    entry->directory = address();
    const std::string name = "front-" + zone + "-" + std::to_string(number);
    entry->program = std::make_unique<Program>(
            name, deployment.folder, deployment.entryCommand, "deploy/entry.settings",
            std::map<std::string, std::string>{
                    {"node", name},
                    {"zone", zone},
                    {"listen.front", entry->callers},
                    {"listen.ready", entry->readiness},
                    {"listen.directory", entry->directory},
                    {"ip", entry->ip},
                    {"internalPorts.0", std::to_string(internalPort)},
                    {"internalPorts.1", std::to_string(freePort(entry->ip))},
                    {"platform.address", storeAddress},
                    {"bounds.graceS", std::to_string(static_cast<int>(deployment.graceS))},
                    {"bounds.retryBudgetRatio", "0.2"},
                    {"bounds.budgetSlack", "90"},
                    {"bounds.budgetWindowS", "10"}});
    entry->program->start();
    return entry;
}

bool waitReady(const Entry &entry, double timeoutMs)
{
    const double until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (const auto connection = Connection::connect(entry.readiness)) {
            const Answer answer =
                    ask(*connection, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n", nowMs() + 500);
            if (answer.status == 200)
                return true;
        }
        sleepMs(50);
    }
    return false;
}

Answer ask(Connection &connection, const std::string &request, double untilMs)
{
    Answer answer;
    answer.sentAt = nowMs();
    connection.write(request);
    if (connection.readHead(answer.message, untilMs)) {
        answer.status = answer.message.status();
        answer.isWhole = connection.readBody(answer.message, untilMs);
    }
    answer.endedAt = nowMs();
    answer.end = answer.isWhole ? "whole"
                 : connection.ended == 1 ? "closed"
                 : connection.ended == 2 ? "reset"
                                         : "none";
    return answer;
}

std::vector<std::string> lookUp(const std::string &directory, const std::string &host)
{
    const auto connection = Connection::connect(directory);
    if (!connection)
        return {};
    const Answer answer = ask(*connection,
                              "GET /lookup?name=" + host
                                      + "&region=region-1&zone=zone-1 HTTP/1.1\r\nHost: directory\r\n\r\n",
                              nowMs() + 1000);
    if (answer.status != 200 || !answer.isWhole)
        return {};
    return Json::parse(answer.message.body).at("addresses").get<std::vector<std::string>>();
}

void finish(int code)
{
    std::fflush(stdout);
    // The threads of stand-ins may still wait.
    std::_Exit(code);
}

Arguments readArguments(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "arguments: FOLDER ENTRY_COMMAND RECORD TROUBLE\n");
        std::exit(2);
    }
    std::signal(SIGPIPE, SIG_IGN);
    openRecord(argv[3]);
    return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

} // namespace Review
