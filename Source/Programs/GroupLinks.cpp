#include "Programs/GroupLinks.h"

#include "Messages/MessageCodec.h"
#include "Net/PeerSession.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds CheckPeriod(100);
constexpr std::chrono::milliseconds RetryDelay(200);
constexpr std::chrono::milliseconds IdleTimeout(3000);

} // namespace

GroupLinks::GroupLinks(EventLoop &loop, Identity identity, Receiver receiver)
    : loop(loop), identity(std::move(identity)), receiver(std::move(receiver)),
      timer(loop.every(CheckPeriod, [this] { this->checkLinks(); }))
{}

GroupLinks::~GroupLinks() = default;

void GroupLinks::setTargets(std::map<std::string, std::string> addresses)
{
    for (auto &[name, link] : this->links) {
        const auto target = addresses.find(name);
        if (target == addresses.end() || target->second != link.address)
            this->close(link);
    }
    for (auto link = this->links.begin(); link != this->links.end();)
        link = addresses.count(link->first) == 0 ? this->links.erase(link) : std::next(link);
    for (auto &[name, address] : addresses)
        this->links[name].address = std::move(address);
}

void GroupLinks::send(const std::string &name, const std::string &document)
{
    const auto link = this->links.find(name);
    if (link != this->links.end() && link->second.session != nullptr && link->second.stream != 0)
        link->second.session->send(link->second.stream, encodeMessage(PeerMessage::MapData{
                                                                this->identity.group, document}));
}

std::size_t GroupLinks::openCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->links.begin(), this->links.end(),
                          [](const auto &link) { return link.second.stream != 0; }));
}

void GroupLinks::checkLinks()
{
    this->closedSessions.clear();
    const Instant now = this->loop.now();
    for (auto &[name, link] : this->links) {
        if (link.session != nullptr) {
            link.session->checkLiveness(now, IdleTimeout);
        } else if (now >= link.retryAt) {
            link.retryAt = now + RetryDelay;
            link.session = PeerSession::connect(this->loop, link.address, *this);
        }
    }
}

void GroupLinks::close(Link &link)
{
    if (link.session != nullptr)
        this->closedSessions.push_back(std::move(link.session));
    link.stream = 0;
}

void GroupLinks::peerConnected(PeerSession &session)
{
    for (auto &[name, link] : this->links) {
        if (link.session.get() != &session)
            continue;
        link.stream = session.openStream(std::string(StreamPath));
        session.send(link.stream, encodeMessage(PeerMessage::Hello{
                                          this->identity.process, this->identity.failureDomain,
                                          this->identity.deploymentKey, 0}));
    }
}

void GroupLinks::peerStreamOpened(PeerSession &session, std::int32_t stream, std::string_view)
{
    // Agents open no streams on links that they have accepted.
    session.reset(stream, true);
}

void GroupLinks::peerMessage(PeerSession &session, std::int32_t stream, std::string message)
{
    const auto found = std::find_if(
            this->links.begin(), this->links.end(), [&session, stream](const auto &link) {
                return link.second.session.get() == &session && link.second.stream == stream;
            });
    const auto decoded = decodePeerMessage(message);
    if (found == this->links.end() || !decoded.has_value())
        return;
    if (const auto *data = std::get_if<PeerMessage::MapData>(&*decoded);
        data != nullptr && data->group == this->identity.group) {
        // The receiver may change the links.
        const std::string name = found->first;
        this->receiver(name, data->document);
    }
}

void GroupLinks::peerStreamClosed(PeerSession &session, std::int32_t, StreamEnd)
{
    for (auto &[name, link] : this->links) {
        if (link.session.get() == &session) {
            this->close(link);
            link.retryAt = this->loop.now() + RetryDelay;
        }
    }
}

void GroupLinks::peerDisconnected(PeerSession &session)
{
    for (auto &[name, link] : this->links) {
        if (link.session.get() == &session) {
            this->close(link);
            link.retryAt = this->loop.now() + RetryDelay;
        }
    }
}

} // namespace Nutmegrill
