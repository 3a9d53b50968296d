#pragma once

#include "Core/Time.h"
#include "Entry/EntryCommand.h"
#include "Entry/EntrySettings.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Decision logic of an entry: which requests are admitted, where they run, and what callers
/// receive.
class EntryNode
{
public:
    /// Address of an entry and its failure domain.
    struct Address
    {
        std::string address;
        std::string failureDomain;
    };

    explicit EntryNode(EntrySettings settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Processes one event and appends the resulting commands to \a commands.
    void handle(Instant now, const EntryEvent::Any &event, EntryCommand::List &commands);
    /// Runs the time-dependent work: starts, timeouts, retries and acknowledgements.
    void tick(Instant now, EntryCommand::List &commands);

    /// Whether a configuration is in force, so that requests can be served.
    bool isReady() const;

    /// The configuration in force; null before the first one.
    ConfigurationPtr configuration() const;

    /// Entries for a caller in order of preference, without leaving entries and entries in failure
    /// domains that are out. \a callerKey distributes callers over the entries.
    std::vector<Address> entriesFor(const std::string &callerKey) const;

    /// How long a caller may cache the result of entriesFor().
    std::chrono::seconds addressLifetime() const;

    /// Returns the state as JSON.
    std::string dump(Instant now) const;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace Nutmegrill
