#pragma once

#include "Config/Configuration.h"
#include "Config/DeclarationError.h"
#include "Config/DeclaredObject.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// Converts declared objects to configuration objects and validates each object on its own.
class ObjectReader
{
public:
    /// All kinds of objects, in the order of the documentation.
    static const std::vector<std::string> &kinds();

    explicit ObjectReader(std::vector<DeclarationError> &errors) : errors(errors) {}

    Place readPlace(const DeclaredObject &object);
    ServiceDeclaration readService(const DeclaredObject &object);
    ModelGroup readModelGroup(const DeclaredObject &object);
    ClientAccount readClientAccount(const DeclaredObject &object);
    Route readRoute(const DeclaredObject &object);

private:
    std::vector<DeclarationError> &errors;
};

} // namespace Nutmegrill
