#pragma once

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

/// Loopback address with an unused port, another one at each call. The port is below those that the
/// kernel gives to outgoing connections, so that none takes it before it is listened on.
inline std::string freeAddress()
{
    constexpr int FirstPort = 20000;
    constexpr int Ports = 12000;
    // Test programs that run at the same time start at different ports.
    static int next = getpid() * 251 % Ports;
    for (int tries = 0; tries < Ports; ++tries) {
        const int port = FirstPort + next;
        next = (next + 1) % Ports;
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        local.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(probe, reinterpret_cast<sockaddr *>(&local), sizeof(local)) == 0;
        close(probe);
        if (isFree)
            return "127.0.0.1:" + std::to_string(port);
    }
    CPPUNIT_FAIL("no free port");
    return {};
}

} // namespace Nutmegrill
