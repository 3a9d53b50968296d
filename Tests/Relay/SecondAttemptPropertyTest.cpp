#include "HedgeScene.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using AttemptId = RelayCommand::AttemptId;

/// What happens to one attempt, one letter a step: `h` head of a stream, `v` event, `o` successful
/// head, `x` head of a failure, `n` head of a rejection as not run, `e` end of the answer, `b`
/// broken connection, `u` not sent.
const std::vector<std::string> streamLives{"",  "hve", "hvb", "hb", "he", "u",
                                           "b", "ne",  "xe",  "xb", "oe"};
const std::vector<std::string> callLives{"", "oe", "ob", "xe", "xb", "b", "u", "ne", "nb", "hve"};

/// Both lives in every order: the letters of the second attempt are capitals.
void interleave(const std::string &first, const std::string &second, const std::string &begin,
                std::vector<std::string> &orders)
{
    if (first.empty() && second.empty())
        orders.push_back(begin);
    if (!first.empty())
        interleave(first.substr(1), second, begin + first[0], orders);
    if (!second.empty())
        interleave(first, second.substr(1), begin + static_cast<char>(second[0] - 'a' + 'A'),
                   orders);
}

/// One late request that is driven through a script; the digits are `1`: the caller leaves, `2`:
/// its deadline passes.
class Run
{
public:
    explicit Run(const std::string &path)
        : scene(1, {path}), caller(scene.arriveLate(path)), ids(scene.attemptIds(caller))
    {}

    /// Returns a failure text, empty when everything that has to hold does.
    std::string play(const std::string &script)
    {
        if (this->ids.size() != 2)
            return "no second attempt";
        for (const char step : script)
            this->take(step);
        this->scene.advance(milliseconds(100));
        this->passDeadline();
        return this->check();
    }

private:
    void passDeadline()
    {
        this->scene.now += std::chrono::seconds(9);
        this->scene.node.tick(this->scene.now, this->scene.commands);
    }

    void take(char step)
    {
        this->scene.now += milliseconds(1);
        if (step == '1') {
            this->hasLeft = this->scene.node.openRequests() > 0;
            this->scene.node.callerDisconnected(this->scene.now, this->caller,
                                                this->scene.commands);
        } else if (step == '2') {
            this->passDeadline();
        } else {
            const bool isSecond = step < 'a';
            this->deliver(this->ids[isSecond ? 1 : 0],
                          isSecond ? static_cast<char>(step - 'A' + 'a') : step);
        }
    }

    void deliver(AttemptId id, char step)
    {
        const bool wasCancelled = this->scene.isCancelled(id);
        const std::size_t before = this->scene.commands.size();
        switch (step) {
        case 'h':
            this->scene.headOf(id, 200, true);
            break;
        case 'o':
        case 'x':
            this->scene.headOf(id, step == 'o' ? 200 : 500, false);
            this->whole.insert(id);
            break;
        case 'n':
            this->scene.headOf(id, 503, false, true);
            this->notRun.insert(id);
            break;
        case 'v':
            this->scene.eventOf(id, ++this->events[id]);
            break;
        case 'e':
            this->scene.endOf(id);
            break;
        default:
            this->scene.failOf(id, step == 'b' ? AttemptFailure::Broken : AttemptFailure::NotSent);
            if (step == 'u')
                this->notRun.insert(id);
        }
        if (step == 'e' || step == 'b' || step == 'u')
            this->ended.insert(id);
        if (wasCancelled && this->scene.commands.size() != before)
            this->fault = "a cancelled attempt had an effect";
    }

    std::string check()
    {
        std::size_t answers = 0;
        std::set<std::string> sources;
        std::set<AttemptId> released = this->ended;
        const auto started = this->scene.attemptIds(this->caller);
        bool isKnownNotRun = false;
        for (const AttemptId id : this->whole)
            released.erase(id);
        for (const auto &command : this->scene.commands) {
            answers += std::holds_alternative<RelayCommand::EndStream>(command)
                       + std::holds_alternative<RelayCommand::AbortStream>(command);
            if (const auto *refusal = std::get_if<RelayCommand::Refuse>(&command)) {
                ++answers;
                isKnownNotRun = refusal->status == 503;
            } else if (const auto *relayed = std::get_if<RelayCommand::RelayAnswer>(&command)) {
                ++answers;
                released.insert(relayed->attempt);
            } else if (const auto *cancel = std::get_if<RelayCommand::CancelAttempt>(&command)) {
                released.insert(cancel->attempt);
            } else if (const auto *event = std::get_if<RelayCommand::SendEvent>(&command)) {
                sources.insert(event->bytes.substr(0, event->bytes.find(':')));
            }
        }
        const auto runs = std::count_if(started.begin(), started.end(), [this](AttemptId id) {
            return this->notRun.count(id) == 0;
        });
        auto outcomes = this->scene.outcomes();
        const int results =
                outcomes["won"] + outcomes["cancelled"] + outcomes["failed"] + outcomes["alone"];
        std::ostringstream text;
        if (answers != (this->hasLeft ? 0U : 1U))
            text << answers << " answers; ";
        if (this->scene.usedSlots() != 0 || this->scene.node.openRequests() != 0)
            text << this->scene.usedSlots() << " slots taken; ";
        if (released.size() != started.size())
            text << released.size() << " of " << started.size() << " attempts released; ";
        if (runs > 2 || (runs > 0 && isKnownNotRun))
            text << runs << " runs, known as not run: " << isKnownNotRun << "; ";
        if (sources.size() > 1)
            text << "events of " << sources.size() << " runs; ";
        if (outcomes["started"] != results)
            text << results << " outcomes of " << outcomes["started"] << "; ";
        return text.str() + this->fault;
    }

    HedgeScene scene;
    RelayCommand::CallerId caller;
    std::vector<AttemptId> ids;
    std::map<AttemptId, std::uint64_t> events;
    /// Attempts whose answer the I/O layer buffers as a whole.
    std::set<AttemptId> whole;
    std::set<AttemptId> notRun;
    std::set<AttemptId> ended;
    bool hasLeft = false;
    std::string fault;
};

/// Plays every order of every two lives, with an end of the caller at every place. Returns the
/// first failure.
std::string playAll(const std::string &path, const std::vector<std::string> &lives)
{
    for (const std::string &first : lives) {
        for (const std::string &second : lives) {
            std::vector<std::string> orders;
            interleave(first, second, "", orders);
            for (const std::string &order : orders) {
                std::vector<std::string> scripts{order};
                for (std::size_t place = 0; place <= order.size(); ++place) {
                    for (const char *end : {"1", "2"})
                        scripts.push_back(std::string(order).insert(place, end));
                }
                for (const std::string &script : scripts) {
                    if (const std::string failure = Run(path).play(script); !failure.empty())
                        return path + " " + script + ": " + failure;
                }
            }
        }
    }
    return {};
}

} // namespace

/// Whatever happens to the two attempts of a request in whichever order: the caller gets one
/// answer, every attempt ends or is cancelled, every slot becomes free, and the request runs at
/// most twice.
class SecondAttemptPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SecondAttemptPropertyTest);
    CPPUNIT_TEST(streamsHoldInEveryOrder);
    CPPUNIT_TEST(callsHoldInEveryOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamsHoldInEveryOrder()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), playAll("/stream/", streamLives));
    }

    void callsHoldInEveryOrder()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), playAll("/lookup/", callLives));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptPropertyTest);

} // namespace Nutmegrill
