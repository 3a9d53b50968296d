#pragma once

#include "Config/Configuration.h"
#include "Config/EntryRatios.h"
#include "Config/LintFinding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Nutmegrill {

/// Checks a configuration for entries that have no effect and limits that contradict each other,
/// whatever format it was declared in.
class ConfigurationLint
{
public:
    /// Findings in the order of the checks, then of the objects.
    static std::vector<LintFinding> check(const Configuration &configuration,
                                          const EntryRatios &ratios = {});

private:
    using Check = void (ConfigurationLint::*)();
    static const std::vector<Check> &checks();

    ConfigurationLint(const Configuration &configuration, const EntryRatios &ratios);

    void checkNames();
    void checkRouteMatching();
    void checkTargets();
    void checkBackendServers();
    void checkRouteTimes();
    void checkRuns();
    void checkServiceLimits();
    void checkKeys();
    void checkAdmission();
    void checkAccountLimits();
    void checkQuotas();
    void checkCallerLimits();
    void checkEmptyAccountList();
    void checkRatios();

    template <typename Rows>
    void checkNamesOf(const Rows &rows, const char *kind);
    template <typename Row>
    LintFinding &report(LintFinding::Code code, const char *kind, const std::vector<Row> &rows,
                        const Row &row, std::string field, std::string message, std::string fix);
    /// Reports a value of 0 or less.
    template <typename Row, typename Value>
    void checkPositive(const char *kind, const std::vector<Row> &rows, const Row &row,
                       const char *field, Value value, const char *effect);

    /// Servers that the model groups of a service declare; nullopt if it has none, since other
    /// servers are not declared.
    std::optional<std::uint64_t> declaredServers(std::string_view service) const;
    /// Requests that the declared servers of a service run at once.
    std::optional<std::uint64_t> capacityOf(const std::string &service) const;
    /// Why the service has no backend servers; nullopt if it has some or that is not known.
    std::optional<std::string> reasonWithoutServers(const ServiceDeclaration &service) const;

    const Configuration &configuration;
    const EntryRatios &ratios;
    std::unordered_map<std::string_view, const ServiceDeclaration *> services;
    std::unordered_map<std::string_view, std::uint64_t> ranks;
    /// Failure domains that are not taken out.
    std::unordered_set<std::string_view> usableDomains;
    std::vector<LintFinding> findings;
};

} // namespace Nutmegrill
