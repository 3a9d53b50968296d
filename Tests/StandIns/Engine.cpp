#include "Core/Hash.h"
#include "Net/EventLoop.h"
#include "StandIns/DeterministicText.h"
#include "StandIns/PrefixCache.h"
#include "StandIns/StandIn.h"

#include <algorithm>
#include <cstdlib>
#include <deque>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

/// Simulates a model engine with continuous batching: each step generates one token for every
/// running request. It crashes when its running requests or their KV memory exceed the limits.
class EngineStandIn : public StandIn
{
public:
    explicit EngineStandIn(EventLoop &loop) : StandIn(loop, "stand-in-engine") {}

protected:
    void started() override
    {
        this->startIncarnation();
        static constexpr std::chrono::milliseconds ReportPeriod(20);
        this->reportTimer = this->loop.every(ReportPeriod, [this] { this->recordReport(); });
    }

    void serve(const HttpServer::Request &request, const Json &body) override
    {
        static const std::string ordersPrefix = "/orders/";
        if (this->loop.now() < this->downUntil)
            this->server->abort(request.id);
        else if (request.path == "/v1/completions" || request.path == "/v1/chat/completions")
            this->startRequest(request, body);
        else if (request.path == "/load")
            this->reply(request.id, 200, this->loadReport());
        else if (request.path == "/cache-events")
            this->reply(request.id, 200,
                        this->cache.events(request.query, this->incarnation(), this->loop.now()));
        else if (request.path == "/v1/models")
            this->reply(request.id, 200, {{"data", {{{"id", this->model}}}}});
        else if (request.path == "/health")
            this->reply(request.id, 200, Json::object());
        else if (request.path.compare(0, ordersPrefix.size(), ordersPrefix) == 0)
            this->handleOrder(request, body, request.path.substr(ordersPrefix.size()));
        else
            throw StandInError(404, "not found");
    }

    void faultsChanged(const Json &changes) override
    {
        if (changes.contains("coldMs"))
            this->becomeCold();
        if (changes.contains("cacheBytes") || changes.contains("cacheEventLagMs")
            || changes.contains("loseCacheEvents"))
            this->configureCache();
        if (std::exchange(this->fallNow, 0) != 0)
            this->loop.after(std::chrono::milliseconds(1), [this] { this->crash(); });
    }

    void callerDisconnected(RequestId request) override
    {
        if (this->running.erase(request) != 0)
            ++this->cancelled;
    }

    Json counters() const override
    {
        return {{"starts", this->starts},
                {"completions", this->completions},
                {"cancelled", this->cancelled},
                {"running", this->running.size()},
                {"highestRunning", this->highestRunning},
                {"highestRunningCold", this->highestRunningCold},
                {"falls", this->crashes},
                {"tokens", this->tokens},
                {"prefillTokens", this->prefillTokens},
                {"cachedTokens", this->cachedTokens},
                {"kvHighWater", this->kvHighWater},
                {"incarnation", this->incarnation()},
                {"cold", this->isCold()},
                {"fence", this->highestFence},
                {"orders", this->orders}};
    }

private:
    struct RunningRequest
    {
        bool chat = false;
        bool stream = false;
        std::int64_t priority = 0;
        /// Prompt and answer so far.
        std::string text;
        std::size_t promptLength = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t prefillLeft = 0;
        std::uint64_t generated = 0;
        std::uint64_t maxTokens = 0;
    };

    bool isCold() const { return this->loop.now() < this->coldUntil; }
    std::string incarnation() const { return std::to_string(this->currentIncarnation); }

    void startIncarnation()
    {
        static constexpr std::int64_t IncarnationsPerStart = 1000;
        const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
        this->currentIncarnation =
                this->currentIncarnation == 0
                        ? std::chrono::duration_cast<std::chrono::milliseconds>(wallClock).count()
                                  * IncarnationsPerStart
                        : this->currentIncarnation + 1;
        this->configureCache();
        this->cache.clear(this->loop.now());
        this->becomeCold();
    }

    void configureCache()
    {
        this->cache.configure({this->cacheBytes / this->kvBytesPerToken,
                               std::chrono::milliseconds(this->cacheEventLagMs),
                               this->loseCacheEvents});
    }

    void becomeCold()
    {
        this->coldUntil = this->loop.now() + std::chrono::milliseconds(this->coldMs);
    }

    void startRequest(const HttpServer::Request &request, const Json &body)
    {
        RunningRequest row;
        row.chat = request.path == "/v1/chat/completions";
        row.stream = body.value("stream", false);
        row.priority = body.value("priority", std::int64_t(0));
        row.maxTokens = body.value("max_tokens", std::uint64_t(16));
        if (!row.chat) {
            row.text = body.at("prompt").get<std::string>();
            row.promptTokens = countTokens(row.text);
        } else {
            std::string user;
            for (const Json &message : body.at("messages")) {
                const std::string content = message.at("content").get<std::string>();
                row.promptTokens += countTokens(content);
                if (message.at("role") == "user")
                    user = content;
            }
            const Json &last = body.at("messages").back();
            row.text = user;
            if (body.value("continue_final_message", false) && last.at("role") == "assistant")
                row.text += last.at("content").get<std::string>();
        }
        row.promptLength = row.text.size();
        const std::uint64_t cached = this->cache.lookUp(row.text, this->loop.now());
        this->cachedTokens += cached;
        row.prefillLeft = row.promptTokens - std::min(row.promptTokens, cached);
        ++this->starts;
        const bool requestedCrash = row.text.find("crash-engine") != std::string::npos;
        if (row.stream)
            this->server->startReply(request.id, 200, {{"Content-Type", "text/event-stream"}});
        this->running.emplace(request.id, std::move(row));
        this->highestRunning = std::max(this->highestRunning, this->running.size());
        if (this->isCold())
            this->highestRunningCold = std::max(this->highestRunningCold, this->running.size());
        const std::int64_t maxRunning = this->isCold() ? this->coldLimit : this->limit;
        if (requestedCrash || static_cast<std::int64_t>(this->running.size()) > maxRunning
            || this->kvBytesUsed() > this->kvBytes)
            this->crash();
        else
            this->scheduleStep();
    }

    std::int64_t kvBytesUsed() const
    {
        std::uint64_t usedTokens = 0;
        for (const auto &[id, row] : this->running)
            usedTokens += row.promptTokens + row.generated;
        return static_cast<std::int64_t>(usedTokens) * this->kvBytesPerToken;
    }

    void scheduleStep()
    {
        if (std::exchange(this->stepScheduled, true))
            return;
        std::int64_t duration =
                this->stepUs
                + this->stepUsPerRequest * static_cast<std::int64_t>(this->running.size());
        if (this->isCold())
            duration *= this->coldFactor;
        // Steps are scheduled in whole milliseconds; the remainder is carried over.
        this->stepRemainder += duration;
        const std::int64_t wait = this->stepRemainder / 1000;
        this->stepRemainder %= 1000;
        this->loop.after(std::chrono::milliseconds(wait), [this] { this->step(); });
    }

    void step()
    {
        this->stepScheduled = false;
        this->prefill();
        std::vector<RequestId> finished;
        for (auto &[id, row] : this->running) {
            // A request is paused while its client has too many unread bytes.
            const bool paused =
                    static_cast<std::int64_t>(this->server->pendingBytes(id)) > this->pauseBytes;
            if (row.prefillLeft == 0 && !paused && this->advance(id, row))
                finished.push_back(id);
        }
        this->kvHighWater = std::max(this->kvHighWater, this->kvBytesUsed());
        for (const RequestId id : finished)
            this->running.erase(id);
        if (this->kvBytesUsed() > this->kvBytes)
            this->crash();
        else if (!this->running.empty())
            this->scheduleStep();
    }

    // Prefills up to a fixed number of prompt tokens per step, lowest priority number first.
    void prefill()
    {
        std::vector<std::pair<std::int64_t, RequestId>> order;
        for (const auto &[id, row] : this->running) {
            if (row.prefillLeft > 0)
                order.emplace_back(row.priority, id);
        }
        std::sort(order.begin(), order.end());
        auto budget = static_cast<std::uint64_t>(this->prefillTokensPerStep);
        for (const auto &[priority, id] : order) {
            RunningRequest &row = this->running.at(id);
            const std::uint64_t chunk = std::min(budget, row.prefillLeft);
            row.prefillLeft -= chunk;
            budget -= chunk;
            this->prefillTokens += chunk;
        }
    }

    // Generates the next token of a request; returns true if the request is complete.
    bool advance(RequestId id, RunningRequest &row)
    {
        if (row.generated == 0)
            this->cache.insert(row.text, this->loop.now());
        const bool more = row.generated < row.maxTokens;
        if (more) {
            const std::string token = nextToken(row.text);
            row.text += token;
            ++row.generated;
            ++this->tokens;
            if (row.stream)
                this->sendEvent(id, row, token, false);
        }
        if (row.generated < row.maxTokens)
            return false;
        ++this->completions;
        if (row.stream) {
            this->sendEvent(id, row, "", true);
            this->server->sendChunk(id, "data: [DONE]\n\n");
            this->server->endReply(id);
        } else {
            const std::string answer = row.text.substr(row.promptLength);
            this->reply(id, 200, this->toJson(id, row, answer, true));
        }
        return true;
    }

    void sendEvent(RequestId id, const RunningRequest &row, const std::string &text, bool last)
    {
        this->server->sendChunk(id, "data: " + this->toJson(id, row, text, last).dump() + "\n\n");
    }

    Json toJson(RequestId id, const RunningRequest &row, const std::string &text, bool last) const
    {
        Json choice{{"index", 0}, {"finish_reason", nullptr}};
        if (last)
            choice["finish_reason"] = "length";
        if (!row.chat)
            choice["text"] = text;
        else
            choice[row.stream ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
        Json json{{"id", "gen-" + std::to_string(id)},
                  {"object", row.chat ? "chat.completion" : "text_completion"},
                  {"model", this->model},
                  {"choices", Json::array({choice})}};
        if (row.stream)
            json["object"] = row.chat ? "chat.completion.chunk" : "text_completion";
        if (last)
            json["usage"] = {{"prompt_tokens", row.promptTokens},
                             {"completion_tokens", row.generated},
                             {"total_tokens", row.promptTokens + row.generated}};
        return json;
    }

    // Ends the process if fallMs is 0. Otherwise resets every connection, stays down for fallMs and
    // restarts cold.
    void crash()
    {
        ++this->crashes;
        if (this->fallMs == 0)
            std::_Exit(70);
        this->downUntil = this->loop.now() + std::chrono::milliseconds(this->fallMs);
        for (const auto &[id, row] : std::exchange(this->running, {}))
            this->server->abort(id);
        this->startIncarnation();
        this->coldUntil += std::chrono::milliseconds(this->fallMs);
    }

    struct Report
    {
        Instant taken;
        Json json;
    };

    void recordReport()
    {
        this->reports.push_back({this->loop.now(),
                                 {{"running", this->running.size()},
                                  {"kvBytesUsed", this->kvBytesUsed()},
                                  {"kvBytes", this->kvBytes},
                                  {"incarnation", this->incarnation()}}});
        const Instant visible = this->loop.now() - std::chrono::milliseconds(this->loadLagMs);
        while (this->reports.size() > 1 && this->reports[1].taken <= visible)
            this->reports.pop_front();
    }

    Json loadReport()
    {
        if (this->loadLagMs == 0 || this->reports.empty())
            this->recordReport();
        return this->loadLagMs == 0 ? this->reports.back().json : this->reports.front().json;
    }

    void handleOrder(const HttpServer::Request &request, const Json &body, const std::string &kind)
    {
        const std::int64_t fence = body.value("fence", std::int64_t(0));
        if (this->checkFence != 0 && fence < this->highestFence)
            throw StandInError(409, "fencing number is lower than the last one");
        this->highestFence = std::max(this->highestFence, fence);
        ++this->orders[kind];
        this->reply(request.id, 200, {{"fence", this->highestFence}});
    }

    std::string &model = this->textSetting("model", "stand-in-model", "name of the model");
    std::int64_t &stepUs = this->numberSetting("step-us", 5000, "base length of a step");
    std::int64_t &stepUsPerRequest = this->numberSetting(
            "step-us-per-request", 100, "added to a step for each running request");
    std::int64_t &prefillTokensPerStep =
            this->numberSetting("prefill-tokens-per-step", 512, "prompt tokens per step");
    std::int64_t &limit =
            this->numberSetting("limit", 64, "running requests above which it crashes");
    std::int64_t &coldLimit = this->numberSetting("cold-limit", 4, "the same limit while cold");
    std::int64_t &coldMs =
            this->numberSetting("cold-ms", 0, "time that the engine is cold after a start");
    std::int64_t &coldFactor =
            this->numberSetting("cold-factor", 4, "factor on the length of a step while cold");
    std::int64_t &kvBytes = this->numberSetting("kv-bytes", std::int64_t(1) << 30, "KV memory");
    std::int64_t &kvBytesPerToken =
            this->numberSetting("kv-bytes-per-token", 1024, "KV memory of a token");
    std::int64_t &cacheBytes =
            this->numberSetting("cache-bytes", 16 << 20, "memory of the prefix cache");
    std::int64_t &cacheEventLagMs =
            this->numberSetting("cache-event-lag-ms", 0, "delay of cache events");
    std::int64_t &loseCacheEvents =
            this->numberSetting("lose-cache-events", 0, "every Nth cache event is lost (0: none)");
    std::int64_t &pauseBytes = this->numberSetting("pause-bytes", 16 << 10,
                                                   "unread bytes above which a request is paused");
    std::int64_t &loadLagMs = this->numberSetting("load-lag-ms", 0, "age of load reports");
    std::int64_t &checkFence = this->numberSetting("check-fence", 1, "0: ignores fencing numbers");
    std::int64_t &fallMs = this->numberSetting(
            "fall-ms", 0, "downtime after a crash; 0: a crash ends the process");
    std::int64_t &fallNow = this->numberSetting("fall-now", 0, "1: crashes once");

    PrefixCache cache;
    std::map<RequestId, RunningRequest> running;
    std::deque<Report> reports;
    std::map<std::string, std::uint64_t> orders;
    std::unique_ptr<EventLoop::Timer> reportTimer;
    Instant coldUntil;
    Instant downUntil;
    std::int64_t currentIncarnation = 0;
    std::int64_t stepRemainder = 0;
    std::int64_t highestFence = 0;
    std::int64_t kvHighWater = 0;
    bool stepScheduled = false;
    std::size_t highestRunning = 0;
    std::size_t highestRunningCold = 0;
    std::uint64_t starts = 0;
    std::uint64_t completions = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t cachedTokens = 0;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<EngineStandIn>(loop);
}

} // namespace Nutmegrill
