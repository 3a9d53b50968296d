#pragma once

#include "FakeStateStore.h"
#include "FreeAddress.h"
#include "Http/ClientConnection.h"
#include "Net/EventLoop.h"
#include "RelayShell/RelayEntry.h"
#include "platform/PlatformDecoder.h"
#include "platform/PlatformProtocol.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

/// A relaying entry on loopback whose store is in memory, and callers that send it requests.
class RelayEntryFixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        this->loop = std::make_unique<EventLoop>();
        this->store = std::make_unique<FakeStateStore>();
        this->options = {};
        this->options.name = "e";
        this->options.callerAddress = freeAddress();
        this->options.readinessAddress = freeAddress();
        this->options.directoryAddress = freeAddress();
        this->options.peerAddress = freeAddress();
        this->options.metricsAddress = freeAddress();
        this->options.node.retryLimit = {0.2, 50};
        this->entry = std::make_unique<RelayEntry>(*this->loop, this->options, this->protocol,
                                                   this->decoder, *this->store);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->entry->startError());
    }

    void tearDown() override
    {
        this->entry.reset();
        this->store.reset();
        this->clients.clear();
        this->loop.reset();
    }

protected:
    static constexpr std::chrono::milliseconds TestTimeout{3000};

    static constexpr const char *ConfigurationText =
            R"({"version":%V,"routes":[
            {"name":"r1","hostname":"h.example","prefix":"/s/","kind":"streaming","timeoutMs":8000,
            "targetLatencyMs":400,"service":"m","attempts":2,"canResume":true,"targetItlMs":120},
            {"name":"r2","hostname":"h.example","prefix":"/r/","kind":"non_idempotent","timeoutMs":800,
            "targetLatencyMs":300,"service":"p","attempts":1}],
            "services":[{"name":"m","maxConnections":50},{"name":"p","maxConnections":50}],
            "tenants":[{"name":"x","apiKeys":["%K"]}]})";

    static std::string configuration(int version, const std::string &key)
    {
        std::string text = ConfigurationText;
        text.replace(text.find("%V"), 2, std::to_string(version));
        text.replace(text.find("%K"), 2, key);
        return text;
    }

    static std::string draining(std::string record)
    {
        return record.replace(record.find("ready"), 5, "draining");
    }

    static inline const std::string answerHeadText =
            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal-raw\r\n";
    static inline const std::string streamHeadText =
            answerHeadText + "Content-Type: text/event-stream\r\n";
    static inline const std::string twoEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    static inline const std::string fourEvents = twoEvents + "id: 3\ndata: x\n\nid: 4\ndata: x\n\n";

    struct Answer
    {
        int status = 0;
        HttpHead head;
        std::string body;
        bool isOver = false;
        bool isWhole = false;
    };

    void request(const std::string &address, const std::string &text, Answer &answer)
    {
        auto client = std::make_shared<ClientConnection>(*this->loop, address, TestTimeout);
        this->clients.push_back(client);
        ClientConnection::Handlers handlers;
        handlers.onHead = [&answer](const HttpHead &head) {
            answer.status = head.status;
            answer.head = head;
            return true;
        };
        handlers.onData = [&answer](std::string_view data) { answer.body.append(data); };
        handlers.onEnd = [&answer] { answer.isOver = answer.isWhole = true; };
        handlers.onFailure = [&answer](ClientConnection::Failure) { answer.isOver = true; };
        client->send(text, std::move(handlers));
    }

    Answer get(const std::string &address, const std::string &target)
    {
        Answer answer;
        this->request(address, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n", answer);
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        return answer;
    }

    void start(const std::string &target, const std::string &key, const std::string &body,
               Answer &answer)
    {
        this->request(this->options.callerAddress,
                      "POST " + target
                              + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: "
                                "5000\r\nCredential: "
                              + key + "\r\nContent-Length: " + std::to_string(body.size())
                              + "\r\n\r\n" + body,
                      answer);
    }

    Answer send(const std::string &target, const std::string &key, const std::string &body = {})
    {
        Answer answer;
        this->start(target, key, body, answer);
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        return answer;
    }

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<FakeStateStore> store;
    PlatformProtocol protocol;
    PlatformDecoder decoder;
    RelayEntry::Options options;
    std::unique_ptr<RelayEntry> entry;
    std::vector<std::shared_ptr<ClientConnection>> clients;
};

} // namespace Nutmegrill
