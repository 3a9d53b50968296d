#pragma once

#include "Config/Configuration.h"
#include "Relay/BackendRecord.h"
#include "Relay/StoreMirror.h"

#include <optional>
#include <string>
#include <variant>

namespace Nutmegrill {

/// Reads what operators and backend servers write into the store. An implementation knows the keys
/// and their formats; it decides nothing.
class StateDecoder
{
public:
    struct BackendGone
    {
        std::string id;
    };
    struct DomainOut
    {
        std::string failureDomain;
        bool isOut = false;
    };
    /// An entry announced itself under a key of our own.
    struct EntryAnnounced
    {
        std::string peerAddress;
    };
    struct Unreadable
    {
        /// The value names a backend server that cannot be used.
        std::optional<std::string> backend;
        std::string reason;
    };

    /// Monostate: a change that does not concern a relaying process.
    using Meaning = std::variant<std::monostate, ConfigurationPtr, BackendRecord, BackendGone,
                                 DomainOut, EntryAnnounced, Unreadable>;

    virtual ~StateDecoder() = default;

    virtual Meaning decode(const StoreChange &change) const = 0;

    /// Key under which an entry announces its peer address.
    virtual std::string entryKey(const std::string &name) const = 0;
};

} // namespace Nutmegrill
