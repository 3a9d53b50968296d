#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <deque>
#include <fstream>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

/// Simulates the platform's instance list: GET /instances, PUT and DELETE /instances/NAME.
class InstancesStandIn : public StandIn
{
public:
    explicit InstancesStandIn(EventLoop &loop) : StandIn(loop, "stand-in-instances") {}

protected:
    void started() override
    {
        if (!this->file.empty()) {
            std::ifstream input(this->file);
            const Json initial = Json::parse(input, nullptr, false);
            for (const Json &instance : initial.value("instances", Json::array()))
                this->instances[instance.at("name").get<std::string>()] = instance;
        }
    }

    void serve(const HttpServer::Request &request, const Json &body) override
    {
        static const std::string prefix = "/instances/";
        if (request.path == "/instances" && request.method == "GET") {
            ++this->reads;
            this->applyDueChanges();
            Json rows = Json::array();
            for (const auto &[name, instance] : this->instances)
                rows.push_back(instance);
            this->reply(request.id, 200, {{"instances", rows}});
            return;
        }
        const bool isPut = request.method == "PUT";
        if (request.path.compare(0, prefix.size(), prefix) != 0
            || (!isPut && request.method != "DELETE"))
            throw StandInError(404, "not found");
        ++this->changes;
        const std::string name = request.path.substr(prefix.size());
        Json instance;
        if (isPut) {
            // Defaults of the members that the body leaves out.
            instance = {{"name", name},        {"role", "agent"}, {"address", ""},
                        {"failureDomain", ""}, {"service", ""},   {"leaving", false}};
            instance.update(body);
            instance["name"] = name;
        }
        this->pending.push_back(
                {this->loop.now() + std::chrono::milliseconds(this->lagMs), name, instance});
        this->reply(request.id, 200, Json::object());
    }

    Json counters() const override { return {{"reads", this->reads}, {"changes", this->changes}}; }

private:
    // A change that GET does not return yet; a null instance is a removal.
    struct Pending
    {
        Instant due;
        std::string name;
        Json instance;
    };

    void applyDueChanges()
    {
        const Instant now = this->loop.now();
        while (!this->pending.empty() && this->pending.front().due <= now) {
            const Pending &change = this->pending.front();
            if (change.instance.is_null())
                this->instances.erase(change.name);
            else
                this->instances[change.name] = change.instance;
            this->pending.pop_front();
        }
    }

    std::int64_t &lagMs = this->numberSetting("lag-ms", 0, "delay before GET returns a change");
    std::string &file = this->textSetting("file", "", "JSON file with the initial answer of GET");

    std::map<std::string, Json> instances;
    std::deque<Pending> pending;
    std::uint64_t reads = 0;
    std::uint64_t changes = 0;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<InstancesStandIn>(loop);
}

} // namespace Nutmegrill
