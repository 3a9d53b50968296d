#include "Net/PeerSession.h"

#include "Net/EventLoop.h"
#include "Net/PeerObserver.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

namespace Nutmegrill {

namespace {

constexpr std::size_t LengthPrefixBytes = 4;
// Far larger than the window of a stream, so that a paused stream does not block the others.
constexpr std::int32_t ConnectionWindowBytes = 256 << 20;
constexpr std::uint32_t MaxConcurrentStreams = 4096;
// Bytes already passed to nghttp2 after which a stream's output buffer is compacted.
constexpr std::size_t OutputCompactionBytes = 16U << 10U;
// Limit on the output buffer of the connection. It is small, so that unsent data stays in the
// streams and is counted by pendingBytes().
constexpr std::size_t MaxConnectionOutputBytes = 256U << 10U;

void appendLength(std::string &output, std::uint32_t length)
{
    const std::uint32_t bytes = htonl(length);
    output.append(reinterpret_cast<const char *>(&bytes), sizeof bytes);
}

// Appends without spare capacity: the streams of slow readers wait with a full window, and
// std::string would double its capacity beyond that.
void appendExactly(std::string &text, std::string_view data)
{
    if (text.size() + data.size() <= text.capacity()) {
        text.append(data);
        return;
    }
    std::string grown;
    grown.reserve(text.size() + data.size());
    grown.append(text).append(data);
    text = std::move(grown);
}

std::uint32_t readLength(const std::string &input, std::size_t offset)
{
    std::uint32_t bytes = 0;
    std::memcpy(&bytes, input.data() + offset, sizeof bytes);
    return ntohl(bytes);
}

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

// Nagle's algorithm would delay a token until the previous one is acknowledged.
void disableNagle(bufferevent *connection)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

// C callbacks of nghttp2 and libevent, which receive the PeerSession as their context.
struct PeerSession::Callbacks
{
    static PeerSession *self(void *userData) { return static_cast<PeerSession *>(userData); }

    static ssize_t send(nghttp2_session *, const std::uint8_t *data, std::size_t length, int,
                        void *userData)
    {
        PeerSession *session = self(userData);
        evbuffer *output = bufferevent_get_output(session->connection);
        if (evbuffer_get_length(output) >= MaxConnectionOutputBytes)
            return NGHTTP2_ERR_WOULDBLOCK;
        evbuffer_add(output, data, length);
        session->sentBytes += length;
        return static_cast<ssize_t>(length);
    }

    static ssize_t readData(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                            std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                            void *userData)
    {
        Stream *stream = self(userData)->find(id);
        if (stream == nullptr) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return 0;
        }
        const std::size_t count = std::min(length, stream->output.size() - stream->outputOffset);
        std::memcpy(buffer, stream->output.data() + stream->outputOffset, count);
        stream->outputOffset += count;
        // Under steady backpressure the output buffer never becomes empty, so it is compacted as
        // well when enough bytes have been passed on.
        if (stream->outputOffset == stream->output.size()
            || stream->outputOffset >= OutputCompactionBytes) {
            stream->output.erase(0, stream->outputOffset);
            stream->outputOffset = 0;
        }
        if (!stream->output.empty() || count > 0) {
            if (stream->finishing && stream->output.empty())
                *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(count);
        }
        if (stream->finishing) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return 0;
        }
        stream->deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }

    static int beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            self(userData)->streams.try_emplace(frame->hd.stream_id);
        return 0;
    }

    static int header(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                      std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                      std::uint8_t, void *userData)
    {
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        if (Stream *stream = self(userData)->find(frame->hd.stream_id);
            stream != nullptr && key == ":path")
            stream->path.assign(reinterpret_cast<const char *>(value), valueLength);
        return 0;
    }

    static int frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        PeerSession *session = self(userData);
        const std::int32_t id = frame->hd.stream_id;
        Stream *stream = session->find(id);
        if (stream == nullptr)
            return 0;
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            session->respond(id);
            stream->announced = true;
            session->observer.peerStreamOpened(*session, id, stream->path);
        }
        const bool canEndStream =
                frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (stream = session->find(id);
            stream != nullptr && canEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            stream->peerFinished = true;
        return 0;
    }

    static int dataReceived(nghttp2_session *, std::uint8_t, std::int32_t id,
                            const std::uint8_t *data, std::size_t length, void *userData)
    {
        PeerSession *session = self(userData);
        // The connection window is refilled at once; only the window of the stream applies
        // backpressure to the sender.
        nghttp2_session_consume_connection(session->session, length);
        if (Stream *stream = session->find(id)) {
            appendExactly(stream->input, {reinterpret_cast<const char *>(data), length});
            stream->unconsumedBytes += length;
            session->deliverMessages(id);
        }
        return 0;
    }

    static int streamClosed(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                            void *userData)
    {
        self(userData)->closeStream(id, errorCode);
        return 0;
    }

    static void readable(bufferevent *, void *userData) { self(userData)->receive(); }

    static void writable(bufferevent *, void *userData) { self(userData)->flush(); }

    static void event(bufferevent *, short what, void *userData)
    {
        PeerSession *session = self(userData);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            session->connected = true;
            disableNagle(session->connection);
            session->lastReceived = session->loop.now();
            session->observer.peerConnected(*session);
            session->flush();
            return;
        }
        session->fail();
    }
};

PeerSession::PeerSession(EventLoop &loop, PeerObserver &observer, bool server)
    : loop(loop), observer(observer), server(server), alive(std::make_shared<bool>(true)),
      lastReceived(loop.now()), nextPing(loop.now())
{}

std::unique_ptr<PeerSession> PeerSession::connect(EventLoop &loop, const std::string &address,
                                                  PeerObserver &observer)
{
    std::unique_ptr<PeerSession> session(new PeerSession(loop, observer, false));
    session->start(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&storage), &length)
                != 0
        || bufferevent_socket_connect(session->connection, reinterpret_cast<sockaddr *>(&storage),
                                      length)
                   != 0) {
        // Reported from the event loop, when the caller has received the session.
        PeerSession *failed = session.get();
        loop.after(std::chrono::milliseconds(0),
                   [failed, guard = std::weak_ptr<bool>(session->alive)] {
                       if (!guard.expired())
                           failed->fail();
                   });
    }
    return session;
}

std::unique_ptr<PeerSession> PeerSession::accept(EventLoop &loop, int fd, PeerObserver &observer)
{
    std::unique_ptr<PeerSession> session(new PeerSession(loop, observer, true));
    session->connected = true;
    session->start(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    disableNagle(session->connection);
    session->flush();
    return session;
}

PeerSession::~PeerSession()
{
    if (this->session != nullptr)
        nghttp2_session_del(this->session);
    if (this->connection != nullptr)
        bufferevent_free(this->connection);
}

void PeerSession::start(bufferevent *connection)
{
    this->connection = connection;
    this->open = true;
    bufferevent_setcb(connection, &Callbacks::readable, &Callbacks::writable, &Callbacks::event,
                      this);
    bufferevent_enable(connection, EV_READ | EV_WRITE);

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_send_callback(callbacks, &Callbacks::send);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::dataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::streamClosed);
    nghttp2_option *options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    if (this->server)
        nghttp2_session_server_new2(&this->session, callbacks, this, options);
    else
        nghttp2_session_client_new2(&this->session, callbacks, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 2> settings = {
            {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
             {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams}}};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          ConnectionWindowBytes);
}

PeerSession::Stream *PeerSession::find(std::int32_t streamId)
{
    const auto found = this->streams.find(streamId);
    return found == this->streams.end() ? nullptr : &found->second;
}

std::int32_t PeerSession::openStream(const std::string &path)
{
    if (!this->open)
        return 0;
    const std::array<nghttp2_nv, 4> headers = {
            makeHeader(":method", "POST"), makeHeader(":scheme", "http"), makeHeader(":path", path),
            makeHeader(":authority", "nutmegrill")};
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::readData;
    const std::int32_t id = nghttp2_submit_request(this->session, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id <= 0)
        return 0;
    Stream &stream = this->streams[id];
    stream.path = path;
    stream.announced = true;
    stream.responded = true;
    this->flush();
    return id;
}

void PeerSession::respond(std::int32_t streamId)
{
    const std::array<nghttp2_nv, 1> headers = {makeHeader(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::readData;
    nghttp2_submit_response(this->session, streamId, headers.data(), headers.size(), &provider);
    if (Stream *stream = this->find(streamId))
        stream->responded = true;
}

void PeerSession::send(std::int32_t streamId, std::string_view message)
{
    Stream *stream = this->find(streamId);
    if (stream == nullptr || !this->open || stream->finishing)
        return;
    appendLength(stream->output, static_cast<std::uint32_t>(message.size()));
    stream->output.append(message);
    if (stream->deferred) {
        stream->deferred = false;
        nghttp2_session_resume_data(this->session, streamId);
    }
    this->flush();
}

void PeerSession::finish(std::int32_t streamId)
{
    Stream *stream = this->find(streamId);
    if (stream == nullptr || !this->open)
        return;
    stream->finishing = true;
    if (stream->deferred) {
        stream->deferred = false;
        nghttp2_session_resume_data(this->session, streamId);
    }
    this->flush();
}

void PeerSession::reset(std::int32_t streamId, bool notProcessed)
{
    if (this->find(streamId) == nullptr || !this->open)
        return;
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, streamId,
                              notProcessed ? NGHTTP2_REFUSED_STREAM : NGHTTP2_CANCEL);
    this->flush();
}

void PeerSession::pause(std::int32_t streamId, bool paused)
{
    Stream *stream = this->find(streamId);
    if (stream == nullptr || stream->paused == paused)
        return;
    stream->paused = paused;
    if (!paused) {
        // Deferred to the event loop, because the caller may be inside a callback of this stream.
        this->loop.after(std::chrono::milliseconds(0),
                         [this, streamId, guard = std::weak_ptr<bool>(this->alive)] {
                             if (guard.expired())
                                 return;
                             this->deliverMessages(streamId);
                             this->flush();
                         });
    }
}

std::size_t PeerSession::pendingBytes(std::int32_t streamId) const
{
    const auto found = this->streams.find(streamId);
    return found == this->streams.end() ? 0
                                        : found->second.output.size() - found->second.outputOffset;
}

void PeerSession::announceShutdown()
{
    if (!this->open)
        return;
    nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(this->session), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    this->flush();
}

void PeerSession::checkLiveness(Instant now, std::chrono::milliseconds idleTimeout)
{
    if (!this->open)
        return;
    if (now - this->lastReceived >= idleTimeout) {
        this->fail();
        return;
    }
    const auto pingInterval = idleTimeout / 3;
    if (this->connected && now - this->lastReceived >= pingInterval && now >= this->nextPing) {
        this->nextPing = now + pingInterval;
        nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
        this->flush();
    }
}

void PeerSession::receive()
{
    if (!this->open)
        return;
    this->lastReceived = this->loop.now();
    evbuffer *input = bufferevent_get_input(this->connection);
    std::vector<std::uint8_t> bytes(evbuffer_get_length(input));
    evbuffer_remove(input, bytes.data(), bytes.size());
    this->receivedBytes += bytes.size();
    this->insideNghttp2 = true;
    const ssize_t result = nghttp2_session_mem_recv(this->session, bytes.data(), bytes.size());
    this->insideNghttp2 = false;
    if (result < 0) {
        this->fail();
        return;
    }
    this->flush();
}

void PeerSession::flush()
{
    if (!this->open || !this->connected)
        return;
    // nghttp2 is not reentrant: calls from its callbacks are flushed by the outer call.
    if (this->insideNghttp2) {
        this->flushAgain = true;
        return;
    }
    std::vector<std::pair<std::int32_t, std::size_t>> waiting;
    for (const auto &[id, stream] : this->streams) {
        if (!stream.output.empty())
            waiting.emplace_back(id, stream.output.size() - stream.outputOffset);
    }
    do {
        this->flushAgain = false;
        this->insideNghttp2 = true;
        const int result = nghttp2_session_send(this->session);
        this->insideNghttp2 = false;
        if (result != 0) {
            this->fail();
            return;
        }
    } while (this->flushAgain);
    for (const auto &[id, before] : waiting) {
        if (this->find(id) != nullptr && this->pendingBytes(id) < before)
            this->observer.peerStreamDrained(*this, id);
    }
    if (this->open && nghttp2_session_want_read(this->session) == 0
        && nghttp2_session_want_write(this->session) == 0)
        this->fail();
}

void PeerSession::deliverMessages(std::int32_t streamId)
{
    for (Stream *stream = this->find(streamId); stream != nullptr && !stream->paused;
         stream = this->find(streamId)) {
        if (stream->unconsumedBytes > 0) {
            nghttp2_session_consume_stream(this->session, streamId, stream->unconsumedBytes);
            stream->unconsumedBytes = 0;
        }
        if (stream->input.size() < LengthPrefixBytes)
            return;
        const std::size_t length = readLength(stream->input, 0);
        if (length > MaxMessageBytes) {
            this->fail();
            return;
        }
        if (stream->input.size() < LengthPrefixBytes + length)
            return;
        std::string message = stream->input.substr(LengthPrefixBytes, length);
        stream->input.erase(0, LengthPrefixBytes + length);
        this->observer.peerMessage(*this, streamId, std::move(message));
    }
}

void PeerSession::closeStream(std::int32_t streamId, std::uint32_t errorCode)
{
    const auto found = this->streams.find(streamId);
    if (found == this->streams.end())
        return;
    // Delivers the messages that were held back while the stream was paused.
    if (found->second.paused) {
        found->second.paused = false;
        this->deliverMessages(streamId);
    }
    const bool announced = found->second.announced;
    this->streams.erase(streamId);
    if (!announced)
        return;
    PeerObserver::StreamEnd end = PeerObserver::StreamEnd::Broken;
    if (errorCode == NGHTTP2_NO_ERROR)
        end = PeerObserver::StreamEnd::Finished;
    else if (errorCode == NGHTTP2_REFUSED_STREAM)
        end = PeerObserver::StreamEnd::NotProcessed;
    this->observer.peerStreamClosed(*this, streamId, end);
}

void PeerSession::fail()
{
    if (!this->open || this->failureScheduled)
        return;
    // Deferred to the event loop, because nghttp2 may be inside a callback now.
    this->failureScheduled = true;
    bufferevent_disable(this->connection, EV_READ | EV_WRITE);
    this->loop.after(
            std::chrono::milliseconds(0), [this, guard = std::weak_ptr<bool>(this->alive)] {
                if (guard.expired())
                    return;
                this->open = false;
                while (!this->streams.empty() && !guard.expired())
                    this->closeStream(this->streams.begin()->first, NGHTTP2_INTERNAL_ERROR);
                if (!guard.expired())
                    this->observer.peerDisconnected(*this);
            });
}

} // namespace Nutmegrill
