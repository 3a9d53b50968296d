#pragma once

#include "Config/LintFinding.h"

#include <string>

namespace Nutmegrill {

/// Finds the file and line of the object and field that a finding is about.
class FindingLocator
{
public:
    struct Location
    {
        std::string file;
        /// Counted from 1; 0 for the whole file.
        int line = 0;
    };

    virtual ~FindingLocator() = default;

    virtual Location locate(const LintFinding &finding) const = 0;
};

} // namespace Nutmegrill
