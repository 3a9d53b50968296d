#pragma once

#include "Programs/ConfigurationFormat.h"

namespace Nutmegrill {

/// Declarations in YAML files.
class DeclarationFormat : public ConfigurationFormat
{
public:
    Loaded load(const std::vector<std::string> &files) const override;
    boost::leaf::result<ConfigurationPtr> readStored(EventLoop &loop,
                                                     const std::string &address) const override;
};

} // namespace Nutmegrill
