#include "Relay/StoreContact.h"

#include <chrono>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests which gaps between the answers of the store count as outages in which rows may expire.
class StoreContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreContactTest);
    CPPUNIT_TEST(cutCallCountsAsOutage);
    CPPUNIT_TEST(outageOfSeveralHeartbeatsIsMissed);
    CPPUNIT_TEST(storeThatOnlyThisEntryDoesNotReachCountsAsOutage);
    CPPUNIT_TEST(entryThatHearsNobodyCountsAnOutage);
    CPPUNIT_TEST(outageThatAnotherEntryTellsIsMissed);
    CPPUNIT_TEST(startCountsAsOutage);
    CPPUNIT_TEST(ownPauseCountsAsOutage);
    CPPUNIT_TEST(restoreIsNoReturn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a removed backend server that stays in use because a watch was cut.
    void cutCallCountsAsOutage()
    {
        this->answerAt(milliseconds(0));
        // A watch is cut just before its end, and sent again; many times.
        for (int cut = 1; cut < 9; ++cut)
            CPPUNIT_ASSERT(!this->answerAfterFailureAt(cut * milliseconds(1650)));
        CPPUNIT_ASSERT(!this->contact.returnedAt());
    }

    // Guards against live backend servers that are dropped because their rows expired.
    void outageOfSeveralHeartbeatsIsMissed()
    {
        this->answerAt(milliseconds(0));
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(2390)));
        CPPUNIT_ASSERT(this->answerAfterFailureAt(milliseconds(4790)));
        CPPUNIT_ASSERT_EQUAL(milliseconds(2400).count(), this->contact.gapLength().count());
        CPPUNIT_ASSERT(this->contact.returnedAt() == this->start + milliseconds(4790));
        // The next answer ends no other outage.
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(4800)));
        CPPUNIT_ASSERT(this->contact.returnedAt() == this->start + milliseconds(4790));
    }

    // Guards against a removed backend server that stays in use because this entry alone was cut
    // off from the store.
    void storeThatOnlyThisEntryDoesNotReachCountsAsOutage()
    {
        this->answerAt(milliseconds(0));
        for (int report = 1; report < 10; ++report)
            CPPUNIT_ASSERT(
                    !this->answerAfterFailureAt(report * milliseconds(500), milliseconds(300)));
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(6000)));
        // A report that arrives late proves nothing about the time since then.
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(8000), milliseconds(2500)));
        CPPUNIT_ASSERT(this->answerAfterFailureAt(milliseconds(8500)));
    }

    // Guards against a removed backend server that stays in use because this entry, which does not
    // watch the store, was cut off from the others.
    void entryThatHearsNobodyCountsAnOutage()
    {
        this->answerAt(milliseconds(0));
        CPPUNIT_ASSERT(!this->answerAt(milliseconds(5000)));
        CPPUNIT_ASSERT(!this->contact.returnedAt());
        // Another entry tells of an earlier or a later outage.
        CPPUNIT_ASSERT(!this->contact.recordPeerOutage(this->start - seconds(1)));
        CPPUNIT_ASSERT(!this->contact.recordPeerOutage(this->start + milliseconds(6001)));
    }

    // Guards against live backend servers that an entry drops because it does not watch the store
    // and so sees no call fail.
    void outageThatAnotherEntryTellsIsMissed()
    {
        this->answerAt(milliseconds(0));
        CPPUNIT_ASSERT(!this->contact.recordPeerOutage(this->start + milliseconds(100)));
        CPPUNIT_ASSERT(!this->answerAt(milliseconds(5000)));
        CPPUNIT_ASSERT(this->contact.recordPeerOutage(this->start + milliseconds(4800)));
        CPPUNIT_ASSERT(this->contact.returnedAt() == this->start + milliseconds(4800));
        CPPUNIT_ASSERT(!this->contact.recordPeerOutage(this->start + milliseconds(4900)));
    }

    // Guards against a removed backend server that stays in use because an entry, which has not
    // read the store yet, hears first of those whose last call is long ago.
    void startCountsAsOutage()
    {
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(20), milliseconds(5000)));
        CPPUNIT_ASSERT(!this->answerAfterFailureAt(milliseconds(900)));
        CPPUNIT_ASSERT(!this->contact.returnedAt());
        CPPUNIT_ASSERT(this->answerAfterFailureAt(milliseconds(3400)));
    }

    // Guards against a removed backend server that stays in use because this process heard nobody
    // while it was paused.
    void ownPauseCountsAsOutage()
    {
        this->answerAt(milliseconds(0));
        this->tickUntil(milliseconds(200));
        CPPUNIT_ASSERT(!this->contact.recordAnswer(this->start + milliseconds(4200),
                                                   milliseconds(0), true));
        // An outage beside a pause is one.
        this->tickUntil(milliseconds(5000), milliseconds(4220));
        this->tickUntil(milliseconds(9000), milliseconds(6500));
        CPPUNIT_ASSERT(this->contact.recordAnswer(this->start + milliseconds(9000), milliseconds(0),
                                                  true));
    }

    void restoreIsNoReturn()
    {
        this->answerAt(milliseconds(0));
        this->contact.recordRestore(this->start + seconds(1));
        CPPUNIT_ASSERT(this->contact.returnedAt() == this->start + seconds(1));
    }

private:
    void tickUntil(milliseconds end, milliseconds begin = milliseconds(-1))
    {
        if (begin >= milliseconds(0))
            this->ticked = begin;
        for (; this->ticked <= end; this->ticked += milliseconds(20))
            this->contact.noteTime(this->start + this->ticked);
    }

    /// The process runs until then.
    bool answerAt(milliseconds at, milliseconds age = milliseconds(0), bool ownCallsFail = false)
    {
        this->tickUntil(at);
        return this->contact.recordAnswer(this->start + at, age, ownCallsFail);
    }

    bool answerAfterFailureAt(milliseconds at, milliseconds age = milliseconds(0))
    {
        return this->answerAt(at, age, true);
    }

    Instant start{seconds(100)};
    milliseconds ticked{0};
    StoreContact contact{milliseconds(1200)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContactTest);

} // namespace Nutmegrill
