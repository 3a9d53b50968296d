#pragma once

#include "Http/HttpListener.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class EventLoop;

/// Stand-in of the platform's store on a socket of its own: keys with revisions, pages, watches,
/// conditional writes and leases. Faults are set by the test.
class StoreServer
{
public:
    StoreServer(EventLoop &loop, const std::string &address);

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);
    /// Drops the history: watches from earlier revisions are told so.
    void compact() { this->oldestRevision = this->revision; }
    std::optional<std::string> valueOf(const std::string &key) const;

    /// Items of one page.
    std::size_t pageSize = 500;
    /// Every call gets this status. 0: calls are answered.
    int failing = 0;
    /// Calls are read and never answered.
    bool isSilent = false;
    /// The body of every answer ends in the middle.
    bool isMalformed = false;
    std::vector<std::string> targets;
    std::uint64_t liveLease = 0;

private:
    struct Item
    {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    void serve(const HttpListener::Request &request);
    void reply(HttpListener::RequestId id, int status, const std::string &body);
    void answerRange(const HttpListener::Request &request);
    void answerWatch(HttpListener::RequestId id, std::uint64_t after);
    void answerTransaction(const HttpListener::Request &request);
    void changed();

    HttpListener listener;
    std::map<std::string, Item> items;
    std::map<HttpListener::RequestId, std::uint64_t> watches;
    std::uint64_t revision = 10;
    std::uint64_t oldestRevision = 0;
    std::uint64_t nextLease = 70;
};

} // namespace Nutmegrill
