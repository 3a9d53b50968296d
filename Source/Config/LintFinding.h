#pragma once

#include <cstddef>
#include <string>

namespace Nutmegrill {

/// A problem of a configuration that can be decoded. Refers to an object of the configuration;
/// FindingLocator translates this into a file and a line.
struct LintFinding
{
    enum class Severity { Warning, Error };

    enum class Code {
        DuplicateName,
        ShadowedRoute,
        UnreachableRoute,
        MissingHost,
        NoTarget,
        UnknownService,
        WeightZero,
        NoBackendServers,
        DuplicateKey,
        MissingKey,
        UnadmittedAccount,
        NoClientAccounts,
        LimitZero,
        LatencyAboveTimeout,
        PauseAboveTimeout,
        RunsAboveServers,
        QuotaAboveCapacity,
        HedgeAboveRetry
    };

    Severity severity = Severity::Warning;
    Code code = Code::DuplicateName;
    /// Kind of the object as in declarations, for example `Route`; `CallerLimits` and
    /// `EntrySettings` stand for objects without a name.
    std::string kind;
    std::string name;
    /// Position of the object in its list of the configuration.
    std::size_t index = 0;
    /// Field as named in declarations, and the item of a list field; empty for the whole object.
    std::string field;
    std::string item;
    std::string message;
    std::string fix;

    /// Kind and name, for example `Route notes`.
    std::string label() const
    {
        return this->name.empty() ? this->kind : this->kind + " " + this->name;
    }
};

} // namespace Nutmegrill
