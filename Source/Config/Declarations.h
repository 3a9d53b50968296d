#pragma once

#include "Config/DeclarationError.h"
#include "Config/DeclaredObject.h"

#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Loads YAML files into objects that keep the file and line of each field. DeclarationChecker
/// validates their content.
class Declarations
{
public:
    /// Adds every document of a file.
    void addFile(const std::string &path);

    /// Adds every document of \a yaml; \a file is the file name in error messages.
    void addText(const std::string &file, std::string_view yaml);

    const std::vector<DeclaredObject> &objects() const { return this->loaded; }
    const std::vector<DeclarationError> &errors() const { return this->faults; }

    /// Whether a file could not be read. Its objects are then missing, so a reference to an unknown
    /// object is not necessarily an error.
    bool isIncomplete() const { return this->incomplete; }

private:
    void addDocument(const std::string &file, DeclaredValue document);

    std::vector<DeclaredObject> loaded;
    std::vector<DeclarationError> faults;
    bool incomplete = false;
};

} // namespace Nutmegrill
