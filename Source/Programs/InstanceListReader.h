#pragma once

#include "Core/InstanceRecord.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Reads the platform's instance list (GET /instances) every half second. A failed or unreadable
/// reading is skipped: the last one stays in force.
class InstanceListReader
{
public:
    using Done = std::function<void(const std::vector<InstanceRecord> &instances)>;

    InstanceListReader(EventLoop &loop, std::string address, Done done);

private:
    void read();

    std::string address;
    Done done;
    HttpClient http;
    bool reading = false;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace Nutmegrill
