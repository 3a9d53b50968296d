#include "Messages/MessageCodec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class MessageCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(malformedBytesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields that are missing in the codec.
    void messagesRoundTrip()
    {
        const PeerMessage::Any grant =
                PeerMessage::Grant{17, 4096, std::chrono::milliseconds(2000)};
        const auto decoded = decodePeerMessage(encodeMessage(grant));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(describeMessage(grant), describeMessage(*decoded));
        CPPUNIT_ASSERT_EQUAL(
                std::string(R"(["grant",{"kvBytesFree":4096,"remaining":2000,"startsUpTo":17}])"),
                describeMessage(grant));

        WorkMessage::Failure failure;
        failure.run = RunState::NotRun;
        failure.code = "cold";
        const auto decodedFailure = decodeWorkMessage(encodeMessage(WorkMessage::Any(failure)));
        CPPUNIT_ASSERT(decodedFailure.has_value());
        CPPUNIT_ASSERT(std::get<WorkMessage::Failure>(*decodedFailure).run == RunState::NotRun);
    }

    // Guards against a crash on malformed or unknown messages, such as from another version.
    void malformedBytesAreRejected()
    {
        const std::string good = encodeMessage(PeerMessage::Any(PeerMessage::Demand{3}));
        for (std::size_t length = 0; length < good.size(); ++length)
            CPPUNIT_ASSERT(!decodePeerMessage(good.substr(0, length)).has_value());
        CPPUNIT_ASSERT(!decodePeerMessage("\x82\x63xyz\xa0").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);

} // namespace Nutmegrill
