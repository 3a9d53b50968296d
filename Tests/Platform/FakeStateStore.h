#pragma once

#include "RelayShell/StateStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// In-memory store whose calls complete synchronously, apart from watches. Reads fail while isAway
/// is set.
class FakeStateStore : public StateStore
{
public:
    void put(const std::string &key, const std::string &value)
    {
        this->items[key] = {key, value, ++this->revision};
        this->tell(this->items[key]);
    }

    void readAll(Done callback) override
    {
        Result result;
        result.status = this->isAway ? Status::Failed : Status::Ok;
        for (const auto &[key, item] : this->items)
            result.changes.push_back(item);
        result.revision = this->revision;
        callback(result);
    }

    void readBackends(Done callback) override { this->readAll(std::move(callback)); }
    void readConfiguration(Done callback) override { this->readAll(std::move(callback)); }
    void watch(std::uint64_t, std::chrono::milliseconds, Done callback) override
    {
        this->watcher = std::move(callback);
    }
    void write(const std::string &key, const std::string &value, std::uint64_t, std::uint64_t,
               Done callback) override
    {
        this->items[key] = {key, value, ++this->revision};
        callback({Status::Ok, {}, this->revision, 0, {}});
    }
    void grantLease(std::chrono::milliseconds, Done callback) override
    {
        callback({Status::Ok, {}, 0, 7, {}});
    }
    void keepLease(std::uint64_t lease, Done callback) override
    {
        callback({Status::Ok, {}, 0, lease, {}});
    }
    void endLease(std::uint64_t lease) override { this->endedLease = lease; }

    bool isAway = false;
    std::uint64_t endedLease = 0;

private:
    void tell(const StoreChange &change)
    {
        if (!this->watcher)
            return;
        const Done callback = std::move(this->watcher);
        this->watcher = nullptr;
        callback({Status::Ok, {change}, this->revision, 0, {}});
    }

    std::map<std::string, StoreChange> items;
    std::uint64_t revision = 1;
    Done watcher;
};

} // namespace Nutmegrill
