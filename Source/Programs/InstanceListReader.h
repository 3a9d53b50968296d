#pragma once

#include "Core/InstanceRecord.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Reads the platform's instance list (GET /instances) every half second. The last list
/// stays in force when a read fails or its answer cannot be parsed.
class InstanceListReader
{
public:
    using ListHandler = std::function<void(const std::vector<InstanceRecord> &instances)>;

    InstanceListReader(EventLoop &loop, std::string address, ListHandler handler);

private:
    void read();

    std::string address;
    ListHandler onList;
    HttpClient http;
    bool isReading = false;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace Nutmegrill
