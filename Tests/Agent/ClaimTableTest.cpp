#include "Agent/ClaimTable.h"

#include <chrono>
#include <set>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(batchesStayWithinTheLimitsOfTheStore);
    CPPUNIT_TEST(largeRecordsAreSpreadOverBatches);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a batch with more operations than the store accepts in one transaction: the
    // store would reject each retry as well, and no claim would be written any more.
    void batchesStayWithinTheLimitsOfTheStore()
    {
        static constexpr std::size_t MaxOperations = 127;
        static constexpr int ClaimCount = 1000;
        ClaimTable table("agent");
        for (int number = 0; number < ClaimCount; ++number)
            table.claim("key-" + std::to_string(number), std::to_string(number), {});
        std::set<std::string> claimed;
        for (int round = 0; round < ClaimCount; ++round) {
            const auto batch = table.nextBatch(this->now);
            if (!batch.has_value())
                break;
            CPPUNIT_ASSERT(batch->writes.size() <= MaxOperations);
            for (const auto &outcome : this->answer(table, *batch))
                claimed.insert(outcome.key);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(ClaimCount), claimed.size());
    }

    // Guards against a batch that exceeds the store's request size limit of 1.5 MB because many
    // requests with large answers end at the same time.
    void largeRecordsAreSpreadOverBatches()
    {
        static constexpr std::size_t MaxRequestBytes = 1500U * 1000U;
        static constexpr int ClaimCount = 40;
        ClaimTable table("agent");
        for (int number = 0; number < ClaimCount; ++number)
            table.claim("key-" + std::to_string(number), std::to_string(number), {});
        this->answer(table, *table.nextBatch(this->now));
        ClaimRecord answer;
        answer.hasBody = true;
        answer.body = std::string(64U << 10U, 'x');
        for (int number = 0; number < ClaimCount; ++number)
            table.finish("key-" + std::to_string(number), ClaimRecord::State::Completed, answer);
        int batches = 0;
        for (; !table.empty() && batches < ClaimCount; ++batches) {
            const auto batch = table.nextBatch(this->now);
            CPPUNIT_ASSERT(batch.has_value());
            std::size_t bytes = 0;
            for (const auto &write : batch->writes)
                bytes += (write.expected.size() + write.record.size()) * 4 / 3;
            CPPUNIT_ASSERT(bytes <= MaxRequestBytes);
            this->answer(table, *batch);
        }
        CPPUNIT_ASSERT(table.empty());
        CPPUNIT_ASSERT(batches > 1);
    }

private:
    std::vector<ClaimTable::Outcome> answer(ClaimTable &table,
                                            const AgentCommand::WriteClaims &batch) const
    {
        AgentEvent::ClaimsAnswered answer;
        answer.batch = batch.batch;
        answer.reached = true;
        for (const AgentCommand::ClaimWrite &write : batch.writes)
            answer.results.push_back(
                    {write.key, AgentEvent::ClaimResult::Kind::Written, write.record});
        return table.receiveResults(this->now, answer);
    }

    Instant now{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);

} // namespace Nutmegrill
