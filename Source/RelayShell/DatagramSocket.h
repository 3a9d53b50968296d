#pragma once

#include <functional>
#include <string>
#include <string_view>

struct event;

namespace Nutmegrill {

class EventLoop;

/// Bound UDP socket for the messages between entries and between agents.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes)>;

    DatagramSocket(EventLoop &loop, const std::string &address, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    bool isOpen() const { return this->readEvent != nullptr; }

    /// Unreliable: a full send buffer drops the datagram, too.
    void send(const std::string &address, std::string_view bytes);

private:
    void readAll();

    int socket = -1;
    event *readEvent = nullptr;
    Handler handler;
};

} // namespace Nutmegrill
