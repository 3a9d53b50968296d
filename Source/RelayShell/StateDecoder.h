#pragma once

#include "Config/Configuration.h"
#include "Relay/BackendRecord.h"
#include "Relay/StoreMirror.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Nutmegrill {

/// Decodes the keys that operators, backend servers and entries write into the store.
/// Implementations know the keys and their formats and hold no decision logic.
class StateDecoder
{
public:
    /// The record of a backend server was deleted.
    struct BackendRemoved
    {
        std::string id;
    };
    /// A failure domain was taken out or brought back.
    struct DomainTakeOut
    {
        std::string failureDomain;
        bool isOut = false;
    };
    /// An entry published its peer address.
    struct EntryAnnounced
    {
        std::string peerAddress;
    };
    /// An entry recorded crashes under a trait of requests; without a value if the record is gone.
    struct CrashesRecorded
    {
        std::uint64_t trait = 0;
        std::optional<std::string> value;
    };
    /// The value could not be decoded.
    struct Unreadable
    {
        /// Set if the value is the record of this backend server.
        std::optional<std::string> backend;
        std::string reason;
    };

    /// Monostate if the change is irrelevant to entries and agents.
    using DecodedChange =
            std::variant<std::monostate, ConfigurationPtr, BackendRecord, BackendRemoved,
                         DomainTakeOut, EntryAnnounced, CrashesRecorded, Unreadable>;

    virtual ~StateDecoder() = default;

    virtual DecodedChange decode(const StoreChange &change) const = 0;

    /// Key under which an entry publishes its peer address.
    virtual std::string entryKey(const std::string &name) const = 0;
    /// Key under which entries record crashes under a trait of requests.
    virtual std::string crashesKey(std::uint64_t trait) const = 0;
    /// Key under which entries keep a part of the state of a duty that one of them has.
    virtual std::string dutyKey(const std::string &duty, const std::string &part) const = 0;
};

} // namespace Nutmegrill
