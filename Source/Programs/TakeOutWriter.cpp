#include "Programs/TakeOutWriter.h"

#include "Config/ConfigurationChange.h"
#include "Programs/PublishRunner.h"

namespace Nutmegrill {

void TakeOutWriter::write(const PeerMessage::PendingTakeOut &takeOut)
{
    if (!this->running.insert(takeOut.changeId).second)
        return;
    ConfigurationChange change;
    // The same change id at every relay: the one that comes second finds the change done.
    change.changeId = takeOut.changeId;
    change.author = "pending take-out";
    change.action = ConfigurationChange::MergeTakeOut{takeOut.failureDomain, takeOut.epoch};
    PublishRunner::start(
            this->loop, this->store, change,
            [this, id = takeOut.changeId](const PublishOrder::Any &) { this->running.erase(id); });
}

} // namespace Nutmegrill
