#include "Programs/DeclarationFormat.h"

#include "Config/ConfigurationHead.h"
#include "Config/DeclarationChecker.h"
#include "Config/DeclarationLocator.h"
#include "Config/Declarations.h"
#include "Net/EventLoop.h"
#include "Net/StoreClient.h"
#include "Programs/ConfigurationReader.h"
#include "Programs/OperatorError.h"

#include <chrono>
#include <utility>

#include <boost/leaf.hpp>

namespace Nutmegrill {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds StoreCallTimeout(2000);
constexpr std::chrono::seconds CommandTimeout(20);

leaf::error_id unreachable(std::string message)
{
    return leaf::new_error(
            OperatorError{OperatorError::Kind::StoreUnreachable, std::move(message)});
}

} // namespace

ConfigurationFormat::Loaded DeclarationFormat::load(const std::vector<std::string> &files) const
{
    Declarations declarations;
    for (const std::string &file : files)
        declarations.addFile(file);
    DeclarationChecker::Result result = DeclarationChecker::check(declarations);
    return {std::move(result.configuration), std::move(result.errors),
            std::make_unique<DeclarationLocator>(std::move(declarations))};
}

leaf::result<ConfigurationPtr> DeclarationFormat::readStored(EventLoop &loop,
                                                             const std::string &address) const
{
    StoreClient store(loop, address, StoreCallTimeout);
    // An absent head means an empty configuration; an unreachable store is an error.
    std::optional<StoreResult> head;
    store.read(std::string(ConfigurationHead::Key),
               [&head](const StoreResult &result) { head = result; });
    loop.runUntil([&head] { return head.has_value(); }, CommandTimeout);
    if (!head.has_value() || !head->isOk())
        return unreachable(
                std::string(describe(head.has_value() ? head->error : StoreError::AnswerLost))
                + " at " + address);
    if (head->keyValues.empty())
        return std::make_shared<Configuration>();
    ConfigurationReader reader(loop, store);
    std::optional<ConfigurationPtr> configuration;
    reader.read([&configuration](const ConfigurationPtr &read) { configuration = read; });
    loop.runUntil([&configuration] { return configuration.has_value(); }, CommandTimeout);
    if (!configuration.has_value() || *configuration == nullptr)
        return unreachable("the stored configuration could not be read");
    return *configuration;
}

} // namespace Nutmegrill
