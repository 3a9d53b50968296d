#include "Config/DeclarationLocator.h"

#include <utility>

namespace Nutmegrill {

DeclarationLocator::DeclarationLocator(Declarations declarations)
    : declarations(std::move(declarations))
{
    for (const DeclaredObject &object : this->declarations.objects())
        this->objects.emplace(object.kind + " " + object.name, &object);
}

FindingLocator::Location DeclarationLocator::locate(const LintFinding &finding) const
{
    const auto found = this->objects.find(finding.kind + " " + finding.name);
    if (found == this->objects.end())
        return {};
    return {found->second->file, found->second->lineOf(finding.field, finding.item)};
}

} // namespace Nutmegrill
