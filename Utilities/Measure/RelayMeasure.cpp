// Measures queueing, rejection and placement of requests by relaying entries: runs load patterns in
// virtual time with the current policy and with baseline policies.

#include "Relay/BaselinePolicies.h"
#include "Relay/LoadSimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

using namespace Nutmegrill;

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = LoadSimulation::Fault;

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint32_t DefaultSeeds = 8;
constexpr std::uint32_t QuickSeeds = 2;
/// Arrival rate under high load, relative to the usual rate.
constexpr double HighLoad = 1.3;

struct Pattern
{
    const char *name;
    double load;
    std::vector<LoadSimulation::Disruption> disruptions;
};

std::vector<Pattern> patterns()
{
    const milliseconds start = seconds(6);
    return {{"usual", 1, {}},
            {"busy", HighLoad, {}},
            {"everyone at once x1.5", 1, {{Fault::LoadSpike, start, seconds(4), 1.5 * HighLoad}}},
            {"everyone at once x3", 1, {{Fault::LoadSpike, start, seconds(4), 3}}},
            {"one account x8", 1, {{Fault::HeavyAccount, start, seconds(5), 8}}},
            {"impatient callers",
             1,
             {{Fault::LoadSpike, start, seconds(4), 2},
              {Fault::ImmediateRepeats, start, seconds(4), 0.4}}},
            {"callers leave early", HighLoad, {{Fault::EarlyDisconnects, start, seconds(4), 0.4}}},
            {"uneven steps 1 s", HighLoad, {{Fault::SlowSteps, start, seconds(1), 1.8}}},
            {"group away 2.2 s", 1, {{Fault::GroupStall, start, milliseconds(2200), 1}}},
            {"group away 3.6 s, busy",
             HighLoad,
             {{Fault::GroupStall, start, milliseconds(3600), 1}}},
            {"group forms 2 s, busy",
             HighLoad,
             {{Fault::GroupReforming, start, milliseconds(2000), 1}}},
            {"group forms 4 s", 1, {{Fault::GroupReforming, start, milliseconds(4000), 1}}},
            {"a third of plain gone",
             1,
             {{Fault::PlainServersUnreachable, start, seconds(5), 0.3}}},
            {"a third of plain grey", 1, {{Fault::PlainServersFlaky, start, seconds(5), 0.3}}},
            {"all restarted, busy",
             HighLoad,
             {{Fault::EntriesRestarted, start, milliseconds(700), 1},
              {Fault::GroupReforming, start, milliseconds(2200), 1}}}};
}

struct Policy
{
    const char *name;
    RelayPolicy policy;
};

std::vector<Policy> policies()
{
    return {{"nutmegrill", {}},
            {"version before", BaselinePolicies::previousVersion()},
            {"round robin", BaselinePolicies::roundRobin()},
            {"least reported load", BaselinePolicies::leastReportedLoad()},
            {"power of two choices", BaselinePolicies::powerOfTwoChoices()},
            {"first come first served", BaselinePolicies::firstComeFirstServed()}};
}

/// Results of one pattern and policy: sums, means and maxima over the seeds.
struct Row
{
    LoadSimulation::Tally all;
    double worstWindow = 0;
    double worstKind = 0;
    double worstAccount = 0;
    std::uint32_t repeats = 0;
    std::int64_t longestHold = 0;
    std::vector<LoadSimulation::Tally> bySecond;
};

void add(LoadSimulation::Tally &sum, const LoadSimulation::Tally &part)
{
    sum.counted += part.counted;
    sum.inTime += part.inTime;
    sum.late += part.late;
    sum.refused += part.refused;
    sum.failed += part.failed;
}

Row measure(const Pattern &pattern, const RelayPolicy &policy, std::uint32_t seeds)
{
    Row row;
    for (std::uint32_t number = 0; number < seeds; ++number) {
        LoadSimulation::Options options;
        options.seed = FirstSeed + number;
        options.load = pattern.load;
        options.policy = policy;
        options.disruptions = pattern.disruptions;
        const LoadSimulation::Result result = LoadSimulation(options).run();
        add(row.all, result.all);
        row.worstWindow += result.worstWindow / seeds;
        row.worstKind += result.worstKind / seeds;
        row.worstAccount += result.worstAccount / seeds;
        row.repeats += result.repeats;
        row.longestHold = std::max(row.longestHold, result.longestHold.count());
        row.bySecond.resize(result.bySecond.size());
        for (std::size_t second = 0; second < result.bySecond.size(); ++second)
            add(row.bySecond[second], result.bySecond[second]);
    }
    return row;
}

/// Returns one character per second: the score of its requests in tenths, `#` for the full score.
std::string plot(const std::vector<LoadSimulation::Tally> &bySecond)
{
    static constexpr int Tenths = 10;
    std::string line;
    for (const LoadSimulation::Tally &tally : bySecond) {
        if (tally.counted == 0)
            continue;
        const int tenths = static_cast<int>(tally.score() * Tenths + 0.5);
        line += tenths == Tenths ? '#' : static_cast<char>('0' + tenths);
    }
    return line;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("measure-relay");
    std::string jsonPath;
    description.add_options()("help", "show this help")("quick", "fewer seeds")(
            "json", options::value(&jsonPath), "write the figures to this file");
    options::variables_map parsed;
    try {
        options::store(options::parse_command_line(argc, argv, description), parsed);
        options::notify(parsed);
    } catch (const options::error &error) {
        std::cerr << "measure-relay: " << error.what() << "\n";
        return 2;
    }
    if (parsed.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    const std::uint32_t seeds = parsed.count("quick") != 0 ? QuickSeeds : DefaultSeeds;
    std::printf("measure-relay: seeds %llu to %llu\n", static_cast<unsigned long long>(FirstSeed),
                static_cast<unsigned long long>(FirstSeed + seeds - 1));
    std::printf("%-24s %-24s %6s %6s %6s %6s %6s | %6s %6s %7s %8s %7s | %s\n", "pattern", "policy",
                "owed", "inTime", "late", "refus", "fail", "worth", "worst2", "account", "repeats",
                "hold ms", "worth of each second in tenths");
    Json figures = Json::array();
    for (const Pattern &pattern : patterns()) {
        for (const Policy &policy : policies()) {
            const Row row = measure(pattern, policy.policy, seeds);
            const auto share = [&row](std::uint32_t part) {
                return 100.0 * part / row.all.counted;
            };
            std::printf("%-24s %-24s %6u %5.1f%% %5.1f%% %5.1f%% %5.1f%% | %6.3f %6.3f %7.3f %8u "
                        "%7lld | %s\n",
                        pattern.name, policy.name, row.all.counted, share(row.all.inTime),
                        share(row.all.late), share(row.all.refused), share(row.all.failed),
                        row.all.score(), row.worstWindow, row.worstAccount, row.repeats / seeds,
                        static_cast<long long>(row.longestHold), plot(row.bySecond).c_str());
            figures.push_back({{"pattern", pattern.name},
                               {"policy", policy.name},
                               {"owed", row.all.counted},
                               {"inTime", row.all.inTime},
                               {"late", row.all.late},
                               {"refused", row.all.refused},
                               {"failed", row.all.failed},
                               {"worstTwoSeconds", row.worstWindow},
                               {"worstKind", row.worstKind},
                               {"worstAccount", row.worstAccount},
                               {"repeats", row.repeats},
                               {"longestHoldMilliseconds", row.longestHold}});
        }
    }
    if (!jsonPath.empty())
        std::ofstream(jsonPath) << figures.dump(1) << "\n";
    return 0;
}
