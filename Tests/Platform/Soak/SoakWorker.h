#pragma once

#include "Core/RandomSource.h"
#include "Http/HttpListener.h"
#include "Net/EventLoop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Nutmegrill {

/// Backend server of the soak. It answers plain requests with their id and streams four events,
/// and refuses or breaks off some of them.
class SoakWorker
{
public:
    /// How often requests ran, by id.
    using Runs = std::map<std::string, int>;

    SoakWorker(EventLoop &loop, RandomSource &random, std::string address, std::string service,
               Runs &runs);

    const std::string &id() const { return this->instanceId; }
    bool isUp() const { return this->listener != nullptr; }
    std::string record() const;
    /// Ends at once, with all its connections.
    void crash() { this->listener.reset(); }
    /// Starts again at the same address under another id.
    void start();
    void tick();
    /// Some requests are refused or broken off.
    void setFaulty(bool isFaulty) { this->faulty = isFaulty; }

    static constexpr int Events = 4;
    static std::string eventText(int number);

private:
    void serve(const HttpListener::Request &request);
    void reply(HttpListener::RequestId request, const HttpHead::Headers &headers,
               const std::string &id);
    void sendEvent(HttpListener::RequestId request, int number);

    EventLoop &loop;
    RandomSource &random;
    std::string address;
    std::string service;
    Runs &runs;
    std::string instanceId;
    std::uint64_t starts = 0;
    bool faulty = false;
    std::unique_ptr<HttpListener> listener;
};

} // namespace Nutmegrill
