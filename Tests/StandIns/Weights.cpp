#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

/// Simulates the weight store: GET /weights/LAYER/EXPERT?bytes=N. All transfers share one
/// bandwidth limit.
class WeightsStandIn : public StandIn
{
public:
    explicit WeightsStandIn(EventLoop &loop) : StandIn(loop, "stand-in-weights") {}

protected:
    void started() override
    {
        this->timer = this->loop.every(Period, [this] { this->send(); });
    }

    void serve(const HttpServer::Request &request, const Json &) override
    {
        static const std::string prefix = "/weights/";
        const std::size_t at = request.query.find("bytes=");
        if (request.path.compare(0, prefix.size(), prefix) != 0 || at == std::string::npos)
            throw StandInError(404, "not found");
        ++this->requests;
        const std::int64_t size = std::stoll(request.query.substr(at + 6));
        this->server->startReply(request.id, 200, {{"Content-Type", "application/octet-stream"}});
        this->transfers[request.id] = size;
        this->highestOpen = std::max(this->highestOpen, this->transfers.size());
    }

    void callerDisconnected(RequestId request) override { this->transfers.erase(request); }

    Json counters() const override
    {
        return {{"requests", this->requests},
                {"completed", this->completed},
                {"bytes", this->bytes},
                {"open", this->transfers.size()},
                {"highestOpen", this->highestOpen}};
    }

private:
    static constexpr std::int64_t ChunkBytes = 16 << 10;
    static constexpr std::chrono::milliseconds Period{10};

    void send()
    {
        if (this->transfers.empty() || !this->down.empty())
            return;
        const std::int64_t budget = this->bytesPerSecond * Period.count() / 1000;
        const std::int64_t share = std::max<std::int64_t>(
                1, budget / static_cast<std::int64_t>(this->transfers.size()));
        for (auto row = this->transfers.begin(); row != this->transfers.end();) {
            const std::int64_t part = std::min(share, row->second);
            // Splits the data into chunks of a common size, because a reader buffers at least one
            // whole chunk.
            for (std::int64_t sent = 0; sent < part; sent += ChunkBytes) {
                const auto size = static_cast<std::size_t>(std::min(ChunkBytes, part - sent));
                this->server->sendChunk(row->first, std::string(size, 'w'));
            }
            this->bytes += part;
            row->second -= part;
            if (row->second > 0) {
                ++row;
                continue;
            }
            this->server->endReply(row->first);
            ++this->completed;
            row = this->transfers.erase(row);
        }
    }

    std::int64_t &bytesPerSecond =
            this->numberSetting("bytes-per-second", 100 << 20, "shared rate");

    /// Bytes left to send for each request.
    std::map<RequestId, std::int64_t> transfers;
    std::unique_ptr<EventLoop::Timer> timer;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::int64_t bytes = 0;
    std::size_t highestOpen = 0;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<WeightsStandIn>(loop);
}

} // namespace Nutmegrill
