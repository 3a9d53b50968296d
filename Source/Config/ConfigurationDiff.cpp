#include "Config/ConfigurationDiff.h"

#include "Config/ConfigurationCodec.h"

#include <array>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<const char *, const char *>, 5> Kinds{
        {{"Place", "places"},
         {"Service", "services"},
         {"ModelGroup", "modelGroups"},
         {"ClientAccount", "clientAccounts"},
         {"Route", "routes"}}};

// Maps the objects of a JSON list by name.
std::map<std::string, Json> rowsByName(const Json &list)
{
    std::map<std::string, Json> rows;
    for (const Json &row : list)
        rows.emplace(row.at("name").get<std::string>(), row);
    return rows;
}

// Whether a list holds named objects, which are compared by name instead of by position.
bool hasNamedRows(const Json &value)
{
    return value.is_array() && !value.empty() && value.front().is_object()
           && value.front().contains("name");
}

void diffFields(const std::string &label, const Json &before, const Json &after,
                std::vector<std::string> &lines);

void diffRows(const std::string &kind, const Json &before, const Json &after,
              std::vector<std::string> &lines)
{
    const auto old = rowsByName(before);
    const auto fresh = rowsByName(after);
    for (const auto &[name, row] : old) {
        if (fresh.count(name) == 0)
            lines.push_back("- " + kind + " " + name);
    }
    for (const auto &[name, row] : fresh) {
        const auto found = old.find(name);
        if (found == old.end())
            lines.push_back("+ " + kind + " " + name);
        else
            diffFields(kind + " " + name, found->second, row, lines);
    }
}

void diffFields(const std::string &label, const Json &before, const Json &after,
                std::vector<std::string> &lines)
{
    for (const auto &[field, value] : after.items()) {
        const Json &old = before.at(field);
        if (old == value)
            continue;
        if (hasNamedRows(old) || hasNamedRows(value))
            diffRows(label + ": " + field, old, value, lines);
        else
            lines.push_back("~ " + label + ": " + field + " " + old.dump() + " -> " + value.dump());
    }
}

} // namespace

std::vector<std::string> diffConfigurations(const Configuration &before, const Configuration &after)
{
    const Json old = Json::parse(encodeConfiguration(before));
    const Json fresh = Json::parse(encodeConfiguration(after));
    std::vector<std::string> lines;
    for (const auto &[kind, list] : Kinds)
        diffRows(kind, old.at(list), fresh.at(list), lines);
    return lines;
}

} // namespace Nutmegrill
