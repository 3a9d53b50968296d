#include "Config/ConfigurationLint.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace Nutmegrill {

using Code = LintFinding::Code;
using Severity = LintFinding::Severity;

namespace {

constexpr const char *RouteKind = "Route";
constexpr const char *ServiceKind = "Service";
constexpr const char *AccountKind = "ClientAccount";

std::string quoted(std::string_view text)
{
    return "`" + std::string(text) + "`";
}

std::string inMilliseconds(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

// Why no path of a request can begin with the prefix; nullopt if one can.
std::optional<std::string> faultOfPrefix(std::string_view prefix)
{
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return "does not begin and end with `/`, so no path matches it";
    if (prefix.find_first_of("?# ") != std::string_view::npos)
        return "contains a character that a path never has";
    return std::nullopt;
}

} // namespace

const std::vector<ConfigurationLint::Check> &ConfigurationLint::checks()
{
    static const std::vector<Check> rows{&ConfigurationLint::checkNames,
                                         &ConfigurationLint::checkRouteMatching,
                                         &ConfigurationLint::checkTargets,
                                         &ConfigurationLint::checkBackendServers,
                                         &ConfigurationLint::checkRouteTimes,
                                         &ConfigurationLint::checkRuns,
                                         &ConfigurationLint::checkServiceLimits,
                                         &ConfigurationLint::checkKeys,
                                         &ConfigurationLint::checkAdmission,
                                         &ConfigurationLint::checkAccountLimits,
                                         &ConfigurationLint::checkQuotas,
                                         &ConfigurationLint::checkCallerLimits,
                                         &ConfigurationLint::checkEmptyAccountList,
                                         &ConfigurationLint::checkRatios};
    return rows;
}

std::vector<LintFinding> ConfigurationLint::check(const Configuration &configuration,
                                                  const EntryRatios &ratios)
{
    ConfigurationLint lint(configuration, ratios);
    for (const Check &check : checks())
        (lint.*check)();
    return std::move(lint.findings);
}

ConfigurationLint::ConfigurationLint(const Configuration &configuration, const EntryRatios &ratios)
    : configuration(configuration), ratios(ratios)
{
    for (const ServiceDeclaration &service : configuration.services)
        this->services.emplace(service.name, &service);
    for (const ModelGroup &group : configuration.modelGroups)
        this->ranks[group.service] += group.ranks;
    for (const Place &place : configuration.places) {
        for (const FailureDomainState &domain : place.failureDomains) {
            if (!domain.out)
                this->usableDomains.insert(domain.name);
        }
    }
}

template <typename Row>
LintFinding &ConfigurationLint::report(Code code, const char *kind, const std::vector<Row> &rows,
                                       const Row &row, std::string field, std::string message,
                                       std::string fix)
{
    LintFinding finding;
    finding.code = code;
    finding.kind = kind;
    finding.name = row.name;
    finding.index = static_cast<std::size_t>(&row - rows.data());
    finding.field = std::move(field);
    finding.message = std::move(message);
    finding.fix = std::move(fix);
    return this->findings.emplace_back(std::move(finding));
}

template <typename Row, typename Value>
void ConfigurationLint::checkPositive(const char *kind, const std::vector<Row> &rows,
                                      const Row &row, const char *field, Value value,
                                      const char *effect)
{
    if (value <= Value(0))
        this->report(Code::LimitZero, kind, rows, row, field,
                     std::string("a limit of 0 or less ") + effect, "write a limit above 0");
}

template <typename Rows>
void ConfigurationLint::checkNamesOf(const Rows &rows, const char *kind)
{
    std::unordered_set<std::string_view> seen;
    for (const auto &row : rows) {
        if (!row.name.empty() && !seen.insert(row.name).second)
            this->report(Code::DuplicateName, kind, rows, row, "name",
                         "an earlier object of this kind has the same name",
                         "rename or remove one of the two")
                    .severity = Severity::Error;
    }
}

void ConfigurationLint::checkNames()
{
    this->checkNamesOf(this->configuration.services, ServiceKind);
    this->checkNamesOf(this->configuration.clientAccounts, AccountKind);
    this->checkNamesOf(this->configuration.routes, RouteKind);
}

void ConfigurationLint::checkRouteMatching()
{
    const auto &routes = this->configuration.routes;
    std::unordered_map<std::string, const Route *> seen;
    for (const Route &route : routes) {
        if (route.host.empty())
            this->report(Code::MissingHost, RouteKind, routes, route, "host",
                         "the host has no name, so no request matches the route",
                         "write the host name that callers use");
        else if (route.host.find(':') != std::string::npos)
            this->report(Code::UnreachableRoute, RouteKind, routes, route, "host",
                         "host " + quoted(route.host)
                                 + " contains a port; requests are matched without it",
                         "remove the port");
        if (const auto fault = faultOfPrefix(route.pathPrefix))
            this->report(Code::UnreachableRoute, RouteKind, routes, route, "pathPrefix",
                         "prefix " + quoted(route.pathPrefix) + " " + *fault,
                         "write a prefix that begins and ends with `/`, such as `/records/`");
        const auto [found, isNew] = seen.try_emplace(route.host + " " + route.pathPrefix, &route);
        if (!isNew)
            this->report(Code::ShadowedRoute, RouteKind, routes, route, "pathPrefix",
                         "the route never matches: route " + quoted(found->second->name)
                                 + " before it has the same host and prefix",
                         "give each route its own prefix, or remove one of the two");
    }
}

void ConfigurationLint::checkTargets()
{
    const auto &routes = this->configuration.routes;
    for (const Route &route : routes) {
        std::uint64_t total = 0;
        for (const Route::Target &target : route.targets) {
            total += target.weight;
            if (this->services.count(target.service) == 0) {
                auto &finding =
                        this->report(Code::UnknownService, RouteKind, routes, route, "services",
                                     "there is no service " + quoted(target.service),
                                     "declare it, or remove the target");
                finding.severity = Severity::Error;
                finding.item = target.service;
            }
        }
        if (total == 0) {
            this->report(Code::NoTarget, RouteKind, routes, route, "services",
                         route.targets.empty()
                                 ? "the route has no service, so each request is refused"
                                 : "all weights are 0, so each request is refused",
                         "give one service a weight above 0");
            continue;
        }
        for (const Route::Target &target : route.targets) {
            if (target.weight == 0)
                this->report(Code::WeightZero, RouteKind, routes, route, "services",
                             "service " + quoted(target.service)
                                     + " has weight 0 and gets no request",
                             "remove the target, or give it a weight above 0")
                        .item = target.service;
        }
    }
}

std::optional<std::string>
ConfigurationLint::reasonWithoutServers(const ServiceDeclaration &service) const
{
    if (const auto servers = this->declaredServers(service.name); servers && *servers == 0)
        return "its model groups have no ranks";
    // Without places the format does not declare where services run.
    if (this->configuration.places.empty())
        return std::nullopt;
    if (service.failureDomains.empty())
        return "it runs in no failure domain";
    const bool isUsable = std::any_of(
            service.failureDomains.begin(), service.failureDomains.end(),
            [this](const std::string &domain) { return this->usableDomains.count(domain) != 0; });
    return isUsable ? std::nullopt
                    : std::optional<std::string>("all its failure domains are declared as out");
}

void ConfigurationLint::checkBackendServers()
{
    const auto &routes = this->configuration.routes;
    for (const Route &route : routes) {
        for (const Route::Target &target : route.targets) {
            const auto service = this->services.find(target.service);
            if (service == this->services.end())
                continue;
            if (const auto reason = this->reasonWithoutServers(*service->second))
                this->report(Code::NoBackendServers, RouteKind, routes, route, "services",
                             "service " + quoted(target.service)
                                     + " has no backend servers: " + *reason,
                             "declare where the service runs, or remove the target")
                        .item = target.service;
        }
    }
}

void ConfigurationLint::checkRouteTimes()
{
    const auto &routes = this->configuration.routes;
    for (const Route &route : routes) {
        this->checkPositive(RouteKind, routes, route, "timeoutMilliseconds", route.timeout,
                            "lets no request end in time");
        this->checkPositive(RouteKind, routes, route, "latencyTargetMilliseconds",
                            route.latencyTarget, "can never be met");
        const std::string timeout = " is above the timeout " + inMilliseconds(route.timeout);
        const std::string fix =
                "lower it to at most " + inMilliseconds(route.timeout) + ", or raise the timeout";
        if (route.latencyTarget > route.timeout)
            this->report(Code::LatencyAboveTimeout, RouteKind, routes, route,
                         "latencyTargetMilliseconds",
                         "the latency target " + inMilliseconds(route.latencyTarget) + timeout,
                         fix);
        if (route.pauseTarget > route.timeout)
            this->report(Code::PauseAboveTimeout, RouteKind, routes, route,
                         "pauseTargetMilliseconds",
                         "the pause target " + inMilliseconds(route.pauseTarget) + timeout, fix);
    }
}

std::optional<std::uint64_t> ConfigurationLint::declaredServers(std::string_view service) const
{
    const auto found = this->ranks.find(service);
    return found == this->ranks.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t> ConfigurationLint::capacityOf(const std::string &service) const
{
    const auto found = this->services.find(service);
    const auto servers = this->declaredServers(service);
    if (found == this->services.end() || !servers)
        return std::nullopt;
    return *servers * found->second->warmRequests;
}

void ConfigurationLint::checkRuns()
{
    const auto &routes = this->configuration.routes;
    for (const Route &route : routes) {
        this->checkPositive(RouteKind, routes, route, "maxRuns", route.maxRuns,
                            "lets no request run");
        std::uint64_t most = 0;
        bool isKnown = !route.targets.empty();
        for (const Route::Target &target : route.targets) {
            const auto servers = this->declaredServers(target.service);
            isKnown = isKnown && servers;
            most = std::max(most, servers.value_or(0));
        }
        // A request stays in the service that was chosen for it, so the largest one counts.
        if (isKnown && most != 0 && route.maxRuns > most)
            this->report(Code::RunsAboveServers, RouteKind, routes, route, "maxRuns",
                         std::to_string(route.maxRuns) + " runs of a request are allowed, but its "
                                 + "services declare at most " + std::to_string(most)
                                 + " backend servers",
                         "lower the limit to at most " + std::to_string(most));
    }
}

void ConfigurationLint::checkServiceLimits()
{
    const auto &rows = this->configuration.services;
    for (const ServiceDeclaration &service : rows) {
        this->checkPositive(ServiceKind, rows, service, "warmRequests", service.warmRequests,
                            "lets no request run");
        this->checkPositive(ServiceKind, rows, service, "coldRequests", service.coldRequests,
                            "lets no request run during a cold start");
    }
}

void ConfigurationLint::checkKeys()
{
    const auto &accounts = this->configuration.clientAccounts;
    std::unordered_map<std::string_view, const ClientAccount *> owners;
    const auto checkKey = [&](const ClientAccount &account, const char *field,
                              const std::string &hash) {
        const auto [found, isNew] = owners.try_emplace(hash, &account);
        if (!isNew)
            this->report(Code::DuplicateKey, AccountKind, accounts, account, field,
                         "the key never selects this account: it belongs to client account "
                                 + quoted(found->second->name) + " already",
                         "give each client account its own key")
                    .severity = Severity::Error;
    };
    for (const ClientAccount &account : accounts) {
        if (account.keyHash.empty())
            this->report(Code::MissingKey, AccountKind, accounts, account, "keyHash",
                         "the account has no key, so no request selects it", "add a key");
        else
            checkKey(account, "keyHash", account.keyHash);
        for (const std::string &hash : account.furtherKeyHashes)
            checkKey(account, "furtherKeyHashes", hash);
    }
}

void ConfigurationLint::checkAdmission()
{
    const auto &routes = this->configuration.routes;
    std::unordered_set<std::string_view> routed;
    for (const Route &route : routes) {
        for (const Route::Target &target : route.targets)
            routed.insert(target.service);
    }
    const bool needsKey = std::any_of(routes.begin(), routes.end(),
                                      [](const Route &route) { return !route.isPublic; });
    const auto &accounts = this->configuration.clientAccounts;
    for (const ClientAccount &account : accounts) {
        // An account that lists no services may use every route that asks for a key.
        const bool isAdmitted =
                account.services.empty()
                        ? needsKey
                        : routes.empty()
                                  || std::any_of(account.services.begin(), account.services.end(),
                                                 [&routed](const std::string &service) {
                                                     return routed.count(service) != 0;
                                                 });
        if (!isAdmitted)
            this->report(Code::UnadmittedAccount, AccountKind, accounts, account, "services",
                         account.services.empty() ? "no route asks for a key of a client account"
                                                  : "no route leads to a service of the account",
                         "remove the account, or add a route for it");
    }
}

void ConfigurationLint::checkAccountLimits()
{
    const auto &accounts = this->configuration.clientAccounts;
    for (const ClientAccount &account : accounts) {
        this->checkPositive(AccountKind, accounts, account, "weight", account.weight,
                            "leaves the account no share under overload");
        this->checkPositive(AccountKind, accounts, account, "maxQueued", account.maxQueued,
                            "lets no request of the account wait");
        this->checkPositive(AccountKind, accounts, account, "bufferBytes", account.bufferBytes,
                            "lets no answer of the account through");
    }
}

void ConfigurationLint::checkQuotas()
{
    // The default is not a declared quota.
    static const std::uint32_t undeclared = ClientAccount().maxQueued;
    const auto &accounts = this->configuration.clientAccounts;
    for (const ClientAccount &account : accounts) {
        if (account.maxQueued == undeclared || account.services.empty())
            continue;
        std::uint64_t capacity = 0;
        bool isKnown = true;
        for (const std::string &service : account.services) {
            const auto part = this->capacityOf(service);
            isKnown = isKnown && part;
            capacity += part.value_or(0);
        }
        if (isKnown && account.maxQueued > capacity)
            this->report(Code::QuotaAboveCapacity, AccountKind, accounts, account, "maxQueued",
                         "the account may queue " + std::to_string(account.maxQueued)
                                 + " requests, but the declared servers of its services run only "
                                 + std::to_string(capacity) + " at once",
                         "lower the limit to at most " + std::to_string(capacity));
    }
}

void ConfigurationLint::checkCallerLimits()
{
    struct Row
    {
        const char *field;
        bool isClosed;
        const char *effect;
    };
    using std::chrono::milliseconds;
    const CallerLimits &limits = this->configuration.callerLimits;
    const Row rows[] = {
            {"headerBytes", limits.headerBytes == 0, "a size limit of 0 lets no request through"},
            {"bodyBytes", limits.bodyBytes == 0,
             "a size limit of 0 lets no request with a body through"},
            {"headerTime", limits.headerTime <= milliseconds::zero(),
             "a time limit of 0 or less lets no request through"},
            {"idleTime", limits.idleTime <= milliseconds::zero(),
             "a time limit of 0 or less lets no request through"}};
    for (const auto &[field, isClosed, effect] : rows) {
        if (isClosed)
            this->findings.push_back({Severity::Warning, Code::LimitZero, "CallerLimits", "", 0,
                                      field, "", effect,
                                      "write a limit above 0, or remove the field"});
    }
}

void ConfigurationLint::checkEmptyAccountList()
{
    const auto &routes = this->configuration.routes;
    const auto closed = std::find_if(routes.begin(), routes.end(),
                                     [](const Route &route) { return !route.isPublic; });
    if (!this->configuration.clientAccounts.empty() || closed == routes.end())
        return;
    const auto count = std::count_if(routes.begin(), routes.end(),
                                     [](const Route &route) { return !route.isPublic; });
    // RelayNode checks keys only if there is at least one client account.
    this->report(Code::NoClientAccounts, RouteKind, routes, *closed, "",
                 "the list of client accounts is empty although "
                         + (count == 1 ? std::string("this route is")
                                       : std::to_string(count) + " routes, of which this is the "
                                                 + "first, are")
                         + " not public: no key is valid, the native API admits nobody, and a "
                           "relaying entry asks nobody for a key",
                 "declare the client accounts, or make the routes public");
}

void ConfigurationLint::checkRatios()
{
    if (this->ratios.hedgeRatio.value_or(0) <= 0 || !this->ratios.retryRatio
        || *this->ratios.hedgeRatio <= *this->ratios.retryRatio)
        return;
    this->findings.push_back(
            {Severity::Warning, Code::HedgeAboveRetry, "EntrySettings", "", 0, "hedge-ratio", "",
             "the hedge ratio is above the retry ratio, which limits second attempts and retries "
             "together",
             "lower hedge-ratio to at most retry-ratio"});
}

} // namespace Nutmegrill
