#pragma once

#include "Config/Configuration.h"
#include "Config/DeclarationError.h"
#include "Config/FindingLocator.h"
#include "Config/LintFinding.h"
#include "Config/ObjectChange.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Outcome of a check: errors, warnings and the changes to the version in force, as text for
/// operators and as JSON for pipelines.
class CheckReport
{
public:
    void addErrors(const std::vector<DeclarationError> &errors);
    void addFindings(const std::vector<LintFinding> &findings, const FindingLocator &locator);
    /// Only a report with a comparison has a list of changes, which may be empty.
    void setChanges(std::vector<ObjectChange> made);
    void setCounts(const Configuration &configuration);
    /// Sorts the problems by file and line.
    void sort();

    std::size_t errorCount() const;
    std::size_t warningCount() const;

    /// One line for each problem.
    std::vector<std::string> problemLines() const;
    /// One line for each changed object, and one for each changed field below it.
    std::vector<std::string> changeLines() const;
    /// `ok: ...` with the number of objects of each kind.
    std::string summary() const;
    /// One JSON document.
    std::string json() const;

private:
    struct Problem
    {
        LintFinding::Severity severity = LintFinding::Severity::Error;
        std::string code;
        /// Location, object, message and fix; its code is unused.
        DeclarationError text;
    };

    struct Count
    {
        /// In text and in JSON.
        const char *what = "";
        const char *key = "";
        std::size_t number = 0;
    };

    std::vector<Problem> problems;
    std::optional<std::vector<ObjectChange>> changes;
    std::vector<Count> counts;
};

} // namespace Nutmegrill
