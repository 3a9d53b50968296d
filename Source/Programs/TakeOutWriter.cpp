#include "Programs/TakeOutWriter.h"

#include "Config/ConfigurationChange.h"
#include "Programs/PublishRunner.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

std::optional<PeerMessage::PendingTakeOut>
TakeOutWriter::parse(const std::string &body, const ConfigurationPtr &configuration)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    PeerMessage::PendingTakeOut takeOut;
    if (document.is_object()) {
        takeOut.failureDomain = document.value("failureDomain", "");
        takeOut.changeId = document.value("changeId", "");
    }
    const FailureDomainState *domain =
            configuration == nullptr ? nullptr
                                     : configuration->findFailureDomain(takeOut.failureDomain);
    if (domain == nullptr || takeOut.changeId.empty())
        return std::nullopt;
    takeOut.epoch = domain->epoch + 1;
    return takeOut;
}

void TakeOutWriter::write(const PeerMessage::PendingTakeOut &takeOut)
{
    if (!this->openChangeIds.insert(takeOut.changeId).second)
        return;
    ConfigurationChange change;
    // All entries use the same change id, so a later publication finds the change already made.
    change.changeId = takeOut.changeId;
    change.author = "pending take-out";
    change.action = ConfigurationChange::MergeTakeOut{takeOut.failureDomain, takeOut.epoch};
    PublishRunner::start(this->loop, this->store, change,
                         [this, id = takeOut.changeId](const PublishCommand::Any &) {
                             this->openChangeIds.erase(id);
                         });
}

} // namespace Nutmegrill
