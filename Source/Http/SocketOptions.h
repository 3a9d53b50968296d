#pragma once

#include <string>

#include <netinet/in.h>

struct bufferevent;

namespace Nutmegrill {

/// Options of every TCP connection: no delay for small writes, and detection of peers that went
/// silent (keep-alive probes for idle connections, a limit on unacknowledged data for busy ones).
void setSocketOptions(bufferevent *connection);

/// Reads "IP:port"; false when the text is no IPv4 address and port.
bool parseSocketAddress(const std::string &text, sockaddr_in &address);

} // namespace Nutmegrill
