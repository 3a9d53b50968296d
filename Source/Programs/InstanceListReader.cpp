#include "Programs/InstanceListReader.h"

#include <chrono>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds ReadPeriod(500);
constexpr std::chrono::seconds ReadIdleTimeout(2);

std::optional<std::vector<InstanceRecord>> parseInstances(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("instances"))
        return std::nullopt;
    try {
        std::vector<InstanceRecord> instances;
        for (const auto &row : document["instances"]) {
            InstanceRecord record;
            record.name = row.at("name").get<std::string>();
            record.role = row.value("role", "") == "agent" ? InstanceRecord::Role::Agent
                                                           : InstanceRecord::Role::Entry;
            record.address = row.value("address", "");
            record.failureDomain = row.value("failureDomain", "");
            record.service = row.value("service", "");
            record.leaving = row.value("leaving", false);
            instances.push_back(std::move(record));
        }
        return instances;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

InstanceListReader::InstanceListReader(EventLoop &loop, std::string address, ListHandler handler)
    : address(std::move(address)), onList(std::move(handler)), http(loop),
      timer(loop.every(ReadPeriod, [this] { this->read(); }))
{
    this->read();
}

void InstanceListReader::read()
{
    if (this->isReading)
        return;
    this->isReading = true;
    HttpClient::Request request;
    request.path = "/instances";
    request.idleTimeout = ReadIdleTimeout;
    this->http.fetch(this->address, request, [this](int status, const std::string &body) {
        this->isReading = false;
        if (status != 200)
            return;
        if (const auto instances = parseInstances(body))
            this->onList(*instances);
    });
}

} // namespace Nutmegrill
