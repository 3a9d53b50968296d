#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

/// Simulates a rank group in one process. The ranks run in lockstep: a step starts when every rank
/// is ready, and each rank uses the newest map that it has received for that step.
class RanksStandIn : public StandIn
{
public:
    explicit RanksStandIn(EventLoop &loop) : StandIn(loop, "stand-in-ranks") {}

protected:
    void started() override
    {
        this->ranks.resize(static_cast<std::size_t>(this->rankCount));
        for (Rank &rank : this->ranks)
            rank.epochs[0] = 1;
        this->scheduleStep();
    }

    void serve(const HttpServer::Request &request, const Json &body) override
    {
        if (request.path == "/ranks") {
            this->reply(request.id, 200, this->describe());
            return;
        }
        if (request.path == "/ranks/load") {
            this->tokens = body.at("tokens").get<Tokens>();
            this->reply(request.id, 200, Json::object());
            return;
        }
        // Paths: /ranks/R/load, /ranks/R/state, /ranks/R/map, /ranks/R/hold and /ranks/R/skip.
        static const std::string prefix = "/ranks/";
        const std::size_t slash = request.path.rfind('/');
        if (request.path.compare(0, prefix.size(), prefix) != 0 || slash < prefix.size())
            throw StandInError(404, "not found");
        const std::string number = request.path.substr(prefix.size(), slash - prefix.size());
        const auto index = static_cast<std::size_t>(std::stoul(number));
        if (index >= this->ranks.size())
            throw StandInError(404, "no such rank");
        Rank &rank = this->ranks[index];
        const std::string action = request.path.substr(slash + 1);
        if (action == "load") {
            this->reply(request.id, 200, {{"tokens", this->tokens}});
            return;
        }
        if (action == "state") {
            this->reply(request.id, 200, this->describe(rank));
            return;
        }
        this->checkFencingNumber(rank, body.value("fence", std::int64_t(0)));
        if (action == "map")
            this->setMap(rank, body);
        else if (action == "hold")
            this->setHold(rank, body);
        else if (action == "skip")
            rank.firstStep = body.at("step").get<std::int64_t>();
        else
            throw StandInError(404, "not found");
        this->reply(request.id, 200, {{"step", this->step}});
    }

    void faultsChanged(const Json &changes) override
    {
        const auto index = static_cast<std::size_t>(this->rank);
        if (index >= this->ranks.size())
            throw StandInError(400, "no such rank");
        if (changes.contains("stallMs"))
            this->ranks[index].stalledUntil =
                    this->loop.now() + std::chrono::milliseconds(this->stallMs);
        if (std::exchange(this->replace, 0) != 0)
            this->ranks[index] = Rank();
    }

    Json counters() const override
    {
        return {{"steps", this->step},          {"stepsWithTwoMaps", this->mixedSteps},
                {"heldSteps", this->heldSteps}, {"heldMs", this->heldMs},
                {"lateMaps", this->lateMaps},   {"refusedFences", this->refusedFences},
                {"stepsRun", this->stepsRun},   {"oldFences", this->oldFences}};
    }

private:
    using Tokens = std::vector<std::vector<double>>;

    struct Rank
    {
        /// Map epochs by the first step that uses them.
        std::map<std::int64_t, std::int64_t> epochs;
        /// The rank does not start this step or later ones; 0: not held.
        std::int64_t holdAt = 0;
        std::int64_t fence = 0;
        /// The group skips all steps below this one.
        std::int64_t firstStep = 0;
        Instant stalledUntil;
    };

    // Returns 0 if the rank has no map for the step, which is the case after its replacement.
    std::int64_t epochOf(const Rank &rank, std::int64_t at) const
    {
        const auto next = rank.epochs.upper_bound(at);
        return next == rank.epochs.begin() ? 0 : std::prev(next)->second;
    }

    bool canRun(const Rank &rank) const
    {
        return rank.stalledUntil <= this->loop.now() && this->epochOf(rank, this->step) != 0
               && (rank.holdAt == 0 || this->step < rank.holdAt);
    }

    void checkFencingNumber(Rank &rank, std::int64_t fence)
    {
        if (fence < rank.fence) {
            ++this->oldFences;
            if (this->checkFence != 0) {
                ++this->refusedFences;
                throw StandInError(409, "fencing number is lower than the last one");
            }
        }
        rank.fence = std::max(rank.fence, fence);
    }

    void setMap(Rank &rank, const Json &body)
    {
        const auto from = body.at("fromStep").get<std::int64_t>();
        // The map of a step that has run cannot change; a rank without a map has run no step.
        if (from < this->step && !rank.epochs.empty()) {
            ++this->lateMaps;
            throw StandInError(409, "step " + std::to_string(from) + " has passed");
        }
        // The new map applies to all later steps and replaces the maps that were set for them.
        rank.epochs.erase(rank.epochs.lower_bound(from), rank.epochs.end());
        rank.epochs[from] = body.at("epoch").get<std::int64_t>();
        if (rank.holdAt == from)
            rank.holdAt = 0;
    }

    void setHold(Rank &rank, const Json &body)
    {
        const auto at = body.at("step").get<std::int64_t>();
        if (at != 0 && at < this->step)
            throw StandInError(409, "step " + std::to_string(at) + " has passed");
        rank.holdAt = at;
    }

    void scheduleStep()
    {
        this->loop.after(std::chrono::milliseconds(this->stepMs), [this] { this->runStep(); });
    }

    void runStep()
    {
        for (const Rank &rank : this->ranks)
            this->step = std::max(this->step, rank.firstStep);
        if (!std::all_of(this->ranks.begin(), this->ranks.end(),
                         [this](const Rank &rank) { return this->canRun(rank); })) {
            this->heldSteps += std::exchange(this->held, true) ? 0 : 1;
            ++this->heldMs;
            this->loop.after(std::chrono::milliseconds(1), [this] { this->runStep(); });
            return;
        }
        this->held = false;
        const std::int64_t epoch = this->epochOf(this->ranks.front(), this->step);
        if (std::any_of(this->ranks.begin(), this->ranks.end(), [this, epoch](const Rank &rank) {
                return this->epochOf(rank, this->step) != epoch;
            }))
            ++this->mixedSteps;
        ++this->step;
        ++this->stepsRun;
        this->scheduleStep();
    }

    Json describe(const Rank &rank) const
    {
        return {{"step", this->step},
                {"epoch", this->epochOf(rank, this->step)},
                {"holdAt", rank.holdAt},
                {"fence", rank.fence}};
    }

    Json describe() const
    {
        Json rows = Json::array();
        for (const Rank &rank : this->ranks)
            rows.push_back(this->describe(rank));
        return {{"step", this->step}, {"stepMs", this->stepMs}, {"ranks", rows}};
    }

    std::int64_t &rankCount = this->numberSetting("ranks", 4, "ranks of the group");
    std::int64_t &stepMs = this->numberSetting("step-ms", 20, "length of a step");
    std::int64_t &checkFence = this->numberSetting("check-fence", 1, "0: ignores fencing numbers");
    std::int64_t &rank = this->numberSetting("rank", 0, "rank to which stall-ms and replace apply");
    std::int64_t &stallMs = this->numberSetting("stall-ms", 0, "stalls the rank for this long");
    std::int64_t &replace =
            this->numberSetting("replace", 0, "1: replaces the rank with one that has no map");

    std::vector<Rank> ranks;
    /// Tokens per step of each expert in each layer, reported by every rank; set by PUT
    /// /ranks/load.
    Tokens tokens;
    std::int64_t step = 1;
    std::uint64_t mixedSteps = 0;
    std::uint64_t heldSteps = 0;
    std::uint64_t heldMs = 0;
    std::uint64_t lateMaps = 0;
    std::uint64_t refusedFences = 0;
    /// Requests with a fencing token below an earlier one, rejected or not.
    std::uint64_t oldFences = 0;
    std::uint64_t stepsRun = 0;
    bool held = false;
};

std::unique_ptr<StandIn> createStandIn(EventLoop &loop)
{
    return std::make_unique<RanksStandIn>(loop);
}

} // namespace Nutmegrill
