#include "Programs/WeightLoader.h"

#include "Net/EventLoop.h"

#include <chrono>
#include <memory>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds RetryDelay(500);
// After this many consecutive failures the rank refuses the change, and the owner plans again.
constexpr unsigned MaxFailures = 5;

} // namespace

WeightLoader::WeightLoader(EventLoop &loop, std::string address)
    : loop(loop), address(std::move(address)), http(loop)
{}

void WeightLoader::load(std::vector<Expert> experts, std::uint64_t bytesPerExpert, Done done)
{
    this->remainingExperts = this->address.empty() ? std::vector<Expert>() : std::move(experts);
    this->bytesPerExpert = bytesPerExpert;
    this->done = std::move(done);
    this->consecutiveFailures = 0;
    this->loop.after(std::chrono::milliseconds(0),
                     [this, loadId = ++this->currentLoadId] { this->loadNext(loadId); });
}

void WeightLoader::loadNext(std::uint64_t loadId)
{
    if (loadId != this->currentLoadId)
        return;
    if (this->remainingExperts.empty()) {
        this->done(true);
        return;
    }
    const Expert next = this->remainingExperts.back();
    HttpClient::Request request;
    request.path = "/weights/" + std::to_string(next.layer) + "/" + std::to_string(next.expert)
                   + "?bytes=" + std::to_string(this->bytesPerExpert);
    const auto status = std::make_shared<int>(0);
    const auto received = std::make_shared<std::uint64_t>(0);
    const auto failed = [this, loadId] {
        if (loadId != this->currentLoadId)
            return;
        if (++this->consecutiveFailures >= MaxFailures)
            this->done(false);
        else
            this->loop.after(RetryDelay, [this, loadId] { this->loadNext(loadId); });
    };
    HttpClient::Handlers handlers;
    handlers.onHead = [status](int code, const HttpClient::Headers &) { *status = code; };
    // The agent checks that the weights arrive completely; its engine stores them.
    handlers.onData = [received](std::string_view data) { *received += data.size(); };
    handlers.onEnd = [this, loadId, status, received, failed] {
        if (*status != 200 || *received != this->bytesPerExpert) {
            failed();
            return;
        }
        if (loadId != this->currentLoadId)
            return;
        this->consecutiveFailures = 0;
        this->remainingExperts.pop_back();
        this->loadNext(loadId);
    };
    handlers.onFailure = [failed](HttpClient::Failure) { failed(); };
    this->http.call(this->address, request, std::move(handlers));
}

} // namespace Nutmegrill
