#pragma once

#include <cstddef>
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

    /// Largest payload of a datagram over IPv4.
    static constexpr std::size_t MaxBytes = 65507;

    /// Returns whether the datagram was handed to the network, which may still lose it. A full send
    /// buffer and a payload above MaxBytes drop it.
    bool send(const std::string &address, std::string_view bytes);

private:
    void readAll();

    int socket = -1;
    event *readEvent = nullptr;
    Handler handler;
};

} // namespace Nutmegrill
