#include "Entry/FairQueue.h"
#include "Entry/RetryBudget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>

namespace Nutmegrill {

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(sharesFollowWeights);
    CPPUNIT_TEST(sharesCountTokensNotRequests);
    CPPUNIT_TEST(lightAccountIsServedNext);
    CPPUNIT_TEST(idleAccountMaySendShortBurst);
    CPPUNIT_TEST(returningAccountIsNotServedFirstAgain);
    CPPUNIT_TEST(requestThatCannotStartBlocksNoOtherAccount);
    CPPUNIT_TEST(expectedWaitFollowsMeasuredRate);
    CPPUNIT_TEST(expectedWaitCountsAccountsThatComeAndGo);
    CPPUNIT_TEST(emptyQueueNeverRejects);
    CPPUNIT_TEST(retriesAreTenthOfFirstAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares that ignore the declared weights.
    void sharesFollowWeights()
    {
        FairQueue queue;
        for (int item = 0; item < 400; ++item) {
            queue.push("heavy", 3, item, 700);
            queue.push("light", 1, 1000 + item, 700);
        }
        const auto tokens = serve(queue, 400, 700, 700);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, ratio(tokens), 0.2);
    }

    // Guards against an account that gets a larger share by sending large requests.
    void sharesCountTokensNotRequests()
    {
        FairQueue queue;
        for (int item = 0; item < 400; ++item) {
            queue.push("heavy", 1, item, 4000);
            queue.push("light", 1, 1000 + item, 500);
        }
        const auto tokens = serve(queue, 200, 4000, 500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratio(tokens), 0.1);
    }

    // Guards against an idle account whose first request waits behind the backlog of others.
    void lightAccountIsServedNext()
    {
        FairQueue queue;
        for (int item = 0; item < 100; ++item)
            queue.push("heavy", 4, item, 700);
        serve(queue, 10, 700, 700);
        queue.push("light", 1, 1000, 700);
        CPPUNIT_ASSERT_EQUAL(1.0, serve(queue, 1, 1, 1)[false]);
    }

    // Guards against an idle account whose second request waits behind the backlog of others, and
    // against an unbounded burst.
    void idleAccountMaySendShortBurst()
    {
        FairQueue queue;
        for (int item = 0; item < 100; ++item)
            queue.push("heavy", 1, item, 700);
        serve(queue, 20, 1, 1);
        for (int item = 0; item < 50; ++item)
            queue.push("light", 1, 1000 + item, 700);
        CPPUNIT_ASSERT_EQUAL(4.0, serve(queue, 4, 1, 1)[false]);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratio(serve(queue, 20, 1, 1)), 0.25);
    }

    // Guards against an account that exceeds its share by never having two requests queued.
    void returningAccountIsNotServedFirstAgain()
    {
        FairQueue queue;
        Tokens tokens;
        for (int item = 0; item < 400; ++item)
            queue.push("heavy", 1, item, 700);
        for (int item = 0; item < 400; ++item) {
            if (queue.sizeOf("light") == 0)
                queue.push("light", 1, 1000 + item, 700);
            for (const auto &[heavy, served] : serve(queue, 1, 700, 700))
                tokens[heavy] += served;
            queue.tick(Instant(std::chrono::seconds(item)));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratio(tokens), 0.1);
    }

    // Guards against head-of-line blocking of all accounts by a request that no agent can take.
    void requestThatCannotStartBlocksNoOtherAccount()
    {
        FairQueue queue;
        queue.push("heavy", 1, 1, 100);
        queue.push("light", 1, 2, 100);
        FairQueue::CallerId started = 0;
        const auto tryStart = [&](FairQueue::CallerId caller) {
            started = caller;
            return caller != 1;
        };
        CPPUNIT_ASSERT(queue.startNext(tryStart));
        CPPUNIT_ASSERT_EQUAL(FairQueue::CallerId(2), started);
        CPPUNIT_ASSERT(!queue.startNext(tryStart));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.size());
    }

    // Guards against admission of requests that will miss their deadline.
    void expectedWaitFollowsMeasuredRate()
    {
        FairQueue queue;
        for (int item = 0; item < 100; ++item)
            queue.push("heavy", 1, item, 1000);
        Instant now;
        for (int window = 0; window < 4; ++window) {
            queue.tick(now);
            queue.startNext([](FairQueue::CallerId) { return true; });
            now += std::chrono::milliseconds(500);
        }
        queue.tick(now);
        // The rate is 2000 tokens a second; an account with an empty queue is served next.
        CPPUNIT_ASSERT_EQUAL(48000L, long(queue.expectedWait("heavy", 1, 1000).count()));
        CPPUNIT_ASSERT_EQUAL(0L, long(queue.expectedWait("light", 1, 1000).count()));
        queue.push("light", 1, 1000, 1000);
        CPPUNIT_ASSERT_EQUAL(1000L, long(queue.expectedWait("light", 1, 1000).count()));
    }

    // Guards against an underestimated wait, and so a late rejection, when other accounts take
    // their share but have no request queued at the moment.
    void expectedWaitCountsAccountsThatComeAndGo()
    {
        FairQueue queue;
        for (int item = 0; item < 100; ++item)
            queue.push("heavy", 1, item, 1000);
        Instant now;
        for (int window = 0; window < 4; ++window) {
            queue.tick(now);
            queue.push("light", 1, 1000 + window, 1000);
            serve(queue, 2, 1, 1);
            now += std::chrono::milliseconds(500);
        }
        queue.tick(now);
        // The account gets half of 4000 tokens a second.
        CPPUNIT_ASSERT_EQUAL(48000L, long(queue.expectedWait("heavy", 1, 1000).count()));
    }

    // Guards against an empty queue that rejects every request after its rate was measured as zero.
    void emptyQueueNeverRejects()
    {
        FairQueue queue;
        queue.push("heavy", 1, 1, 1000);
        queue.tick(Instant());
        queue.tick(Instant(std::chrono::seconds(1)));
        CPPUNIT_ASSERT(queue.expectedWait("heavy", 1, 1000) > std::chrono::seconds(100));
        queue.remove("heavy", 1);
        CPPUNIT_ASSERT_EQUAL(0L, long(queue.expectedWait("heavy", 1, 1000).count()));
    }

    // Guards against retries that amplify an overload.
    void retriesAreTenthOfFirstAttempts()
    {
        RetryBudget budget;
        while (budget.tryAcquire()) {
        }
        int retries = 0;
        for (int attempt = 0; attempt < 1000; ++attempt) {
            budget.recordFirstAttempt();
            retries += budget.tryAcquire() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, retries);
    }

private:
    using Tokens = std::map<bool, double>;

    static Tokens serve(FairQueue &queue, int starts, double heavyCost, double lightCost)
    {
        Tokens tokens;
        for (int start = 0; start < starts; ++start) {
            queue.startNext([&](FairQueue::CallerId caller) {
                const bool heavy = caller < 1000;
                tokens[heavy] += heavy ? heavyCost : lightCost;
                return true;
            });
        }
        return tokens;
    }

    static double ratio(const Tokens &tokens) { return tokens.at(true) / tokens.at(false); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace Nutmegrill
