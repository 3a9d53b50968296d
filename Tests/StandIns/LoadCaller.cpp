#include "Core/RandomSource.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "StandIns/DeterministicText.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

struct Settings
{
    std::vector<std::string> entries;
    std::vector<std::string> accounts;
    std::string mode;
    std::string service;
    std::string model;
    double rate = 0;
    std::size_t concurrency = 0;
    double seconds = 0;
    std::uint64_t count = 0;
    std::uint64_t maxTokens = 0;
    std::uint64_t promptWords = 0;
    std::uint64_t prompts = 0;
    std::uint64_t seed = 0;
    std::int64_t limitMs = 0;
    std::int64_t silenceSeconds = 0;
    std::int64_t pauseMs = 0;
};

/// Request outcomes and latencies of one client account, or of all accounts.
struct Summary
{
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0; ///< final answer says that the request was not run
    std::uint64_t broken = 0;  ///< no complete answer within the time limit
    std::uint64_t wrong = 0;   ///< complete, but the text is not the expected one
    std::uint64_t unknown = 0; ///< record with an unknown outcome
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::vector<std::int64_t> firstMicroseconds;
    std::vector<std::int64_t> gapMicroseconds;

    static Json percentiles(std::vector<std::int64_t> values)
    {
        std::sort(values.begin(), values.end());
        Json json{{"count", values.size()}};
        for (const int percent : {50, 95, 99}) {
            const std::size_t index = values.size() * static_cast<std::size_t>(percent) / 100;
            if (!values.empty())
                json["p" + std::to_string(percent)] = static_cast<double>(values[index]) / 1000;
        }
        return json;
    }

    Json toJson() const
    {
        return {{"sent", this->sent},
                {"whole", this->whole},
                {"refused", this->refused},
                {"broken", this->broken},
                {"wrong", this->wrong},
                {"unknown", this->unknown},
                {"retries", this->retries},
                {"resumes", this->resumes},
                {"first_token_ms", percentiles(this->firstMicroseconds)},
                {"between_tokens_ms", percentiles(this->gapMicroseconds)}};
    }
};

/// One request with all its attempts.
struct Exchange
{
    std::uint64_t number = 0;
    std::string account;
    std::string accountKey;
    std::string requestId;
    std::string prompt;
    Instant start;
    Instant deadline;
    Instant lastToken;

    // State of the current attempt.
    HttpClient::CallId call = 0;
    int status = 0;
    milliseconds retryAfter{0};
    std::string input;

    std::string text;
    std::string lastEventId;
    bool complete = false;
    bool ended = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Load generator that follows the client protocol: it fetches the list of entries and caches it
/// for its lifetime, retries requests that were not run, and resumes interrupted streams.
class LoadCaller
{
public:
    LoadCaller(EventLoop &loop, Settings settings)
        : loop(loop), client(loop), settings(std::move(settings)), random(this->settings.seed),
          entries(this->settings.entries),
          stopAt(loop.now()
                 + milliseconds(static_cast<std::int64_t>(this->settings.seconds * 1000))),
          nextStart(loop.now())
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        this->runId = std::to_string(std::chrono::duration_cast<milliseconds>(now).count());
    }

    void start()
    {
        static constexpr milliseconds Period(2);
        this->fetchEntries(0);
        this->timer = this->loop.every(Period, [this] { this->tick(); });
    }

    /// Starts no more requests; open requests continue to their end.
    void stop() { this->stopAt = this->loop.now(); }

    Json summary() const
    {
        Json json = this->total.toJson();
        for (const auto &[account, row] : this->perAccount)
            json["accounts"][account] = row.toJson();
        return json;
    }

private:
    bool isRecords() const { return this->settings.mode == "records"; }

    void fetchEntries(std::size_t attempt)
    {
        static constexpr milliseconds RetryPeriod(200);
        // Falls back to the addresses from the command line when no known entry answers.
        std::vector<std::string> known = this->entries;
        known.insert(known.end(), this->settings.entries.begin(), this->settings.entries.end());
        HttpClient::Request request;
        request.path = "/v1/entries";
        request.idleTimeout = std::chrono::seconds(2);
        this->client.fetch(known[attempt % known.size()], request,
                           [this, attempt](int status, const std::string &body) {
                               const Json answer = Json::parse(body, nullptr, false);
                               if (status != 200 || !answer.is_object()) {
                                   this->loop.after(RetryPeriod, [this, attempt] {
                                       this->fetchEntries(attempt + 1);
                                   });
                                   return;
                               }
                               this->updateEntries(answer);
                           });
    }

    // {"entries": [{"address": "IP:port"}, ...], "keep_seconds": 10}
    void updateEntries(const Json &answer)
    {
        std::vector<std::string> found;
        for (const Json &entry : answer.value("entries", Json::array()))
            found.push_back(entry.is_string() ? entry.get<std::string>()
                                              : entry.at("address").get<std::string>());
        if (!found.empty())
            this->entries = std::move(found);
        this->ready = true;
        const milliseconds lifetime(
                static_cast<std::int64_t>(answer.value("keep_seconds", 10.0) * 1000));
        this->loop.after(std::max(lifetime, milliseconds(100)), [this] { this->fetchEntries(0); });
    }

    void tick()
    {
        const Instant now = this->loop.now();
        while (!this->open.empty() && this->open.begin()->second->deadline <= now) {
            const ExchangePtr late = this->open.begin()->second;
            this->client.cancel(late->call);
            this->finish(late, this->isRecords() ? &Summary::unknown : &Summary::broken);
        }
        while (this->ready && now < this->stopAt && this->open.size() < this->settings.concurrency
               && (this->settings.count == 0 || this->total.sent < this->settings.count)
               && (this->settings.rate == 0 || this->nextStart <= now)) {
            if (this->settings.rate > 0) {
                // Poisson arrivals.
                const double seconds = -std::log1p(-this->random.unit()) / this->settings.rate;
                this->nextStart += Instant::duration(static_cast<std::int64_t>(seconds * 1e6));
            }
            this->startRequest(now);
        }
        const bool allSent = this->settings.count != 0 && this->total.sent >= this->settings.count;
        if (this->open.empty() && (now >= this->stopAt || allSent))
            this->loop.stop();
    }

    void startRequest(Instant now)
    {
        const auto exchange = std::make_shared<Exchange>();
        exchange->number = this->total.sent++;
        const std::string &account =
                this->settings.accounts[exchange->number % this->settings.accounts.size()];
        const std::size_t colon = std::min(account.find(':'), account.size());
        exchange->account = account.substr(0, colon);
        exchange->accountKey = account.substr(std::min(colon + 1, account.size()));
        exchange->requestId = "load-" + this->runId + "-" + std::to_string(exchange->number);
        const std::uint64_t promptIndex = this->settings.prompts == 0
                                                  ? exchange->number
                                                  : this->random.below(this->settings.prompts);
        exchange->prompt = this->promptText(promptIndex);
        exchange->start = now;
        exchange->deadline = now + milliseconds(this->settings.limitMs);
        ++this->perAccount[exchange->account].sent;
        this->open[exchange->number] = exchange;
        this->send(exchange);
    }

    std::string promptText(std::uint64_t promptIndex) const
    {
        std::string text = "prompt " + std::to_string(this->settings.seed) + "-"
                           + std::to_string(promptIndex) + " ";
        return text + expectedAnswer(text, this->settings.promptWords);
    }

    HttpClient::Request request(const Exchange &exchange) const
    {
        HttpClient::Request request;
        request.method = "POST";
        request.idleTimeout = std::chrono::seconds(this->settings.silenceSeconds);
        request.headers = {{"Content-Type", "application/json"},
                           {"X-Request-Id", exchange.requestId}};
        if (!exchange.accountKey.empty())
            request.headers.emplace_back("Authorization", "Bearer " + exchange.accountKey);
        if (!exchange.lastEventId.empty())
            request.headers.emplace_back("Last-Event-ID", exchange.lastEventId);
        Json body{{"model", this->settings.model},
                  {"max_tokens", this->settings.maxTokens},
                  {"temperature", 0},
                  {"stream", true}};
        if (this->isRecords()) {
            request.path = "/v1/services/" + this->settings.service + "/records";
            request.headers.emplace_back("Idempotency-Key", exchange.requestId);
            body = {{"name", exchange.account}, {"amount", 1}, {"number", exchange.number}};
        } else if (this->settings.mode == "chat") {
            request.path = "/v1/chat/completions";
            body["messages"] = {{{"role", "user"}, {"content", exchange.prompt}}};
        } else {
            request.path = "/v1/completions";
            body["prompt"] = exchange.prompt;
        }
        request.body = body.dump();
        return request;
    }

    void send(const ExchangePtr &exchange)
    {
        exchange->status = 0;
        exchange->retryAfter = milliseconds(100);
        exchange->input.clear();
        // Without an event id the entry cannot resume, and the answer restarts from the first
        // token.
        if (exchange->lastEventId.empty())
            exchange->text.clear();
        HttpClient::Handlers handlers;
        handlers.onHead = [exchange](int status, const HttpClient::Headers &headers) {
            exchange->status = status;
            for (const auto &[name, value] : headers) {
                if (name == "retry-after")
                    exchange->retryAfter = milliseconds(
                            static_cast<std::int64_t>(std::strtod(value.c_str(), nullptr) * 1000));
            }
        };
        handlers.onData = [this, exchange](std::string_view data) {
            this->receive(exchange, data);
        };
        handlers.onEnd = [this, exchange] { this->attemptEnded(exchange); };
        handlers.onFailure = [this, exchange](HttpClient::Failure) {
            this->attemptFailed(exchange);
        };
        exchange->call = this->client.call(this->entries[this->preferred % this->entries.size()],
                                           this->request(*exchange), std::move(handlers));
    }

    void receive(const ExchangePtr &exchange, std::string_view data)
    {
        exchange->input.append(data);
        if (exchange->ended || exchange->status != 200 || this->isRecords())
            return;
        for (std::size_t end = exchange->input.find('\n'); end != std::string::npos;
             end = exchange->input.find('\n')) {
            const std::string line = exchange->input.substr(0, end);
            exchange->input.erase(0, end + 1);
            if (line.compare(0, 3, "id:") == 0)
                exchange->lastEventId = line.substr(line.find_first_not_of(' ', 3));
            else if (line.compare(0, 6, "data: ") == 0)
                this->receiveEvent(exchange, line.substr(6));
        }
        // Simulates a slow reader: reads one chunk, then pauses the connection.
        if (this->settings.pauseMs > 0 && !exchange->ended) {
            this->client.pause(exchange->call, true);
            this->loop.after(milliseconds(this->settings.pauseMs),
                             [this, call = exchange->call] { this->client.pause(call, false); });
        }
    }

    void receiveEvent(const ExchangePtr &exchange, const std::string &data)
    {
        if (data == "[DONE]") {
            exchange->complete = true;
            return;
        }
        const Json event = Json::parse(data, nullptr, false);
        if (!event.is_object() || !event.contains("choices"))
            return;
        const Json &choice = event["choices"].at(0);
        const std::string token = choice.contains("delta")
                                          ? choice["delta"].value("content", std::string())
                                          : choice.value("text", std::string());
        if (token.empty())
            return;
        Summary &account = this->perAccount[exchange->account];
        const Instant now = this->loop.now();
        const bool first = exchange->text.empty();
        const auto span = (now - (first ? exchange->start : exchange->lastToken)).count();
        for (Summary *row : {&this->total, &account})
            (first ? row->firstMicroseconds : row->gapMicroseconds).push_back(span);
        exchange->lastToken = now;
        exchange->text += token;
    }

    void attemptEnded(const ExchangePtr &exchange)
    {
        if (exchange->complete) {
            const std::string expected = expectedAnswer(exchange->prompt, this->settings.maxTokens);
            this->finish(exchange, exchange->text == expected ? &Summary::whole : &Summary::wrong);
        } else if (this->isRecords() && exchange->status >= 200 && exchange->status < 300) {
            const auto span = (this->loop.now() - exchange->start).count();
            this->total.firstMicroseconds.push_back(span);
            this->perAccount[exchange->account].firstMicroseconds.push_back(span);
            this->finish(exchange, &Summary::whole);
        } else if (exchange->status == 200) {
            this->attemptFailed(exchange);
        } else {
            this->attemptRejected(exchange);
        }
    }

    void attemptRejected(const ExchangePtr &exchange)
    {
        const Json answer = Json::parse(exchange->input, nullptr, false);
        std::string run = "unknown";
        if (answer.is_object() && answer.contains("error") && answer["error"].is_object())
            run = answer["error"].value("run", run);
        const bool retryable = exchange->status == 429 || exchange->status >= 500
                               || (exchange->status == 409 && run == "running");
        const bool inTime = this->loop.now() + exchange->retryAfter < exchange->deadline;
        if (retryable && inTime)
            this->retry(exchange, &Summary::retries);
        else if (run == "not_run")
            this->finish(exchange, &Summary::refused);
        else
            this->finish(exchange, this->isRecords() ? &Summary::unknown : &Summary::broken);
    }

    void attemptFailed(const ExchangePtr &exchange)
    {
        if (exchange->complete)
            this->attemptEnded(exchange);
        else if (this->loop.now() < exchange->deadline)
            this->retry(exchange, exchange->status == 200 ? &Summary::resumes : &Summary::retries);
        else
            this->finish(exchange, this->isRecords() ? &Summary::unknown : &Summary::broken);
    }

    // Starts no new requests after a connection failure until an entry has returned the current
    // list of entries.
    void handleUnreachableEntry()
    {
        if (!std::exchange(this->ready, false))
            return;
        this->entries = this->settings.entries;
        this->fetchEntries(static_cast<std::size_t>(this->preferred) + 1);
    }

    // Sends the request again, to the next entry.
    void retry(const ExchangePtr &exchange, std::uint64_t Summary::*counter)
    {
        ++(this->total.*counter);
        ++(this->perAccount[exchange->account].*counter);
        ++this->preferred;
        if (exchange->status == 0)
            this->handleUnreachableEntry();
        this->loop.after(exchange->retryAfter, [this, exchange] {
            if (!exchange->ended)
                this->send(exchange);
        });
    }

    void finish(const ExchangePtr &exchange, std::uint64_t Summary::*outcome)
    {
        if (std::exchange(exchange->ended, true))
            return;
        ++(this->total.*outcome);
        ++(this->perAccount[exchange->account].*outcome);
        this->open.erase(exchange->number);
    }

    EventLoop &loop;
    HttpClient client;
    Settings settings;
    RandomSource random;
    std::vector<std::string> entries;
    std::size_t preferred = 0;
    bool ready = false;
    std::string runId;
    Instant stopAt;
    Instant nextStart;
    /// Open requests by number. All have the same time limit, so the first has the earliest
    /// deadline.
    std::map<std::uint64_t, ExchangePtr> open;
    Summary total;
    std::map<std::string, Summary> perAccount;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace

} // namespace Nutmegrill

// Runs the load and prints a summary as one line of JSON when all requests have ended.
int main(int argc, char **argv)
{
    using namespace Nutmegrill;
    namespace po = boost::program_options;
    std::signal(SIGPIPE, SIG_IGN);
    Settings settings;
    po::options_description flags;
    auto add = flags.add_options();
    add("entry", po::value(&settings.entries)->required(), "IP:port of an entry; repeatable");
    add("account", po::value(&settings.accounts)->required(), "NAME:KEY; repeatable");
    add("mode", po::value(&settings.mode)->default_value("completions"),
        "completions, chat or records");
    add("service", po::value(&settings.service)->default_value(""), "service of the records");
    add("model", po::value(&settings.model)->default_value("stand-in-model"), "model");
    add("rate", po::value(&settings.rate)->default_value(0),
        "requests per second; 0: limited by concurrency only");
    add("concurrency", po::value(&settings.concurrency)->default_value(8),
        "maximum number of open requests");
    add("seconds", po::value(&settings.seconds)->default_value(5),
        "time during which requests are started");
    add("count", po::value(&settings.count)->default_value(0),
        "maximum number of requests; 0: no limit");
    add("max-tokens", po::value(&settings.maxTokens)->default_value(32), "tokens of an answer");
    add("prompt-words", po::value(&settings.promptWords)->default_value(32), "words of a prompt");
    add("prompts", po::value(&settings.prompts)->default_value(0),
        "number of different prompts; 0: each request has its own");
    add("seed", po::value(&settings.seed)->default_value(1), "random seed of arrivals and prompts");
    add("limit-ms", po::value(&settings.limitMs)->default_value(30000),
        "time limit of a request with all its attempts");
    add("silence-s", po::value(&settings.silenceSeconds)->default_value(10),
        "idle timeout of a connection");
    add("pause-ms", po::value(&settings.pauseMs)->default_value(0),
        "slow reader: pause after each chunk");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "load-caller: " << error.what() << "\n" << flags;
        return EXIT_FAILURE;
    }
    EventLoop loop;
    LoadCaller caller(loop, settings);
    caller.start();
    const auto terminate = loop.onSignal(SIGTERM, [&caller] { caller.stop(); });
    loop.run();
    std::cout << caller.summary().dump() << std::endl;
    return EXIT_SUCCESS;
}
