#include "RelayEntryFixture.h"

#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

namespace {

/// Fails on marked requests and answers, as a fault in the code would.
class FailingProtocol : public PlatformProtocol
{
public:
    RelayRequest readRequest(const HttpHead &head) const override
    {
        if (head.target.find("fail-request") != std::string::npos)
            throw std::runtime_error("request");
        return PlatformProtocol::readRequest(head);
    }

    std::string writeRequest(const HttpHead &head, std::string_view body,
                             const RelayCommand::StartAttempt &command) const override
    {
        if (head.target.find("fail-attempt") != std::string::npos)
            throw std::runtime_error("attempt");
        return PlatformProtocol::writeRequest(head, body, command);
    }

    std::vector<std::pair<std::string, std::string>>
    ownHeaders(const std::string &requestId,
               std::optional<std::chrono::milliseconds> retryAfter) const override
    {
        if (std::exchange(this->failsOwnHeaders, false))
            throw std::runtime_error("headers");
        return PlatformProtocol::ownHeaders(requestId, retryAfter);
    }

    /// The next answer of the entry's own cannot be written.
    mutable bool failsOwnHeaders = false;
};

/// Fails on marked values of the store.
class FailingDecoder : public PlatformDecoder
{
public:
    DecodedChange decode(const StoreChange &change) const override
    {
        if (change.value == "fail")
            throw std::runtime_error(std::string(100'000, 'x'));
        return PlatformDecoder::decode(change);
    }
};

} // namespace

/// An unexpected error in one request, value or message ends that one only.
class UnexpectedErrorTest : public RelayEntryFixture
{
    CPPUNIT_TEST_SUITE(UnexpectedErrorTest);
    CPPUNIT_TEST(errorEndsOneRequestOnly);
    CPPUNIT_TEST(errorInAnAnswerEndsItsRequest);
    CPPUNIT_TEST(errorInOneValueLeavesTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        RelayEntryFixture::setUp();
        this->entry = std::make_unique<RelayEntry>(*this->loop, this->fresh(), this->failing,
                                                   this->failingDecoder, *this->store);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->entry->startError());
        this->worker = std::make_unique<HttpListener>(
                *this->loop, this->workerAddress, 16,
                [this](HttpListener::Request &&request) { this->serve(request); });
    }

    void tearDown() override
    {
        this->worker.reset();
        RelayEntryFixture::tearDown();
    }

    void errorEndsOneRequestOnly()
    {
        this->store->put("servers/i-1", this->record());
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(500, this->send("/r/fail-request", "k").status);
        CPPUNIT_ASSERT_EQUAL(500, this->send("/r/fail-attempt", "k").status);
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
    }

    // Guards against a caller that waits until its deadline for an answer that cannot be written.
    void errorInAnAnswerEndsItsRequest()
    {
        this->store->put("servers/i-1", this->record());
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(500, this->send("/r/break-off", "k").status);
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
    }

    void errorInOneValueLeavesTheOthers()
    {
        this->store->put("op/config", configuration(1, "k"));
        this->store->put("servers/i-0", "fail");
        this->store->put("servers/i-1", this->record());
        this->store->put("servers/i-2", "fail");
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
    }

private:
    void serve(const HttpListener::Request &request)
    {
        auto *connection = this->worker->find(request.id);
        if (request.path().find("break-off") != std::string_view::npos) {
            this->failing.failsOwnHeaders = true;
            connection->abort();
            return;
        }
        connection->reply(
                200, "OK",
                {{"Attempt-Id", *request.head.find("Attempt-Id")}, {"Response-Seal", "s"}}, "done");
    }

    RelayEntry::Options fresh()
    {
        this->entry.reset();
        return this->options;
    }

    std::string record() const
    {
        return R"({"service":"p","address":")" + this->workerAddress
               + R"(","zone":"n","slots":4,"state":"ready"})";
    }

    FailingProtocol failing;
    FailingDecoder failingDecoder;
    std::string workerAddress = freeAddress();
    std::unique_ptr<HttpListener> worker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnexpectedErrorTest);

} // namespace Nutmegrill
