#pragma once

#include "Core/Time.h"
#include "Entry/EntryOrder.h"
#include "Entry/EntrySettings.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Decision logic of an entry: which requests are admitted, where they run, what callers receive.
class EntryNode
{
public:
    /// An address for callers.
    struct Address
    {
        std::string address;
        std::string failureDomain;
    };

    explicit EntryNode(EntrySettings settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    void handle(Instant now, const EntryEvent::Any &event, EntryOrder::List &orders);
    void tick(Instant now, EntryOrder::List &orders);

    /// Whether a configuration is in force, so that requests can be served.
    bool isReady() const;

    /// The configuration in force; null before the first one.
    ConfigurationPtr configuration() const;

    /// Entries for a caller in order of preference; leaving ones and those of failure domains that
    /// are out are not named. \a callerKey spreads callers over the entries.
    std::vector<Address> entriesFor(const std::string &callerKey) const;

    /// How long a caller may keep the answer of entriesFor().
    std::chrono::seconds addressLifetime() const;

    /// State dump as JSON.
    std::string dump(Instant now) const;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace Nutmegrill
