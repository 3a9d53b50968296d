#include "Membership/ConfigurationSpread.h"
#include "Config/ConfigurationCodec.h"
#include "GoldenSession.h"
#include "Messages/MessageCodec.h"
#include "PropertyCheck.h"

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using Switches = ConfigurationSpread::Switches;

Instant at(long long millis)
{
    return Instant(milliseconds(millis));
}

ConfigurationPtr configuration(std::uint64_t version, std::uint64_t epoch = 0, bool out = false)
{
    auto result = std::make_shared<Configuration>();
    result->version = version;
    result->places = {{"region", {{"east", out, epoch}}}};
    return result;
}

PeerMessage::ConfigurationData data(std::uint64_t version)
{
    return {version, encodeConfiguration(*configuration(version))};
}

std::size_t questions(const PeerOutput::List &output)
{
    return static_cast<std::size_t>(
            std::count_if(output.begin(), output.end(), [](const PeerOutput &message) {
                return std::holds_alternative<PeerMessage::ConfigurationWanted>(message.message);
            }));
}

/// Nodes in a ring, with links that lose, delay and repeat messages.
class SpreadNetwork
{
public:
    static constexpr std::size_t NodeCount = 5;

    explicit SpreadNetwork(Switches switches)
        : nodes(NodeCount, ConfigurationSpread(switches)), highest(NodeCount, 0)
    {
        for (std::size_t node = 0; node < NodeCount; ++node) {
            PeerOutput::List output;
            for (const std::size_t step : {std::size_t{1}, NodeCount - 1})
                this->nodes[node].openPeer(this->now, std::to_string((node + step) % NodeCount), 0,
                                           output);
            this->post(node, output);
        }
    }

    void accept(std::size_t node, std::uint64_t version)
    {
        PeerOutput::List output;
        this->nodes[node].accept(this->now, configuration(version), output);
        this->post(node, output);
    }

    void takeOut(std::size_t node)
    {
        PeerOutput::List output;
        this->nodes[node].takeOut({"east", 1, "take-out"}, output);
        this->post(node, output);
    }

    void tickAll()
    {
        this->now += milliseconds(250);
        for (std::size_t node = 0; node < NodeCount; ++node) {
            PeerOutput::List output;
            this->nodes[node].tick(this->now, output);
            this->post(node, output);
        }
    }

    // Fate 0 delivers one message, 1 loses it, 2 delivers it and keeps a copy for later.
    void deliver(std::size_t index, std::size_t fate)
    {
        if (this->queue.empty())
            return;
        const auto position = this->queue.begin() + static_cast<std::ptrdiff_t>(index);
        const Letter letter = *position;
        if (fate != 2)
            this->queue.erase(position);
        if (fate == 1)
            return;
        PeerOutput::List output;
        this->nodes[letter.to].receive(this->now, std::to_string(letter.from), letter.message,
                                       output);
        this->post(letter.to, output);
    }

    std::size_t queued() const { return this->queue.size(); }

    std::string checkMonotonic()
    {
        for (std::size_t node = 0; node < NodeCount; ++node) {
            if (this->nodes[node].version() < this->highest[node])
                return "node " + std::to_string(node) + " reverted";
            this->highest[node] = this->nodes[node].version();
        }
        return {};
    }

    std::string checkConverged(std::uint64_t version) const
    {
        for (const ConfigurationSpread &node : this->nodes) {
            if (node.version() != version)
                return "a node has version " + std::to_string(node.version());
            if (node.pendingTakeOuts().size() != 1)
                return "a node does not know the take-out";
        }
        return {};
    }

private:
    struct Letter
    {
        std::size_t from;
        std::size_t to;
        PeerMessage::Any message;
    };

    void post(std::size_t from, const PeerOutput::List &output)
    {
        for (const PeerOutput &message : output)
            this->queue.push_back({from, std::stoul(message.peer), message.message});
    }

    Instant now;
    std::vector<ConfigurationSpread> nodes;
    std::vector<std::uint64_t> highest;
    std::vector<Letter> queue;
};

std::string spread(ChoiceScript &script, Switches switches)
{
    constexpr std::uint64_t Newest = 6;
    SpreadNetwork network(switches);
    network.takeOut(script.below(SpreadNetwork::NodeCount));
    network.accept(script.below(SpreadNetwork::NodeCount), Newest);
    const auto step = [&script, &network] {
        const std::size_t action = script.below(12);
        if (action == 0)
            network.tickAll();
        else if (action == 1)
            network.accept(script.below(SpreadNetwork::NodeCount), 1 + script.below(Newest));
        else if (network.queued() > 0)
            network.deliver(script.below(network.queued()), action < 8 ? 0 : action < 11 ? 1 : 2);
    };
    while (!script.isExhausted()) {
        step();
        if (const std::string fault = network.checkMonotonic(); !fault.empty())
            return fault;
    }
    // Without further loss all nodes must converge within a few seconds.
    for (int round = 0; round < 40; ++round) {
        network.tickAll();
        while (network.queued() > 0)
            network.deliver(0, 0);
        if (const std::string fault = network.checkMonotonic(); !fault.empty())
            return fault;
    }
    return network.checkConverged(Newest);
}

/// Executes the lines of a golden session on one ConfigurationSpread.
class SpreadSession
{
public:
    std::vector<std::string> run(const std::string &line)
    {
        std::istringstream words(line);
        long long millis = 0;
        std::string verb;
        std::string peer;
        std::uint64_t number = 0;
        std::uint64_t epoch = 0;
        words >> millis >> verb >> peer >> number >> epoch;
        const Instant now = at(millis);
        PeerOutput::List output;
        if (verb == "open")
            this->node.openPeer(now, peer, number, output);
        else if (verb == "close")
            this->node.closePeer(peer);
        else if (verb == "offer")
            this->node.receive(now, peer, PeerMessage::ConfigurationOffer{number, {}}, output);
        else if (verb == "wanted")
            this->node.receive(now, peer, PeerMessage::ConfigurationWanted{number}, output);
        else if (verb == "data")
            this->node.receive(now, peer, data(number), output);
        else if (verb == "store")
            this->node.accept(now, configuration(number, epoch), output);
        else if (verb == "takeout")
            this->node.receive(now, peer, PeerMessage::PendingTakeOut{"east", number, "t"}, output);
        else
            this->node.tick(now, output);
        return this->trace(output);
    }

private:
    std::vector<std::string> trace(const PeerOutput::List &output) const
    {
        std::vector<std::string> lines;
        lines.reserve(output.size() + 1);
        for (const PeerOutput &message : output)
            lines.push_back("to " + message.peer + " " + describeMessage(message.message));
        lines.push_back("version " + std::to_string(this->node.version()) + " east "
                        + (this->node.isOut("east") ? "out" : "in") + " heard "
                        + std::to_string(this->node.peersReported()));
        return lines;
    }

    ConfigurationSpread node;
};

} // namespace

class ConfigurationSpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationSpreadTest);
    CPPUNIT_TEST(nodesConvergeThroughLoss);
    CPPUNIT_TEST(proofFailsWithoutMonotonicVersions);
    CPPUNIT_TEST(proofFailsWithoutRepeats);
    CPPUNIT_TEST(newVersionIsTransferredOnce);
    CPPUNIT_TEST(closedPeerLeavesNoState);
    CPPUNIT_TEST(takeOutBeforeConfigurationIsKept);
    CPPUNIT_TEST(takeOutsAreBounded);
    CPPUNIT_TEST(ageIsThatOfTheVersionInForce);
    CPPUNIT_TEST(goldenSession);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that reverts or never learns a version or a take-out.
    void nodesConvergeThroughLoss() { CPPUNIT_ASSERT_EQUAL(std::string(), failures({})); }

    // Shows that the property test detects a node that accepts any version it receives.
    void proofFailsWithoutMonotonicVersions() { CPPUNIT_ASSERT(!failures({false, true}).empty()); }

    // Shows that the property test detects offers that are sent only once.
    void proofFailsWithoutRepeats() { CPPUNIT_ASSERT(!failures({true, false}).empty()); }

    // Guards against fetching a document from every peer that offers it, and against waiting for
    // one peer that does not answer.
    void newVersionIsTransferredOnce()
    {
        ConfigurationSpread node;
        PeerOutput::List output;
        for (const char *peer : {"a", "b", "c"}) {
            node.openPeer(at(0), peer, 0, output);
            node.receive(at(1), peer, PeerMessage::ConfigurationOffer{5, {}}, output);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, questions(output));
        output.clear();
        node.tick(at(1500), output);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, questions(output));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), output.front().peer);
        output.clear();
        node.closePeer("b");
        node.tick(at(1501), output);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), output.front().peer);
        CPPUNIT_ASSERT(node.receive(at(1502), "c", data(5), output));
        CPPUNIT_ASSERT(!node.receive(at(1503), "c", data(5), output));
        CPPUNIT_ASSERT(
                !node.receive(at(1503), "c", PeerMessage::ConfigurationData{9, "{}"}, output));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, node.version());
    }

    // Guards against a late message that recreates the state of a closed link.
    void closedPeerLeavesNoState()
    {
        ConfigurationSpread node;
        PeerOutput::List output;
        node.accept(at(0), configuration(1), output);
        node.openPeer(at(0), "a", 0, output);
        node.closePeer("a");
        output.clear();
        node.receive(at(1), "a", PeerMessage::ConfigurationOffer{7, {}}, output);
        node.receive(at(1), "a", PeerMessage::ConfigurationWanted{0}, output);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node.peersOpen() + output.size());
    }

    // Guards against a take-out that is lost when the process has no configuration yet, and against
    // one that outlives the bring-back.
    void takeOutBeforeConfigurationIsKept()
    {
        ConfigurationSpread node;
        PeerOutput::List output;
        CPPUNIT_ASSERT(
                node.receive(at(0), "a", PeerMessage::PendingTakeOut{"east", 3, "t"}, output));
        node.accept(at(1), configuration(1, 2), output);
        CPPUNIT_ASSERT(node.isOut("east"));
        node.accept(at(2), configuration(2, 4), output);
        CPPUNIT_ASSERT(!node.isOut("east"));
        CPPUNIT_ASSERT(
                !node.receive(at(3), "a", PeerMessage::PendingTakeOut{"east", 3, "t"}, output));
        CPPUNIT_ASSERT(node.pendingTakeOuts().empty());
    }

    // Guards against memory that grows with the names that peers send.
    void takeOutsAreBounded()
    {
        ConfigurationSpread node;
        PeerOutput::List output;
        for (int number = 0; number < 1000; ++number)
            node.takeOut({"domain-" + std::to_string(number), 1, "t"}, output);
        CPPUNIT_ASSERT(node.pendingTakeOuts().size() <= 64);
    }

    // Guards against an offer whose age is below the time since the last read of the store.
    void ageIsThatOfTheVersionInForce()
    {
        ConfigurationSpread node;
        PeerOutput::List output;
        node.openPeer(at(0), "a", 0, output);
        CPPUNIT_ASSERT(node.age(at(0)) == ConfigurationSpread::UnknownAge);
        node.receive(at(1), "a", data(2), output);
        CPPUNIT_ASSERT(node.age(at(1)) == ConfigurationSpread::UnknownAge);
        node.receive(at(5000), "a", PeerMessage::ConfigurationOffer{2, milliseconds(2000)}, output);
        CPPUNIT_ASSERT(node.age(at(6000)) == milliseconds(3000));
        node.receive(at(6000), "a", PeerMessage::ConfigurationOffer{2, milliseconds::max()},
                     output);
        CPPUNIT_ASSERT(node.age(at(6000)) == milliseconds(3000));
        node.accept(at(7000), configuration(2), output);
        CPPUNIT_ASSERT(node.age(at(7000)) == milliseconds(0));
    }

    // Guards against any unintended change of the decisions.
    void goldenSession()
    {
        SpreadSession session;
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             GoldenSession("config-spread").run([&](const auto &line) {
                                 return session.run(line);
                             }));
    }

private:
    static std::string failures(Switches switches)
    {
        return checkScripts("spread", 300,
                            [switches](ChoiceScript &script) { return spread(script, switches); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSpreadTest);

} // namespace Nutmegrill
