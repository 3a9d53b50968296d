// A group of three ranks plans its first change of map. The `prepare` orders of that change get no
// answer and are carried out late; all agents are killed meanwhile and started again, and other
// experts are in demand. Does a pass begin with two maps?
#include "Harness.h"

#include <csignal>
#include <fstream>
#include <set>

#include <nlohmann/json.hpp>

using namespace Review;
using Json = nlohmann::json;

namespace {

constexpr int Ranks = 3;
constexpr int Experts = 12;
constexpr int Spares = 3;
constexpr double PassMs = 50;
constexpr double CopyMs = 100;
/// Limits of the page: a late order is carried out 2 to 12 s later.
constexpr double MinLateMs = 2000;
constexpr double MaxLateMs = 12000;
constexpr double DownMs = 2000;
constexpr double EndMs = 30000;

using Lists = std::vector<std::vector<std::vector<int>>>; // by set and rank

Lists firstMap()
{
    Lists map(1, std::vector<std::vector<int>>(Ranks));
    for (int expert = 0; expert < Experts; ++expert)
        map[0][static_cast<std::size_t>(expert % Ranks)].push_back(expert);
    return map;
}

std::string text(const Lists &map)
{
    return Json(map).dump();
}

struct Rank
{
    std::uint64_t version = 0;
    Lists map = firstMap();
    std::uint64_t highest = 0;
    std::uint64_t copying = 0;
    double copiedAt = 0;
    Lists copied;
    std::optional<std::uint64_t> prepared;
    Lists preparedMap;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> armed;
    std::optional<std::uint64_t> held;
    std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(Experts, 0);
};

struct LateOrder
{
    int rank = 0;
    double arrivedAt = 0;
    Json order;
    bool isDone = false;
};

struct Group
{
    std::mutex mutex;
    std::vector<Rank> ranks = std::vector<Rank>(Ranks);
    std::uint64_t step = 0;
    /// Rank whose experts are in demand.
    int favourite = 0;
    /// Orders are late from the first `prepare` until the agents are killed.
    bool ordersAreLate = false;
    std::vector<LateOrder> late;
    int orders = 0;
    int changes = 0;
    int broken = 0;

    void finishCopies()
    {
        for (int number = 0; number < Ranks; ++number) {
            Rank &rank = this->ranks[static_cast<std::size_t>(number)];
            if (rank.copying == 0 || nowMs() < rank.copiedAt)
                continue;
            rank.prepared = rank.copying;
            rank.preparedMap = rank.copied;
            rank.copying = 0;
            record("rank " + std::to_string(number) + " has prepared version "
                   + std::to_string(*rank.prepared) + " " + text(rank.preparedMap));
        }
    }

    int carryOut(int number, const Json &order)
    {
        this->finishCopies();
        Rank &rank = this->ranks[static_cast<std::size_t>(number)];
        const std::string operation = order.at("operation");
        if (order.contains("epoch") && order.at("epoch") != 1)
            return 409;
        if (operation == "prepare") {
            const std::uint64_t version = order.at("version");
            const Lists map = order.at("map");
            std::set<int> known;
            for (const int expert : rank.map[0][static_cast<std::size_t>(number)])
                known.insert(expert);
            int fresh = 0;
            for (const int expert : map[0][static_cast<std::size_t>(number)])
                fresh += known.count(expert) == 0;
            if (version <= rank.highest || rank.armed || fresh > Spares)
                return 409;
            rank.highest = version;
            rank.prepared.reset();
            rank.copying = version;
            rank.copied = map;
            rank.copiedAt = nowMs() + CopyMs;
            return 202;
        }
        const std::uint64_t at = order.at("step");
        if (operation == "hold") {
            if (rank.held == at)
                return 200;
            if (at <= this->step || rank.held)
                return 409;
            rank.held = at;
            return 200;
        }
        if (operation == "go") {
            if (rank.held == at)
                rank.held.reset();
            return 200;
        }
        if (operation == "arm") {
            const std::uint64_t version = order.at("version");
            if (rank.armed == std::make_pair(version, at))
                return 200;
            if (rank.prepared != version || at <= this->step)
                return 409;
            rank.armed = {version, at};
            return 200;
        }
        return 400;
    }

    void pass()
    {
        this->finishCopies();
        const std::uint64_t next = this->step + 1;
        for (const Rank &rank : this->ranks) {
            if (rank.held == next)
                return;
        }
        this->step = next;
        bool hasChanged = false;
        for (Rank &rank : this->ranks) {
            if (rank.armed && rank.armed->second == next) {
                rank.version = rank.armed->first;
                rank.map = rank.preparedMap;
                rank.prepared.reset();
                rank.armed.reset();
                hasChanged = true;
            }
            for (int expert = 0; expert < Experts; ++expert)
                rank.counts[static_cast<std::size_t>(expert)] +=
                        expert % Ranks == this->favourite ? 90 : 10;
        }
        if (!hasChanged)
            return;
        ++this->changes;
        bool isOne = true;
        for (int number = 0; number < Ranks; ++number) {
            const Rank &rank = this->ranks[static_cast<std::size_t>(number)];
            isOne = isOne && rank.version == this->ranks[0].version
                    && rank.map == this->ranks[0].map;
            record("pass " + std::to_string(next) + " begins; rank " + std::to_string(number)
                   + " uses version " + std::to_string(rank.version) + " " + text(rank.map));
        }
        if (!isOne) {
            ++this->broken;
            say("MAP: pass " + std::to_string(next) + " begins with different maps");
        }
    }
};

std::string commandOf(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    bool isRole = false;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() == '[')
            isRole = line == "[roles." + role + "]";
        else if (isRole && line.compare(0, 7, "run = \"") == 0)
            return line.substr(7, line.rfind('"') - 7);
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    Store store(loopback(100) + ":" + std::to_string(freePort(loopback(100))));
    store.put("op/config",
              R"({"version":7,"routes":[{"name":"brief","hostname":"ficu95.example","prefix":"/brief/",)"
              R"("kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,)"
              R"("service":"drafting","attempts":2,"public":true,"sticky":true,"canResume":true,)"
              R"("targetItlMs":120}],"services":[{"name":"drafting","healthPath":"/health",)"
              R"("maxConnections":328,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,)"
              R"("engine":{"slots":12,"linkMbps":180000.0,"stride":5,"expertSets":1,"experts":12,)"
              R"("placements":8,"spares":3,"expertMb":780.0,"expertShare":0.85,"form_ms":600.0}}],)"
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
              R"("idleTimeoutMs":15000}})");
    Group group;
    group.ordersAreLate = arguments.trouble;
    std::vector<std::unique_ptr<Server>> engines;
    std::vector<std::string> addresses;
    for (int number = 0; number < Ranks; ++number) {
        const std::string ip = loopback(20 + number);
        addresses.push_back(ip + ":" + std::to_string(freePort(ip)));
        engines.push_back(std::make_unique<Server>(addresses.back(), [&, number](Connection &connection) {
            Message request;
            while (connection.readHead(request, nowMs() + 60000)
                   && connection.readBody(request, nowMs() + 5000)) {
                int status = 200;
                std::string body;
                bool isAnswered = true;
                {
                    const std::lock_guard<std::mutex> lock(group.mutex);
                    group.finishCopies();
                    Rank &rank = group.ranks[static_cast<std::size_t>(number)];
                    const std::string target = request.target();
                    if (target == "/report") {
                        Json json{{"stage", "prefill_decode"}, {"models", Json::array()},
                                  {"busy", false}, {"seq", group.orders}, {"queued", 0},
                                  {"running", 1}, {"kvUsed", 0}, {"kvTotal", 372000},
                                  {"handleIds", 0}, {"size", Ranks}, {"step", group.step},
                                  {"map", rank.version}, {"prepared", nullptr},
                                  {"armed", nullptr}, {"held", nullptr}, {"pace", 1.0}};
                        json["group"] = {{"name", "g-1"}, {"epoch", 1}, {"rank", number},
                                         {"state", "open"}};
                        if (rank.prepared)
                            json["prepared"] = *rank.prepared;
                        if (rank.armed)
                            json["armed"] = {{"version", rank.armed->first},
                                             {"step", rank.armed->second}};
                        if (rank.held)
                            json["held"] = *rank.held;
                        body = json.dump();
                    } else if (target == "/picked") {
                        body = Json{{"step", group.step}, {"epoch", 1}, {"counts", rank.counts}}
                                       .dump();
                    } else if (target.compare(0, 8, "/picked?") == 0) {
                        Json mine = Json::array();
                        mine.push_back(rank.map[0][static_cast<std::size_t>(number)]);
                        body = Json{{"step", group.step}, {"epoch", 1},
                                    {"map", {{"version", rank.version}, {"experts", mine}}},
                                    {"prepared", nullptr}}
                                       .dump();
                    } else if (target == "/order") {
                        const Json order = Json::parse(request.body);
                        ++group.orders;
                        if (group.ordersAreLate && order.at("operation") == "prepare") {
                            group.late.push_back({number, nowMs(), order, false});
                            isAnswered = false;
                            record("rank " + std::to_string(number) + " gets " + request.body
                                   + " and answers nothing: it is carried out late");
                        } else {
                            // One of the late orders happens to be carried out right before.
                            for (LateOrder &late : group.late) {
                                if (late.isDone || late.rank != number || number != Ranks - 1
                                    || order.at("operation") != "prepare"
                                    || nowMs() < late.arrivedAt + MinLateMs)
                                    continue;
                                late.isDone = true;
                                record("rank " + std::to_string(number) + " carries out the late "
                                       + late.order.dump() + ": "
                                       + std::to_string(group.carryOut(number, late.order)));
                            }
                            status = group.carryOut(number, order);
                            record("rank " + std::to_string(number) + " gets " + request.body + ": "
                                   + std::to_string(status));
                        }
                        body = "{}";
                    } else {
                        status = 404;
                    }
                }
                if (!isAnswered) {
                    char bytes[256];
                    while (connection.ended == 0 && connection.isOpen())
                        connection.read(bytes, sizeof(bytes), nowMs() + 500);
                    return;
                }
                if (!connection.write("HTTP/1.1 " + std::to_string(status)
                                      + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body))
                    return;
            }
        }));
        store.put("servers/i-" + std::to_string(number),
                  Json{{"service", "drafting"}, {"address", addresses.back()}, {"zone", "zone-1"},
                       {"version", "v1"}, {"slots", 12}, {"state", "ready"}, {"coldLeftMs", 0},
                       {"seq", 1}, {"born", 1700000000000}}
                          .dump());
    }
    const std::string command = commandOf("agent");
    const int internalPort = freePort(loopback(20));
    std::vector<std::unique_ptr<Program>> agents;
    for (int number = 0; number < Ranks; ++number) {
        const std::string ip = loopback(20 + number);
        const std::string name = "side-zone-1-" + std::to_string(number + 1);
        agents.push_back(std::make_unique<Program>(
                name, arguments.folder, command, "deploy/agent.settings",
                std::map<std::string, std::string>{
                        {"node", name},
                        {"ip", ip},
                        {"internalPorts.0", std::to_string(internalPort)},
                        {"internalPorts.1", std::to_string(freePort(ip))},
                        {"app", addresses[static_cast<std::size_t>(number)]},
                        {"service", "drafting"},
                        {"platform.address", store.address},
                        {"limits.linkMbps", "20.0"}}));
        agents.back()->start();
    }
    double killedAt = -1;
    double startedAt = -1;
    double nextPass = nowMs();
    while (nowMs() < EndMs) {
        sleepMs(2);
        std::unique_lock<std::mutex> lock(group.mutex);
        if (nowMs() >= nextPass) {
            nextPass += PassMs;
            group.pass();
        }
        for (LateOrder &late : group.late) {
            if (late.isDone || nowMs() < late.arrivedAt + MaxLateMs)
                continue;
            late.isDone = true;
            record("rank " + std::to_string(late.rank) + " carries out the late "
                   + late.order.dump() + ": "
                   + std::to_string(group.carryOut(late.rank, late.order)));
        }
        std::set<int> reached;
        for (const LateOrder &late : group.late)
            reached.insert(late.rank);
        if (killedAt < 0 && reached.size() == Ranks) {
            killedAt = nowMs();
            group.ordersAreLate = false;
            group.favourite = 1;
            record("other experts are in demand");
            lock.unlock();
            for (const auto &agent : agents)
                agent->signal(SIGKILL);
        } else if (killedAt >= 0 && startedAt < 0 && nowMs() >= killedAt + DownMs) {
            startedAt = nowMs();
            lock.unlock();
            for (const auto &agent : agents) {
                agent->hasEnded();
                agent->start();
            }
        } else if (group.broken > 0) {
            break;
        }
    }
    agents.clear();
    say("orders " + std::to_string(group.orders) + ", late " + std::to_string(group.late.size())
        + ", changes of map " + std::to_string(group.changes) + ", passes with different maps "
        + std::to_string(group.broken));
    if (group.changes == 0)
        finish(2);
    say(group.broken > 0 ? "MAP is broken" : "MAP holds");
    finish(group.broken > 0 ? 1 : 0);
}
