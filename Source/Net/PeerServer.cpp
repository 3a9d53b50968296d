#include "Net/PeerServer.h"

#include "Net/EventLoop.h"
#include "Net/PeerObserver.h"
#include "Net/PeerSession.h"

#include <algorithm>

#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace Nutmegrill {

namespace {

void acceptConnection(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *server)
{
    static_cast<PeerServer *>(server)->add(fd);
}

} // namespace

PeerServer::PeerServer(EventLoop &loop, const std::string &address, PeerObserver &observer)
    : loop(loop), observer(observer)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&storage), &length)
        != 0)
        return;
    this->listener = evconnlistener_new_bind(
            loop.base(), &acceptConnection, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, SOMAXCONN,
            reinterpret_cast<sockaddr *>(&storage), length);
}

PeerServer::~PeerServer()
{
    this->stopListening();
}

void PeerServer::stopListening()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
    this->listener = nullptr;
}

void PeerServer::add(int fd)
{
    this->accepted.push_back(PeerSession::accept(this->loop, fd, this->observer));
}

void PeerServer::removeClosed()
{
    const auto closed = std::remove_if(this->accepted.begin(), this->accepted.end(),
                                       [](const auto &session) { return !session->isOpen(); });
    this->accepted.erase(closed, this->accepted.end());
}

} // namespace Nutmegrill
