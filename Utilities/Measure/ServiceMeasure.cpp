#include "Measure/ServiceSimulation.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

using namespace Nutmegrill;
using Json = nlohmann::ordered_json;
using Policy = EntrySettings::RoutePolicy;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr double DefaultRequestsPerSecond = 45;
constexpr double DefaultRecordsPerSecond = 4;

struct Run
{
    std::string name;
    Scenario scenario;
};

double percentile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const auto rank = std::min(values.size() - 1,
                               static_cast<std::size_t>(part * static_cast<double>(values.size())));
    const auto found = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), found, values.end());
    return *found;
}

double roundToTenths(double value)
{
    return static_cast<double>(static_cast<std::int64_t>(value * 10 + 0.5)) / 10;
}

double toMilliseconds(Instant::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void addPercentiles(Json &row, const std::string &name, std::vector<double> values)
{
    row[name + "P50"] = roundToTenths(percentile(values, 0.5));
    row[name + "P95"] = roundToTenths(percentile(values, 0.95));
    row[name + "P99"] = roundToTenths(percentile(values, 0.99));
}

// Returns [second, p95 of the time to first token, p95 of the wait at the entry] in milliseconds
// for each second of the run.
Json timeline(const std::vector<Call> &calls)
{
    std::map<std::int64_t, std::pair<std::vector<double>, std::vector<double>>> seconds;
    for (const Call &call : calls) {
        if (call.slowReader || call.record || call.firstArrival == Instant())
            continue;
        auto &[first, wait] = seconds
                [std::chrono::floor<std::chrono::seconds>(call.sent).time_since_epoch().count()];
        first.push_back(toMilliseconds(call.firstArrival - call.sent));
        wait.push_back(toMilliseconds(call.dispatched - call.sent));
    }
    Json rows = Json::array();
    for (auto &[second, values] : seconds)
        rows.push_back({second, roundToTenths(percentile(values.first, 0.95)),
                        roundToTenths(percentile(values.second, 0.95))});
    return rows;
}

Json evaluate(const Run &run)
{
    ServiceSimulation world(run.scenario);
    world.run();
    std::vector<double> first;
    std::vector<double> smallAccountFirst;
    std::vector<double> entryWaits;
    std::vector<double> engineWaits;
    std::vector<double> refusal;
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t refused = 0;
    std::size_t wrong = 0;
    std::size_t lostRecords = 0;
    std::size_t slowWhole = 0;
    Json failures = Json::object();
    for (const Call &call : world.calls) {
        wrong += call.wrong ? 1 : 0;
        if (call.slowReader) {
            slowWhole += call.ended && !call.wrong ? 1 : 0;
            continue;
        }
        ++sent;
        whole += call.ended && !call.wrong ? 1 : 0;
        if (!call.failure.empty()) {
            failures[call.failure] = failures.value(call.failure, 0) + 1;
            refusal.push_back(toMilliseconds(call.lastArrival - call.sent));
        }
        const bool notRun = !call.failure.empty() && call.run == RunState::NotRun;
        refused += notRun ? 1 : 0;
        if (call.record) {
            lostRecords += !call.ended && !notRun ? 1 : 0;
            continue;
        }
        if (call.firstArrival == Instant())
            continue;
        first.push_back(toMilliseconds(call.firstArrival - call.sent));
        if (call.account >= "account3")
            smallAccountFirst.push_back(first.back());
        entryWaits.push_back(toMilliseconds(call.dispatched - call.sent));
        engineWaits.push_back(toMilliseconds(call.firstArrival - call.engineStart));
    }
    Json row;
    row["run"] = run.name;
    row["sent"] = sent;
    row["wholePercent"] =
            roundToTenths(100.0 * static_cast<double>(whole) / static_cast<double>(sent));
    row["refused"] = refused;
    row["otherFailures"] = sent - whole - refused;
    row["wrongAnswers"] = wrong;
    row["lostRecords"] = lostRecords;
    row["duplicateRecords"] = world.duplicateRecords;
    addPercentiles(row, "firstTokenMs", first);
    addPercentiles(row, "smallAccountsFirstTokenMs", smallAccountFirst);
    addPercentiles(row, "waitAtEntryMs", entryWaits);
    addPercentiles(row, "engineFirstTokenMs", engineWaits);
    addPercentiles(row, "betweenTokensMs", world.tokenGaps);
    addPercentiles(row, "refusalMs", refusal);
    row["engineFalls"] = world.engineCrashes;
    row["worstColdLoad"] = roundToTenths(world.maxColdLoad);
    if (run.scenario.takeOut.count() > 0) {
        const double secondsToStop =
                toMilliseconds(world.lastWorkInDomain - Instant(run.scenario.takeOut)) / 1000;
        row["secondsToNoNewWork"] = std::max(0.0, secondsToStop);
        row["secondsToFullShare"] =
                world.fullShareTime == Instant()
                        ? -1.0
                        : toMilliseconds(world.fullShareTime - Instant(run.scenario.bringBack))
                                  / 1000;
    }
    if (run.scenario.slowReaders > 0) {
        row["slowWhole"] = slowWhole;
        row["mostReaderKiB"] = world.maxReaderBytes / 1024;
        row["mostTotalKiB"] = world.maxTotalBytes / 1024;
        row["mostProcessKiB"] = world.maxProcessBytes / 1024;
    }
    row["failures"] = failures;
    row["secondFirstTokenWaitP95"] = timeline(world.calls);
    return row;
}

void print(const Json &row)
{
    std::printf("%-34s %6d %6.1f%% %5d %5d | %6.0f %6.0f %6.0f | %6.0f | %5.1f %5.1f %5.1f | %5d "
                "%5.1f",
                row["run"].get<std::string>().c_str(), row["sent"].get<int>(),
                row["wholePercent"].get<double>(), row["refused"].get<int>(),
                row["otherFailures"].get<int>(), row["firstTokenMsP50"].get<double>(),
                row["firstTokenMsP95"].get<double>(), row["firstTokenMsP99"].get<double>(),
                row["smallAccountsFirstTokenMsP95"].get<double>(),
                row["betweenTokensMsP50"].get<double>(), row["betweenTokensMsP95"].get<double>(),
                row["betweenTokensMsP99"].get<double>(), row["engineFalls"].get<int>(),
                row["worstColdLoad"].get<double>());
    if (row.contains("secondsToNoNewWork"))
        std::printf(" | %6.3f %5.1f", row["secondsToNoNewWork"].get<double>(),
                    row["secondsToFullShare"].get<double>());
    if (row.contains("mostReaderKiB"))
        std::printf(" | %7d %7d %7d", row["mostReaderKiB"].get<int>(),
                    row["mostProcessKiB"].get<int>(), row["mostTotalKiB"].get<int>());
    std::printf("\n");
}

void printHeader()
{
    std::printf("%-34s %6s %7s %5s %5s | %20s | %6s | %17s | %5s %5s\n", "", "sent", "whole", "not",
                "other", "first token ms", "small", "between tokens ms", "falls", "cold");
    std::printf("%-34s %6s %7s %5s %5s | %6s %6s %6s | %6s | %5s %5s %5s | %5s %5s"
                " | no new work s, full share s, or KiB of a reader, a process, all\n",
                "", "", "", "run", "", "p50", "p95", "p99", "p95", "p50", "p95", "p99", "", "load");
}

Scenario deployment(bool gleamway, bool quick)
{
    Scenario scenario;
    scenario.seed = Seed;
    if (gleamway) {
        scenario.domains = {"qld-north", "qld-central", "qld-south"};
        scenario.latency = std::chrono::microseconds(1500);
    } else {
        scenario.domains = {"amman-west", "amman-east", "zarqa"};
        scenario.latency = std::chrono::microseconds(1000);
    }
    scenario.requestsPerSecond = DefaultRequestsPerSecond;
    scenario.recordsPerSecond = DefaultRecordsPerSecond;
    scenario.duration = std::chrono::seconds(quick ? 40 : 60);
    return scenario;
}

void addServiceRuns(std::vector<Run> &runs, bool quick)
{
    static const std::vector<std::pair<std::string, Policy>> baselines = {
            {"round robin", Policy::RoundRobin},
            {"least reported", Policy::LeastReported},
            {"power of two", Policy::PowerOfTwo}};
    for (const bool gleamway : {true, false}) {
        const std::string place = gleamway ? "Gleamway" : "Association";
        for (const double load : {1.0, 1.5, 2.0, 10.0}) {
            if (quick && load == 2.0)
                continue;
            Scenario scenario = deployment(gleamway, quick);
            scenario.requestsPerSecond *= load;
            scenario.recordsPerSecond *= load;
            scenario.takeOut = std::chrono::seconds(10);
            scenario.bringBack = std::chrono::seconds(20);
            const std::string name =
                    place + " x" + std::to_string(load).substr(0, load < 10 ? 3 : 2) + " ";
            runs.push_back({name + "nutmegrill", scenario});
            if (quick && (!gleamway || load > 2))
                continue;
            scenario.credits = false;
            for (const auto &[policyName, policy] : baselines) {
                scenario.policy = policy;
                runs.push_back({name + policyName, scenario});
            }
        }
    }
}

void addReaderRuns(std::vector<Run> &runs, bool quick)
{
    for (const bool backpressure : {true, false}) {
        for (const std::uint32_t readers : {100U, 300U, 1000U}) {
            Scenario scenario = deployment(true, quick);
            scenario.duration = std::chrono::seconds(quick ? 50 : 90);
            scenario.slowReaders = readers;
            scenario.backpressure = backpressure;
            runs.push_back(
                    {"slow readers " + std::to_string(readers) + (backpressure ? "" : " unbounded"),
                     scenario});
        }
    }
}

void addFairnessRuns(std::vector<Run> &runs, bool quick)
{
    Scenario scenario = deployment(true, quick);
    runs.push_back({"fairness: no overload", scenario});
    scenario.firstAccountFactor = 10;
    scenario.requestsPerSecond *= 0.75 + 0.25 * scenario.firstAccountFactor;
    runs.push_back({"fairness: one account x10", scenario});
    scenario.fairShares = false;
    runs.push_back({"fairness: one account x10, no queue", scenario});
}

// Deployment of two engines that start cold, as in the process tests.
void addTwoEngineRuns(std::vector<Run> &runs)
{
    Scenario scenario = deployment(true, true);
    scenario.domains = {"north", "south"};
    scenario.entries = 2;
    scenario.modelServers = 2;
    scenario.plainServers = 2;
    scenario.requestsPerSecond = 40;
    scenario.stepBase = std::chrono::microseconds(5000);
    scenario.stepPerSequence = std::chrono::microseconds(0);
    scenario.coldBatchCapacity = 2;
    scenario.startCold = true;
    scenario.minTokens = 24;
    scenario.maxTokens = 24;
    scenario.duration = std::chrono::seconds(30);
    runs.push_back({"two engines, start", scenario});
    scenario.takeOut = std::chrono::seconds(10);
    scenario.bringBack = std::chrono::seconds(14);
    runs.push_back({"two engines, start and take-out", scenario});
}

std::vector<Json> evaluateAll(const std::vector<Run> &runs, std::size_t threads)
{
    std::vector<Json> rows(runs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::future<void>> workers;
    for (std::size_t index = 0; index < threads; ++index) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t run = next++; run < runs.size(); run = next++)
                rows[run] = evaluate(runs[run]);
        }));
    }
    for (std::future<void> &worker : workers)
        worker.get();
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("measure-service");
    std::string json;
    std::string only;
    std::size_t threads = 4;
    options.add_options()("help", "show the options")("quick", "shorter runs")(
            "json", po::value(&json), "file for the figures")(
            "only", po::value(&only), "run only the runs whose names contain this text")(
            "threads", po::value(&threads), "runs at the same time");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    const bool quick = values.count("quick") != 0;
    std::vector<Run> runs;
    addServiceRuns(runs, quick);
    addReaderRuns(runs, quick);
    addFairnessRuns(runs, quick);
    addTwoEngineRuns(runs);
    std::erase_if(runs, [&](const Run &run) { return run.name.find(only) == std::string::npos; });
    std::printf("measure-service: seed %llu, %s runs\n", static_cast<unsigned long long>(Seed),
                quick ? "quick" : "full");
    const std::vector<Json> rows = evaluateAll(runs, threads);
    printHeader();
    for (const Json &row : rows)
        print(row);
    if (!json.empty())
        std::ofstream(json) << Json{{"seed", Seed}, {"quick", quick}, {"runs", rows}}.dump(2)
                            << '\n';
    return 0;
}
