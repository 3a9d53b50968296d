#pragma once

#include "Messages/PeerMessage.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// A control message for one peer.
struct PeerOutput
{
    using List = std::vector<PeerOutput>;

    std::string peer;
    PeerMessage::Any message;
};

} // namespace Nutmegrill
