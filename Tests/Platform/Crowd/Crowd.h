#pragma once

#include "Http/HttpListener.h"
#include "Net/EventLoop.h"
#include "Platform/StoreServer.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

class CrowdCaller;

/// Plays the store, a backend server and a crowd of callers that keep to no limit, and checks that
/// an entry process lives, keeps to its memory and descriptors, and then answers one ordinary
/// request and one of the largest size. It checks no times.
class Crowd
{
public:
    struct Options
    {
        std::string storeAddress;
        std::string workerAddress;
        std::string entryAddress;
        std::string readinessAddress;
        int process = 0;
        std::string pattern;
        std::size_t maxMegabytes = 0;
        std::size_t maxDescriptors = 0;
    };

    explicit Crowd(const Options &options);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// What was broken first; empty if everything held.
    std::string run();

private:
    void serveWorker(const HttpListener::Request &request);
    bool waitReady();
    /// Lets the callers send until none of them makes progress any more.
    void play();
    void observe();
    bool isAnswered(std::size_t bodyBytes);
    bool isAlive() const;

    Options options;
    EventLoop loop;
    StoreServer store;
    HttpListener worker;
    std::unique_ptr<EventLoop::Timer> tickTimer;
    std::vector<std::unique_ptr<CrowdCaller>> callers;
    std::size_t peakMegabytes = 0;
    std::size_t peakDescriptors = 0;
};

} // namespace Nutmegrill
