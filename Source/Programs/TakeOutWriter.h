#pragma once

#include "Messages/PeerMessage.h"

#include <set>
#include <string>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Merges pending take-outs into the stored configuration, one attempt at a time for each change.
class TakeOutWriter
{
public:
    TakeOutWriter(EventLoop &loop, StoreClient &store) : loop(loop), store(store) {}

    void write(const PeerMessage::PendingTakeOut &takeOut);

private:
    EventLoop &loop;
    StoreClient &store;
    std::set<std::string> running;
};

} // namespace Nutmegrill
