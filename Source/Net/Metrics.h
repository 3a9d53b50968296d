#pragma once

#include <map>
#include <memory>
#include <string>

namespace Nutmegrill {

/// Counters, gauges and histograms of a process, exported in the Prometheus text format.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(const std::string &name, const Labels &labels, double amount = 1);
    void set(const std::string &name, const Labels &labels, double value);

    /// Adds a value in seconds to a histogram whose buckets range from 1 ms to 30 s.
    void observe(const std::string &name, const Labels &labels, double value);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Registry;
    std::unique_ptr<Registry> registry;
};

} // namespace Nutmegrill
