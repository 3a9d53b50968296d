#pragma once

#include "Config/EntryRatios.h"
#include "Config/FindingLocator.h"

#include <map>
#include <string>

namespace Nutmegrill {

/// Reads the ratios from a settings file of entries (lines `name = value`), and locates findings
/// about them. Findings about other objects are passed on.
class EntryRatioFile : public FindingLocator
{
public:
    explicit EntryRatioFile(const FindingLocator &otherObjects) : otherObjects(otherObjects) {}

    /// Returns false when the file cannot be read or a ratio is not a number.
    bool read(const std::string &path);

    const EntryRatios &ratios() const { return this->values; }

    Location locate(const LintFinding &finding) const override;

private:
    const FindingLocator &otherObjects;
    std::string file;
    EntryRatios values;
    /// Lines by name of the setting.
    std::map<std::string, int> lines;
};

} // namespace Nutmegrill
