#pragma once

#include <chrono>
#include <string>

namespace Nutmegrill {

/// A backend server that is slow, as its model group tells the entries.
struct SlowRank
{
    /// Address of the backend server.
    std::string address;
    /// Factor by which it is slower than the others; 1 after it has become fast again.
    double pace = 1;
    /// Age of the figure.
    std::chrono::milliseconds age{0};

    bool operator==(const SlowRank &) const = default;
};

} // namespace Nutmegrill
