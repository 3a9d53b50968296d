#include "Config/ConfigurationComparison.h"

#include "Config/ConfigurationCodec.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

/// Whether a change of a field from \a before to \a after takes something away.
using IsNarrowed = bool (*)(const Json &before, const Json &after);

bool always(const Json & /*before*/, const Json & /*after*/)
{
    return true;
}

bool isLower(const Json &before, const Json &after)
{
    return after < before;
}

bool isHigher(const Json &before, const Json &after)
{
    return before < after;
}

// For limits whose value 0 means that there is none.
bool isLowerLimit(const Json &before, const Json &after)
{
    return before == 0 || (after != 0 && after < before);
}

bool isSwitchedOff(const Json &before, const Json & /*after*/)
{
    return before == true;
}

bool losesItem(const Json &before, const Json &after)
{
    return std::any_of(before.begin(), before.end(), [&after](const Json &item) {
        return std::find(after.begin(), after.end(), item) == after.end();
    });
}

// An account without a list may use every service.
bool losesService(const Json &before, const Json &after)
{
    return before.empty() || losesItem(before, after);
}

// A target is lost when the next list lacks its service or gives it weight 0.
bool losesTarget(const Json &before, const Json &after)
{
    const auto isServed = [](const Json &targets, const Json &service) {
        return std::any_of(targets.begin(), targets.end(), [&service](const Json &target) {
            return target.at("service") == service && target.at("weight") != 0;
        });
    };
    return std::any_of(before.begin(), before.end(), [&](const Json &target) {
        return target.at("weight") != 0 && !isServed(after, target.at("service"));
    });
}

bool losesDomain(const Json &before, const Json &after)
{
    return std::any_of(before.begin(), before.end(), [&after](const Json &domain) {
        return std::none_of(after.begin(), after.end(), [&domain](const Json &other) {
            return other.at("name") == domain.at("name")
                   && (other.at("out") == false || domain.at("out") == true);
        });
    });
}

// Idempotent requests may run again, those of the other kinds may not or only if resumable.
bool losesRetries(const Json &before, const Json & /*after*/)
{
    return before == "idempotent";
}

// The priority of an account overrides that of the route; 0 is the highest.
bool losesPriority(const Json &before, const Json &after)
{
    return before.is_number() && (after.is_null() || before < after);
}

/// Rules by kind and field. Changes of other fields take nothing away.
const std::map<std::pair<std::string_view, std::string_view>, IsNarrowed> &rules()
{
    static const std::map<std::pair<std::string_view, std::string_view>, IsNarrowed> rows{
            {{"Place", "failureDomains"}, losesDomain},
            {{"Service", "kind"}, always},
            {{"Service", "model"}, always},
            {{"Service", "failureDomains"}, losesItem},
            {{"Service", "warmRequests"}, isLower},
            {{"Service", "coldRequests"}, isLower},
            {{"Service", "coldSeconds"}, isHigher},
            {{"Service", "kvBytes"}, isLowerLimit},
            {{"Service", "kvBytesPerToken"}, isHigher},
            {{"Service", "calls"}, losesItem},
            {{"Service", "maxConnections"}, isLowerLimit},
            {{"Service", "coldRequestsPerSecond"}, isLowerLimit},
            {{"ModelGroup", "service"}, always},
            {{"ModelGroup", "failureDomain"}, always},
            {{"ModelGroup", "ranks"}, isLower},
            {{"ModelGroup", "slotsPerRank"}, isLower},
            {{"ClientAccount", "weight"}, isLower},
            {{"ClientAccount", "services"}, losesService},
            {{"ClientAccount", "maxQueued"}, isLower},
            {{"ClientAccount", "bufferBytes"}, isLower},
            {{"ClientAccount", "priority"}, losesPriority},
            {{"Route", "host"}, always},
            {{"Route", "pathPrefix"}, always},
            {{"Route", "kind"}, losesRetries},
            {{"Route", "targets"}, losesTarget},
            {{"Route", "timeout"}, isLower},
            {{"Route", "maxRuns"}, isLower},
            {{"Route", "priority"}, isHigher},
            {{"Route", "isPublic"}, isSwitchedOff},
            {{"Route", "isResumable"}, isSwitchedOff},
            {{"CallerLimits", "headerBytes"}, isLower},
            {{"CallerLimits", "bodyBytes"}, isLower},
            {{"CallerLimits", "headerTime"}, isLower},
            {{"CallerLimits", "idleTime"}, isLower}};
    return rows;
}

bool isNarrowed(const std::string &kind, const std::string &field, const Json &before,
                const Json &after)
{
    const auto rule = rules().find({kind, field});
    return rule != rules().end() && rule->second(before, after);
}

// All keys of an account; a key may move between the two fields during a replacement.
std::vector<std::string> keysOf(const Json &account)
{
    auto keys = account.at("furtherKeyHashes").get<std::vector<std::string>>();
    keys.push_back(account.at("keyHash").get<std::string>());
    return keys;
}

bool losesKey(const Json &before, const Json &after)
{
    return losesItem(Json(keysOf(before)), Json(keysOf(after)));
}

void compareObject(const std::string &kind, const std::string &name, const Json &before,
                   const Json &after, std::vector<ObjectChange> &changes)
{
    if (before == after)
        return;
    ObjectChange change;
    change.kind = kind;
    change.name = name;
    for (const auto &[field, value] : after.items()) {
        const Json &old = before.at(field);
        if (old == value)
            continue;
        const bool isKey = field == "keyHash" || field == "furtherKeyHashes";
        const bool narrowed = isKey ? losesKey(before, after) : isNarrowed(kind, field, old, value);
        change.fields.push_back({field, old.dump(), value.dump(), narrowed});
        if (narrowed)
            change.action = ObjectChange::Action::Narrowed;
    }
    changes.push_back(std::move(change));
}

std::map<std::string, const Json *> rowsByName(const Json &list)
{
    std::map<std::string, const Json *> rows;
    for (const Json &row : list)
        rows.emplace(row.at("name").get<std::string>(), &row);
    return rows;
}

void compareRows(const std::string &kind, const Json &before, const Json &after,
                 std::vector<ObjectChange> &changes)
{
    using Action = ObjectChange::Action;
    const auto old = rowsByName(before);
    const auto next = rowsByName(after);
    for (const auto &[name, row] : old) {
        if (next.count(name) == 0)
            changes.push_back({Action::Removed, kind, name, {}});
    }
    for (const auto &[name, row] : next) {
        if (const auto found = old.find(name); found != old.end())
            compareObject(kind, name, *found->second, *row, changes);
        else
            changes.push_back({Action::Added, kind, name, {}});
    }
}

// Removes the rows that are equal in both lists, so that a set with many objects is encoded only as
// far as it differs.
template <typename Row>
void dropEqualRows(std::vector<Row> &before, std::vector<Row> &after)
{
    std::unordered_map<std::string_view, const Row *> old;
    for (const Row &row : before)
        old.emplace(row.name, &row);
    std::unordered_set<std::string> equal;
    for (const Row &row : after) {
        if (const auto found = old.find(row.name); found != old.end() && *found->second == row)
            equal.insert(row.name);
    }
    const auto isEqual = [&equal](const Row &row) { return equal.count(row.name) != 0; };
    std::erase_if(before, isEqual);
    std::erase_if(after, isEqual);
}

} // namespace

std::vector<ObjectChange> ConfigurationComparison::compare(const Configuration &inForce,
                                                           const Configuration &next)
{
    Configuration old = inForce;
    Configuration fresh = next;
    dropEqualRows(old.places, fresh.places);
    dropEqualRows(old.services, fresh.services);
    dropEqualRows(old.modelGroups, fresh.modelGroups);
    dropEqualRows(old.clientAccounts, fresh.clientAccounts);
    dropEqualRows(old.routes, fresh.routes);
    const Json before = Json::parse(encodeConfiguration(old));
    const Json after = Json::parse(encodeConfiguration(fresh));
    std::vector<ObjectChange> changes;
    static const std::pair<const char *, const char *> kinds[] = {
            {"Place", "places"},
            {"Service", "services"},
            {"ModelGroup", "modelGroups"},
            {"ClientAccount", "clientAccounts"},
            {"Route", "routes"}};
    for (const auto &[kind, list] : kinds)
        compareRows(kind, before.at(list), after.at(list), changes);
    compareObject("CallerLimits", "", before.at("callerLimits"), after.at("callerLimits"), changes);
    return changes;
}

} // namespace Nutmegrill
