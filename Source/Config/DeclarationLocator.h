#pragma once

#include "Config/Declarations.h"
#include "Config/FindingLocator.h"

#include <string>
#include <unordered_map>

namespace Nutmegrill {

/// Locates findings in the declarations that the configuration was read from.
class DeclarationLocator : public FindingLocator
{
public:
    explicit DeclarationLocator(Declarations declarations);

    Location locate(const LintFinding &finding) const override;

private:
    Declarations declarations;
    /// By kind and name.
    std::unordered_map<std::string, const DeclaredObject *> objects;
};

} // namespace Nutmegrill
