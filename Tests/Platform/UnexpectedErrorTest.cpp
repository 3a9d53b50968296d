#include "RelayEntryFixture.h"

#include <stdexcept>
#include <string>

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
    CPPUNIT_TEST(errorInOneValueLeavesTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        RelayEntryFixture::setUp();
        this->entry = std::make_unique<RelayEntry>(*this->loop, this->fresh(), this->failing,
                                                   this->failingDecoder, *this->store);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->entry->startError());
    }

    void errorEndsOneRequestOnly()
    {
        HttpListener worker(*this->loop, this->workerAddress, 16,
                            [&worker](HttpListener::Request &&request) {
                                worker.find(request.id)
                                        ->reply(200, "OK",
                                                {{"Attempt-Id", *request.head.find("Attempt-Id")},
                                                 {"Response-Seal", "s"}},
                                                "done");
                            });
        this->store->put("servers/i-1", this->record());
        this->store->put("op/config", configuration(1, "k"));
        CPPUNIT_ASSERT_EQUAL(500, this->send("/r/fail-request", "k").status);
        CPPUNIT_ASSERT_EQUAL(500, this->send("/r/fail-attempt", "k").status);
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
    }

    void errorInOneValueLeavesTheOthers()
    {
        HttpListener worker(*this->loop, this->workerAddress, 16,
                            [&worker](HttpListener::Request &&request) {
                                worker.find(request.id)
                                        ->reply(200, "OK",
                                                {{"Attempt-Id", *request.head.find("Attempt-Id")},
                                                 {"Response-Seal", "s"}},
                                                "done");
                            });
        this->store->put("op/config", configuration(1, "k"));
        this->store->put("servers/i-0", "fail");
        this->store->put("servers/i-1", this->record());
        this->store->put("servers/i-2", "fail");
        CPPUNIT_ASSERT_EQUAL(200, this->send("/r/1", "k").status);
    }

private:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnexpectedErrorTest);

} // namespace Nutmegrill
