#pragma once

#include <string>

#include <netinet/in.h>

struct bufferevent;

namespace Nutmegrill {

/// Sets the options of every TCP connection: no delay of small writes, keep-alive probes that
/// detect an unresponsive peer of an idle connection, and a timeout for unacknowledged data.
void setSocketOptions(bufferevent *connection);

/// Whether the peer has closed or reset the connection, also if bytes that it sent before are still
/// unread.
bool isClosedByPeer(int socket);

/// Whether received bytes wait to be read.
bool hasUnreadBytes(int socket);

/// Parses "IP:port". Returns false if \a text is not an IPv4 address with a port.
bool parseSocketAddress(const std::string &text, sockaddr_in &address);

} // namespace Nutmegrill
