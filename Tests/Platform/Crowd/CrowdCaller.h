#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace Nutmegrill {

/// A caller on a plain socket that sends pieces until the peer takes no more, and reads nothing.
class CrowdCaller
{
public:
    /// The next bytes to send; empty when there are no more. The connection stays open then.
    using Source = std::function<std::string()>;

    CrowdCaller(const std::string &address, Source source);
    ~CrowdCaller();
    CrowdCaller(const CrowdCaller &) = delete;
    CrowdCaller &operator=(const CrowdCaller &) = delete;

    /// Sends what the peer takes at once. Returns whether any byte was sent.
    bool sendSome();

private:
    int socket;
    Source source;
    std::string pending;
};

} // namespace Nutmegrill
