#pragma once

#include "Config/Configuration.h"
#include "Config/DeclarationError.h"
#include "Config/Declarations.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Validates a set of declarations as a whole and reports all errors at once.
class DeclarationChecker
{
public:
    struct Result
    {
        /// Version 0, objects sorted by name; absent if there are errors.
        std::optional<Configuration> configuration;
        /// Sorted by file and line.
        std::vector<DeclarationError> errors;
    };

    static Result check(const Declarations &declarations);

private:
    explicit DeclarationChecker(const Declarations &declarations) : declarations(declarations) {}

    void readObjects();
    void checkDuplicates();
    void checkFailureDomainNames();
    void checkServices();
    void checkModelGroups();
    void checkClientAccounts();
    void checkRoutes();
    void checkReference(const DeclaredObject &object, const std::string &field,
                        const std::string &what, const std::string &name,
                        const std::vector<std::string> &candidates);
    void report(DeclarationError::Code code, const DeclaredObject &object, const std::string &field,
                const std::string &item, std::string message, std::string fix);
    Result finish();

    template <typename Row>
    struct Declared
    {
        Row row;
        const DeclaredObject *object = nullptr;
    };

    const Declarations &declarations;
    std::vector<Declared<Place>> places;
    std::vector<Declared<ServiceDeclaration>> services;
    std::vector<Declared<ModelGroup>> modelGroups;
    std::vector<Declared<ClientAccount>> clientAccounts;
    std::vector<Declared<Route>> routes;
    std::vector<DeclarationError> errors;
};

} // namespace Nutmegrill
