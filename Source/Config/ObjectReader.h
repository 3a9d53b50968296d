#pragma once

#include "Config/Configuration.h"
#include "Config/DeclarationError.h"
#include "Config/DeclaredObject.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// Turns declared objects into rows and checks everything that concerns one object alone.
class ObjectReader
{
public:
    /// Every kind of object, in the order of the documentation.
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
