#pragma once

#include "RelayShell/StateStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// In-memory store whose calls complete synchronously, apart from watches. Reads fail while
/// isUnavailable is set.
class FakeStateStore : public StateStore
{
public:
    void put(const std::string &key, const std::string &value)
    {
        this->items[key] = {key, value, ++this->revision};
        this->notifyWatcher(this->items[key]);
    }

    void remove(const std::string &key)
    {
        this->items.erase(key);
        this->notifyWatcher({key, std::nullopt, ++this->revision});
    }

    void readAll(Callback callback) override
    {
        ++this->reads;
        Result result;
        result.status = this->isUnavailable ? Status::Failed : Status::Ok;
        for (const auto &[key, item] : this->items)
            result.changes.push_back(item);
        result.revision = this->revision;
        callback(result);
    }

    void readBackends(Callback callback) override { this->readAll(std::move(callback)); }
    void readConfiguration(Callback callback) override { this->readAll(std::move(callback)); }
    void watch(std::uint64_t, std::chrono::milliseconds, Callback callback) override
    {
        this->watcher = std::move(callback);
    }
    void write(const std::string &key, const std::string &value, std::uint64_t, std::uint64_t,
               Callback callback) override
    {
        this->items[key] = {key, value, ++this->revision};
        callback({Status::Ok, {}, this->revision, 0, 0, {}});
    }
    void grantLease(std::chrono::milliseconds, Callback callback) override
    {
        callback({Status::Ok, {}, 0, 0, 7, {}});
    }
    void renewLease(std::uint64_t lease, Callback callback) override
    {
        callback({Status::Ok, {}, 0, 0, lease, {}});
    }
    void revokeLease(std::uint64_t lease) override { this->revokedLease = lease; }

    bool isUnavailable = false;
    std::size_t reads = 0;
    std::uint64_t revokedLease = 0;

private:
    void notifyWatcher(const StoreChange &change)
    {
        if (!this->watcher)
            return;
        const Callback callback = std::move(this->watcher);
        this->watcher = nullptr;
        callback({Status::Ok, {change}, this->revision, 0, 0, {}});
    }

    std::map<std::string, StoreChange> items;
    std::uint64_t revision = 1;
    Callback watcher;
};

} // namespace Nutmegrill
