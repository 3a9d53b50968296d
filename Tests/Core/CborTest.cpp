#include "Core/Cbor.h"

#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Nutmegrill {

class CborTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CborTest);
    CPPUNIT_TEST(messagesAreRead);
    CPPUNIT_TEST(hostileBytesAreDiscarded);
    CPPUNIT_TEST(hostileTextIsDiscarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesAreRead()
    {
        const nlohmann::json message = {
                {"name", "entry"}, {"running", {{"i-1", 3}}}, {"list", {1}}};
        const auto bytes = nlohmann::json::to_cbor(message);
        CPPUNIT_ASSERT(parseCbor({reinterpret_cast<const char *>(bytes.data()), bytes.size()})
                       == message);
    }

    // Guards against two crashes found by fuzzing: an array header with more elements than any
    // memory can hold (peer-messages, seed 1, run 645), and 60 KB of nested arrays.
    void hostileBytesAreDiscarded()
    {
        CPPUNIT_ASSERT(parseCbor(std::string("\xbb\xab\x67\x63\x61\x6c\x6c\x65\x72\x73", 10))
                               .is_discarded());
        CPPUNIT_ASSERT(parseCbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10))
                               .is_discarded());
        CPPUNIT_ASSERT(parseCbor(std::string(60'000, '\x81')).is_discarded());
        CPPUNIT_ASSERT(parseCbor("").is_discarded());
    }

    void hostileTextIsDiscarded()
    {
        CPPUNIT_ASSERT(parseJson(R"({"a":[1]})") == nlohmann::json({{"a", {1}}}));
        const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
        for (const std::string &text : {deep, R"({"a":)" + deep + "}", std::string("1e999"),
                                        std::string("\xff\xfe"), std::string(), std::string("{")})
            CPPUNIT_ASSERT(parseJson(text).is_discarded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CborTest);

} // namespace Nutmegrill
