#pragma once

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

/// Loopback address with an unused port.
inline std::string freeAddress()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, bind(probe, reinterpret_cast<sockaddr *>(&local), sizeof(local)));
    socklen_t length = sizeof(local);
    getsockname(probe, reinterpret_cast<sockaddr *>(&local), &length);
    close(probe);
    return "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
}

} // namespace Nutmegrill
