#include "Config/CheckReport.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;
using Severity = LintFinding::Severity;

// In the order of DeclarationError::Code.
constexpr const char *ErrorCodes[] = {"unreadable-file", "malformed-text",    "not-an-object",
                                      "no-objects",      "unknown-kind",      "unknown-field",
                                      "missing-field",   "duplicate-field",   "duplicate-name",
                                      "duplicate-value", "unknown-reference", "wrong-type",
                                      "out-of-range",    "contradiction"};
static_assert(std::size(ErrorCodes)
              == static_cast<std::size_t>(DeclarationError::Code::Contradiction) + 1);

// In the order of LintFinding::Code.
constexpr const char *FindingCodes[] = {"duplicate-name",
                                        "shadowed-route",
                                        "unreachable-route",
                                        "missing-host",
                                        "no-target",
                                        "unknown-service",
                                        "weight-zero",
                                        "no-backend-servers",
                                        "duplicate-key",
                                        "missing-key",
                                        "unadmitted-account",
                                        "no-client-accounts",
                                        "limit-zero",
                                        "latency-above-timeout",
                                        "pause-above-timeout",
                                        "runs-above-servers",
                                        "quota-above-capacity",
                                        "hedge-above-retry"};
static_assert(std::size(FindingCodes)
              == static_cast<std::size_t>(LintFinding::Code::HedgeAboveRetry) + 1);

// In the order of ObjectChange::Action.
constexpr const char *Actions[] = {"added", "changed", "narrowed", "removed"};

std::string actionName(ObjectChange::Action action)
{
    return Actions[static_cast<std::size_t>(action)];
}

} // namespace

void CheckReport::addErrors(const std::vector<DeclarationError> &errors)
{
    for (const DeclarationError &error : errors)
        this->problems.push_back(
                {Severity::Error, ErrorCodes[static_cast<std::size_t>(error.code)], error});
}

void CheckReport::addFindings(const std::vector<LintFinding> &findings,
                              const FindingLocator &locator)
{
    for (const LintFinding &finding : findings) {
        auto [file, line] = locator.locate(finding);
        DeclarationError text;
        text.file = std::move(file);
        text.line = line;
        text.object = finding.label();
        text.message = finding.message;
        text.fix = finding.fix;
        this->problems.push_back({finding.severity,
                                  FindingCodes[static_cast<std::size_t>(finding.code)],
                                  std::move(text)});
    }
}

void CheckReport::setChanges(std::vector<ObjectChange> made)
{
    this->changes = std::move(made);
}

void CheckReport::setCounts(const Configuration &configuration)
{
    this->counts = {{"places", "places", configuration.places.size()},
                    {"services", "services", configuration.services.size()},
                    {"model groups", "modelGroups", configuration.modelGroups.size()},
                    {"client accounts", "clientAccounts", configuration.clientAccounts.size()},
                    {"routes", "routes", configuration.routes.size()}};
}

void CheckReport::sort()
{
    std::stable_sort(this->problems.begin(), this->problems.end(),
                     [](const Problem &left, const Problem &right) {
                         return std::tie(left.text.file, left.text.line)
                                < std::tie(right.text.file, right.text.line);
                     });
}

std::size_t CheckReport::errorCount() const
{
    return this->problems.size() - this->warningCount();
}

std::size_t CheckReport::warningCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->problems.begin(), this->problems.end(), [](const Problem &problem) {
                return problem.severity == Severity::Warning;
            }));
}

std::vector<std::string> CheckReport::problemLines() const
{
    std::vector<std::string> lines;
    lines.reserve(this->problems.size());
    for (const Problem &problem : this->problems) {
        DeclarationError text = problem.text;
        if (problem.severity == Severity::Warning)
            text.object = "warning: " + text.object;
        lines.push_back(text.text());
    }
    return lines;
}

std::vector<std::string> CheckReport::changeLines() const
{
    std::vector<std::string> lines;
    if (!this->changes)
        return lines;
    for (const ObjectChange &change : *this->changes) {
        const std::string name = change.name.empty() ? "" : " " + change.name;
        lines.push_back(actionName(change.action) + " " + change.kind + name);
        for (const auto &[field, before, after, isNarrowed] : change.fields)
            lines.push_back("  " + field + " " + before + " -> " + after
                            + (isNarrowed ? " (narrowed)" : ""));
    }
    if (lines.empty())
        lines.emplace_back("no changes to the version in force");
    else if (const auto count =
                     std::count_if(this->changes->begin(), this->changes->end(),
                                   [](const ObjectChange &change) { return change.takesAway(); }))
        lines.push_back(std::to_string(count) + " of " + std::to_string(this->changes->size())
                        + " changed objects are removed or narrowed");
    return lines;
}

std::string CheckReport::summary() const
{
    std::string text;
    for (const auto &[what, key, number] : this->counts)
        text += (text.empty() ? "ok: " : ", ") + std::to_string(number) + " " + what;
    return text;
}

std::string CheckReport::json() const
{
    Json document = {{"valid", this->errorCount() == 0},
                     {"errors", Json::array()},
                     {"warnings", Json::array()}};
    for (const auto &[severity, code, text] : this->problems)
        document[severity == Severity::Error ? "errors" : "warnings"].push_back(
                {{"code", code},
                 {"file", text.file},
                 {"line", text.line},
                 {"object", text.object},
                 {"message", text.message},
                 {"fix", text.fix}});
    for (const auto &[what, key, number] : this->counts)
        document["objects"][key] = number;
    if (this->changes) {
        document["changes"] = Json::array();
        for (const ObjectChange &change : *this->changes) {
            Json row = {{"action", actionName(change.action)},
                        {"kind", change.kind},
                        {"name", change.name},
                        {"takesAway", change.takesAway()},
                        {"fields", Json::array()}};
            for (const auto &[field, before, after, isNarrowed] : change.fields)
                row["fields"].push_back({{"name", field},
                                         {"before", Json::parse(before)},
                                         {"after", Json::parse(after)},
                                         {"narrowed", isNarrowed}});
            document["changes"].push_back(std::move(row));
        }
    }
    // Names of malformed declarations may hold any bytes.
    return document.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace Nutmegrill
