#include "Programs/ConfigurationFormat.h"

#include "Programs/DeclarationFormat.h"

namespace Nutmegrill {

std::map<std::string, ConfigurationFormat::Factory> &ConfigurationFormat::factories()
{
    static std::map<std::string, Factory> rows{
            {"declarations", []() -> std::unique_ptr<ConfigurationFormat> {
                 return std::make_unique<DeclarationFormat>();
             }}};
    return rows;
}

} // namespace Nutmegrill
