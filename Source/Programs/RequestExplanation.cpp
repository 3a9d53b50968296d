#include "Programs/RequestExplanation.h"

#include <cstdint>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

// A continuation on another agent runs under the same id with "~" and a number.
bool matchesRequest(const std::string &fullId, const std::string &requestId)
{
    const std::string id = fullId.substr(0, fullId.find('~'));
    const std::size_t slash = id.find('/');
    return id == requestId
           || (slash != std::string::npos
               && id.compare(slash + 1, std::string::npos, requestId) == 0);
}

std::string describeStarts(const Json &row)
{
    std::string names;
    for (const Json &agent : row.value("agents", Json::array()))
        names += (names.empty() ? " on " : ", ") + agent.get<std::string>();
    const auto starts = row.value("starts", std::uint64_t(0));
    return std::to_string(starts) + (starts == 1 ? " start" : " starts") + names;
}

std::string describeRequest(const Json &row)
{
    return row.value("request_id", "") + ", account " + row.value("account", "") + ", service "
           + row.value("service", "") + ": ";
}

std::string describeOpen(const Json &row)
{
    std::string line = describeRequest(row) + row.value("phase", "") + ", next event "
                       + std::to_string(row.value("next_event", std::uint64_t(0)));
    if (row.contains("starts"))
        line += ", " + describeStarts(row);
    if (row.contains("tail_bytes"))
        line += ", " + std::to_string(row.value("tail_bytes", std::uint64_t(0)))
                + " bytes of the answer kept";
    if (row.value("paused", false))
        line += ", paused for a slow reader";
    return line;
}

std::string describeFinished(const Json &row)
{
    return describeRequest(row) + "finished with " + row.value("code", "") + ", run "
           + row.value("run", "") + ", " + describeStarts(row);
}

} // namespace

std::vector<std::string> RequestExplanation::describe(const std::string &dump,
                                                      const std::string &requestId)
{
    std::vector<std::string> lines;
    const Json state = Json::parse(dump, nullptr, false);
    if (!state.is_object())
        return lines;
    const std::string process = state.value("entry", state.value("agent", ""));
    for (const Json &row : state.value("requests", Json::array())) {
        if (matchesRequest(row.value("request_id", ""), requestId))
            lines.push_back(process + ": " + describeOpen(row));
    }
    for (const Json &row : state.value("recent", Json::array())) {
        if (matchesRequest(row.value("request_id", ""), requestId))
            lines.push_back(process + ": " + describeFinished(row));
    }
    return lines;
}

} // namespace Nutmegrill
