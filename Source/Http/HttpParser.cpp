#include "Http/HttpParser.h"

#include "Http/ResponseFraming.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <http_parser.h>

namespace Nutmegrill {

namespace {

/// Result of a callback that lets http-parser fail.
constexpr int InvalidHead = -1;
/// Result of the callback for a head that lets http-parser expect no body.
constexpr int SkipBody = 1;

constexpr int SwitchingProtocols = 101;

/// Limit of the head of a request.
std::uint32_t requestHeadBytes = HTTP_MAX_HEADER_SIZE;

} // namespace

struct HttpParser::Parser
{
    Parser(Kind kind, Observer &observer) : kind(kind), observer(observer) { this->reset(); }

    void reset()
    {
        http_parser_init(&this->library,
                         this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->library.data = this;
        this->head = HttpHead();
        this->inValue = false;
        this->state = State::Idle;
        this->framing.reset();
        this->fault = {};
    }

    static Parser &fromLibrary(http_parser *library)
    {
        return *static_cast<Parser *>(library->data);
    }

    static int onBegin(http_parser *library)
    {
        fromLibrary(library).state = State::Head;
        return 0;
    }

    static int onTarget(http_parser *library, const char *at, std::size_t length)
    {
        fromLibrary(library).head.target.append(at, length);
        return 0;
    }

    static int onReason(http_parser *library, const char *at, std::size_t length)
    {
        fromLibrary(library).head.reason.append(at, length);
        return 0;
    }

    static int onField(http_parser *library, const char *at, std::size_t length)
    {
        Parser &self = fromLibrary(library);
        // Also called for the trailers of a chunked body, which are dropped.
        if (self.state != State::Head)
            return 0;
        // http-parser ignores spaces in a header name when it recognizes Content-Length. A name
        // that it interprets differently from this code would allow request smuggling.
        if (std::any_of(at, at + length, [](char letter) { return letter <= ' '; }))
            return 1;
        if (self.inValue || self.head.headers.empty())
            self.head.headers.emplace_back();
        self.inValue = false;
        self.head.headers.back().first.append(at, length);
        return 0;
    }

    static int onValue(http_parser *library, const char *at, std::size_t length)
    {
        Parser &self = fromLibrary(library);
        if (self.state != State::Head)
            return 0;
        self.inValue = true;
        self.head.headers.back().second.append(at, length);
        return 0;
    }

    static int onHeadersComplete(http_parser *library)
    {
        Parser &self = fromLibrary(library);
        self.state = State::Body;
        if (self.kind == Kind::Request)
            self.head.method = http_method_str(static_cast<http_method>(library->method));
        else if (!self.readResponseHead())
            return InvalidHead;
        self.head.keepAlive = http_should_keep_alive(library) != 0;
        const bool isBodiless = self.kind == Kind::Response && self.isBodiless();
        self.observer.headParsed(std::move(self.head));
        self.head = HttpHead();
        return isBodiless ? SkipBody : 0;
    }

    /// Returns false if the body would not be the one that the sender means.
    bool readResponseHead()
    {
        const int status = static_cast<int>(this->library.status_code);
        const bool isChunked = (this->library.flags & F_CHUNKED) != 0;
        const bool hasLength =
                this->library.content_length != std::numeric_limits<std::uint64_t>::max();
        const bool isBodiless = this->isBodiless();
        // What follows is in a protocol that no request asks for.
        if (status == SwitchingProtocols)
            this->fault = "switch of protocols";
        else if (!isBodiless && !this->isCodingRemoved(isChunked))
            this->fault = "transfer coding";
        if (!this->fault.empty())
            return false;
        this->head.status = status;
        // Without a length and without chunks, the body lasts until the connection ends.
        this->head.isFramed = isChunked || hasLength || isBodiless;
        this->framing.headEnded(isChunked);
        return true;
    }

    /// Whether the response has no body, whatever length its fields name.
    bool isBodiless() const
    {
        const auto status = this->library.status_code;
        return this->answersHead || status / 100 == 1 || status == 204 || status == 304;
    }

    /// Whether the only transfer coding, if any, is the one that http-parser removes.
    bool isCodingRemoved(bool isChunked) const
    {
        int codings = 0;
        for (const auto &[name, value] : this->head.headers) {
            if (!equalsIgnoringCase(name, "transfer-encoding"))
                continue;
            ++codings;
            if (!isChunked || !equalsIgnoringCase(value, "chunked"))
                return false;
        }
        return codings <= 1;
    }

    static int onBody(http_parser *library, const char *at, std::size_t length)
    {
        fromLibrary(library).observer.bodyParsed({at, length});
        return 0;
    }

    static int onChunk(http_parser *library)
    {
        fromLibrary(library).framing.chunkBegan(library->content_length);
        return 0;
    }

    static int onComplete(http_parser *library)
    {
        fromLibrary(library).state = State::Complete;
        http_parser_pause(library, 1);
        return 0;
    }

    static const http_parser_settings &callbacks()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_message_begin = &Parser::onBegin;
            result.on_url = &Parser::onTarget;
            result.on_status = &Parser::onReason;
            result.on_header_field = &Parser::onField;
            result.on_header_value = &Parser::onValue;
            result.on_headers_complete = &Parser::onHeadersComplete;
            result.on_body = &Parser::onBody;
            result.on_chunk_header = &Parser::onChunk;
            result.on_message_complete = &Parser::onComplete;
            return result;
        }();
        return settings;
    }

    /// Passes bytes to http-parser and returns how many it consumed.
    std::size_t execute(std::string_view data)
    {
        // http-parser keeps the limit of a head in a global variable.
        http_parser_set_max_header_size(
                this->kind == Kind::Request ? requestHeadBytes : ResponseFraming::MaxHeadBytes);
        const std::size_t used =
                http_parser_execute(&this->library, &callbacks(), data.data(), data.size());
        if (this->state == State::Complete)
            return used;
        if (const auto error = HTTP_PARSER_ERRNO(&this->library); error != HPE_OK) {
            this->headTooLarge = error == HPE_HEADER_OVERFLOW;
            this->state = State::Failed;
            if (this->fault.empty())
                this->fault = http_errno_name(error);
        }
        return used;
    }

    /// Passes on the next piece of a response and returns how many bytes are done with.
    std::size_t feedResponse(std::string_view data)
    {
        if (this->framing.isInPlainBody())
            return this->execute(data);
        const auto piece = this->framing.take(data);
        if (!piece) {
            this->state = State::Failed;
            this->fault = this->framing.fault();
            return 0;
        }
        if (!piece->bytes.empty())
            this->execute(piece->bytes);
        else if (this->state == State::Idle)
            this->state = State::Head;
        return piece->used;
    }

    Kind kind;
    Observer &observer;
    http_parser library{};
    HttpHead head;
    bool inValue = false;
    bool headTooLarge = false;
    State state = State::Idle;
    /// Responses only.
    ResponseFraming framing;
    bool answersHead = false;
    std::string_view fault;
};

HttpParser::HttpParser(Kind kind, Observer &observer)
    : parser(std::make_unique<Parser>(kind, observer))
{}

HttpParser::~HttpParser() = default;

std::size_t HttpParser::feed(std::string_view data)
{
    Parser &self = *this->parser;
    std::size_t used = 0;
    while (used < data.size() && self.state != State::Complete && self.state != State::Failed) {
        const std::string_view rest = data.substr(used);
        used += self.kind == Kind::Response ? self.feedResponse(rest) : self.execute(rest);
    }
    return used;
}

bool HttpParser::finish()
{
    Parser &self = *this->parser;
    if (self.state == State::Body)
        http_parser_execute(&self.library, &Parser::callbacks(), nullptr, 0);
    return self.state == State::Complete;
}

void HttpParser::next()
{
    this->parser->reset();
}

void HttpParser::setAnswersHead(bool answersHead)
{
    this->parser->answersHead = answersHead;
}

std::string_view HttpParser::fault() const
{
    return this->parser->fault;
}

HttpParser::State HttpParser::state() const
{
    return this->parser->state;
}

bool HttpParser::isHeadTooLarge() const
{
    return this->parser->headTooLarge;
}

void HttpParser::setRequestHeadLimit(std::size_t bytes)
{
    requestHeadBytes = static_cast<std::uint32_t>(bytes);
}

} // namespace Nutmegrill
