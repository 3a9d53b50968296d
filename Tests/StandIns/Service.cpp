#include "Core/Hash.h"
#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <cstdlib>
#include <fstream>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

/// Simulates a plain service: POST /records executes a record, GET /balances/NAME reads a balance.
/// It does not deduplicate: a record that arrives twice is executed twice, and counted.
class ServiceStandIn : public StandIn
{
public:
    explicit ServiceStandIn(EventLoop &loop) : StandIn(loop, "stand-in-service") {}

protected:
    void started() override
    {
        std::ifstream input(this->ledger);
        for (std::string line; std::getline(input, line);) {
            const Json row = Json::parse(line);
            this->apply(row.at("key").get<std::string>(), row.at("record"));
        }
    }

    void serve(const HttpServer::Request &request, const Json &body) override
    {
        static const std::string balances = "/balances/";
        // load-caller without an entry sends the path with its /v1/services/NAME prefix.
        if (request.method == "POST" && request.path.ends_with("/records")) {
            this->receive(request, body);
        } else if (request.path.compare(0, balances.size(), balances) == 0) {
            ++this->reads;
            const std::string name = request.path.substr(balances.size());
            const auto found = this->balances.find(name);
            const std::int64_t balance = found == this->balances.end() ? 0 : found->second;
            this->reply(request.id, 200, {{"name", name}, {"balance", balance}});
        } else if (request.path == "/executions") {
            this->reply(request.id, 200, this->executions);
        } else {
            throw StandInError(404, "not found");
        }
    }

    void callerDisconnected(RequestId) override { ++this->gone; }

    Json counters() const override
    {
        std::uint64_t repeated = 0;
        std::uint64_t highest = 0;
        for (const auto &[key, count] : this->executions) {
            repeated += count - 1;
            highest = std::max(highest, count);
        }
        return {{"received", this->received},
                {"executed", this->executed},
                {"distinct", this->executions.size()},
                {"repeated", repeated},
                {"highest", highest},
                {"reads", this->reads},
                {"running", this->running},
                {"highestRunning", this->highestRunning},
                {"gone", this->gone}};
    }

private:
    void receive(const HttpServer::Request &request, const Json &body)
    {
        ++this->received;
        if (this->dieBefore > 0 && --this->dieBefore == 0)
            std::_Exit(70);
        ++this->running;
        this->highestRunning = std::max(this->highestRunning, this->running);
        std::string key(request.header("idempotency-key"));
        if (key.empty())
            key = "body " + std::to_string(hash64(request.body));
        // Half of the delay passes before the execution and half after it.
        const std::chrono::milliseconds half(this->delayMs / 2);
        this->loop.after(half, [this, id = request.id, key, body, half] {
            const std::uint64_t receipt = this->execute(key, body);
            if (this->dieAfter > 0 && --this->dieAfter == 0)
                std::_Exit(70);
            this->loop.after(half, [this, id, key, receipt] { this->answer(id, key, receipt); });
        });
    }

    std::uint64_t execute(const std::string &key, const Json &record)
    {
        this->apply(key, record);
        if (!this->ledger.empty()) {
            std::ofstream output(this->ledger, std::ios::app);
            output << Json{{"key", key}, {"record", record}}.dump() << std::endl;
        }
        return this->executed;
    }

    void apply(const std::string &key, const Json &record)
    {
        ++this->executed;
        ++this->executions[key];
        if (record.is_object())
            this->balances[record.value("name", std::string())] +=
                    record.value("amount", std::int64_t(1));
    }

    void answer(RequestId request, const std::string &key, std::uint64_t receipt)
    {
        --this->running;
        if (this->neverAnswer > 0) {
            --this->neverAnswer;
            return;
        }
        this->reply(request, 201, {{"receipt", receipt}, {"executions", this->executions[key]}});
    }

    std::int64_t &delayMs = this->numberSetting("delay-ms", 0, "processing time of a record");
    std::int64_t &dieBefore = this->numberSetting(
            "die-before", 0, "the process ends before it executes the Nth record");
    std::int64_t &dieAfter = this->numberSetting(
            "die-after", 0, "the process ends after it has executed the Nth record");
    std::int64_t &neverAnswer = this->numberSetting(
            "never-answer", 0, "the next N records are executed and not answered");
    std::string &ledger =
            this->textSetting("ledger", "", "file that preserves the records over restarts");

    std::map<std::string, std::uint64_t> executions;
    std::map<std::string, std::int64_t> balances;
    std::uint64_t received = 0;
    std::uint64_t executed = 0;
    std::uint64_t reads = 0;
    std::uint64_t running = 0;
    std::uint64_t highestRunning = 0;
    std::uint64_t gone = 0;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<ServiceStandIn>(loop);
}

} // namespace Nutmegrill
