#pragma once

#include "RelayNodeHarness.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A harness whose node starts second attempts, and which has seen the usual delay of the served
/// paths: 30 ms.
class HedgeScene : public RelayNodeHarness
{
public:
    explicit HedgeScene(double hedgeRatio = 1,
                        const std::vector<std::string> &served = {"/stream/", "/lookup/"});

    /// Requests that are answered one after the other; 100 is enough for a quantile. Their commands
    /// are dropped.
    void serve(const std::string &path, int requests);

    /// A request whose first attempt is late.
    RelayCommand::CallerId arriveLate(const std::string &path);

    std::vector<RelayCommand::AttemptId> attemptIds(RelayCommand::CallerId caller) const;
    std::string backendOf(RelayCommand::AttemptId attempt) const;
    bool isCancelled(RelayCommand::AttemptId attempt) const;

    void headOf(RelayCommand::AttemptId attempt, int status, bool isStream, bool notRun = false);
    void eventOf(RelayCommand::AttemptId attempt, std::uint64_t id);
    void endOf(RelayCommand::AttemptId attempt);
    void failOf(RelayCommand::AttemptId attempt, AttemptFailure failure);

    /// Number of second attempts by outcome, and by reason for those held back.
    std::map<std::string, int> outcomes() const;
    /// Slots that the entry uses at all backend servers.
    std::uint32_t usedSlots();
};

} // namespace Nutmegrill
