#pragma once

#include "Config/Configuration.h"
#include "Config/DeclarationError.h"
#include "Config/FindingLocator.h"

#include <boost/leaf/result.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class EventLoop;

/// A format in which operators write configurations. Implementations translate it to
/// Configuration, to which all checks apply.
class ConfigurationFormat
{
public:
    struct Loaded
    {
        /// Absent if there are errors.
        std::optional<Configuration> configuration;
        std::vector<DeclarationError> errors;
        std::unique_ptr<const FindingLocator> locator;
    };

    using Factory = std::unique_ptr<ConfigurationFormat> (*)();
    /// Formats by their name on the command line. Programs may add further ones before main().
    static std::map<std::string, Factory> &factories();

    virtual ~ConfigurationFormat() = default;

    /// Reads the files as one set.
    virtual Loaded load(const std::vector<std::string> &files) const = 0;

    /// Reads the version in force from the store; empty if none was published.
    virtual boost::leaf::result<ConfigurationPtr> readStored(EventLoop &loop,
                                                             const std::string &address) const = 0;
};

} // namespace Nutmegrill
