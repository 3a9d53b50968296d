#include "Agent/ClaimRecord.h"
#include "Agent/CreditLedger.h"
#include "AgentScript.h"

#include <map>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

/// Each mechanism test checks a guarantee with its mechanism enabled, and checks that the same
/// property fails with the mechanism disabled.
class AgentMechanismTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentMechanismTest);
    CPPUNIT_TEST(coldLimitIsEnforced);
    CPPUNIT_TEST(takenOutDomainGetsNoRequests);
    CPPUNIT_TEST(brokenLinkLosesNoAnswer);
    CPPUNIT_TEST(slowEntryPausesTheBackend);
    CPPUNIT_TEST(suspectRunsAlone);
    CPPUNIT_TEST(stopWaitsForRunningWork);
    CPPUNIT_TEST(creditsFollowDemand);
    CPPUNIT_TEST(claimRecordPreservesAnyBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against exceeding the cold limit of a backend server after its start.
    void coldLimitIsEnforced()
    {
        this->checkMechanism(&AgentMechanisms::warmup, [](AgentScript &script) {
            return count(script.runAll({"10 work 1 id=r1", "10 work 2 id=r2", "10 work 3 id=r3"}),
                         "call ")
                   == 2;
        });
    }

    // Guards against new work in a failure domain that was taken out.
    void takenOutDomainGetsNoRequests()
    {
        this->checkMechanism(&AgentMechanisms::takeOut, [](AgentScript &script) {
            return count(script.runAll({"10 takeout 1 epoch=1", "20 work 1 id=r1"}), "call ") == 0;
        });
    }

    // Guards against a truncated answer when the link breaks while the answer is streamed.
    void brokenLinkLosesNoAnswer()
    {
        this->checkMechanism(&AgentMechanisms::tails, [](AgentScript &script) {
            const std::string trace = script.runAll(
                    {"10 work 1 id=r1", "20 head r1", "20 data r1 a", "30 close 1", "40 data r1 b",
                     "50 end r1", "60 link 2", "60 hello 2", "70 work 2 link=2 id=r1 from=1"});
            return count(trace, "work 2 [\"event\",{\"data\":\"b\",\"index\":1}]") == 1
                   && count(trace, "work 2 [\"end\"") == 1;
        });
    }

    // Guards against unbounded buffering when an entry reads an answer slowly.
    void slowEntryPausesTheBackend()
    {
        this->checkMechanism(&AgentMechanisms::pauses, [](AgentScript &script) {
            return count(script.runAll(
                                 {"10 work 1 id=r1", "20 head r1", "30 buffered 1 bytes=300000"}),
                         "pause r1")
                   == 1;
        });
    }

    // Guards against other requests failing with a backend server that a suspect request crashes.
    void suspectRunsAlone()
    {
        this->checkMechanism(&AgentMechanisms::crashIsolation, [](AgentScript &script) {
            return count(script.runAll({"10 work 1 id=r1 fp=7", "20 broken r1", "30 up b2",
                                        "40 work 2 id=r2 fp=7", "50 work 3 id=r3 fp=8"}),
                         "call ")
                   == 2;
        });
    }

    // Guards against a planned stop that aborts a running request.
    void stopWaitsForRunningWork()
    {
        this->checkMechanism(&AgentMechanisms::drain, [](AgentScript &script) {
            return count(script.runAll({"10 work 1 id=r1", "20 stop", "30 head r1"}), "stop\n") == 0
                   && count(script.runAll({"40 end r1", "50 ack 1 id=r1 next=0"}), "stop\n") == 1;
        });
    }

    // Guards against starvation of an entry with a queue by one with a longer queue.
    void creditsFollowDemand()
    {
        CreditLedger ledger;
        const Instant now{std::chrono::seconds(1)};
        for (std::uint64_t link = 1; link <= 3; ++link) {
            ledger.open(link);
            ledger.recordActivity(now, link);
        }
        ledger.setDemand(1, 60);
        ledger.setDemand(2, 20);
        std::map<std::uint64_t, std::uint64_t> credits;
        for (const auto &[link, grant] : ledger.distribute(now, 8, 0))
            credits[link] = grant.startsUpTo;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), credits[1]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), credits[2]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), credits[3]);
        // Single slots are granted round robin, regardless of the queue lengths.
        std::map<std::uint64_t, int> served;
        for (std::uint64_t slots = 9; slots <= 16; ++slots) {
            for (const auto &[link, grant] : ledger.distribute(now, slots, 0))
                ++served[link];
        }
        CPPUNIT_ASSERT_EQUAL(4, served[1]);
        CPPUNIT_ASSERT_EQUAL(4, served[2]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(16), ledger.outstanding(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ledger.outstanding(now + std::chrono::seconds(2)));
    }

    // Guards against a recorded answer that JSON encoding alters because it has arbitrary bytes.
    void claimRecordPreservesAnyBytes()
    {
        for (std::size_t length = 0; length < 8; ++length) {
            ClaimRecord record;
            record.claimId = "a1-1-1";
            record.state = ClaimRecord::State::Completed;
            record.headers = {{"content-type", "application/octet-stream"}};
            record.body = std::string("\xff\0\x80=\n\"z\x01", 8).substr(0, length);
            record.hasBody = true;
            const auto decoded = decodeClaimRecord(encodeClaimRecord(record));
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(record.body == decoded->body && decoded->hasBody);
            CPPUNIT_ASSERT(record.headers == decoded->headers);
        }
        CPPUNIT_ASSERT(!decodeClaimRecord("{\"claimId\":7}").has_value());
    }

private:
    using Property = bool (*)(AgentScript &);

    static int count(const std::string &trace, const std::string &text)
    {
        int found = 0;
        for (auto at = trace.find(text); at != std::string::npos; at = trace.find(text, at + 1))
            ++found;
        return found;
    }

    static bool holds(AgentMechanisms mechanisms, Property property)
    {
        AgentScript script(mechanisms);
        script.runAll({"0 config", "0 up b1", "0 link 1", "0 hello 1"});
        return property(script);
    }

    void checkMechanism(bool AgentMechanisms::*mechanism, Property property)
    {
        AgentMechanisms without;
        without.*mechanism = false;
        CPPUNIT_ASSERT(holds({}, property));
        CPPUNIT_ASSERT(!holds(without, property));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentMechanismTest);

} // namespace Nutmegrill
