#include "Net/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Nutmegrill {

namespace {

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets = {
            0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5, 10, 30};
    return buckets;
}

} // namespace

struct Metrics::Registry
{
    prometheus::Registry metrics;
};

Metrics::Metrics() : registry(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, const Labels &labels, double amount)
{
    prometheus::BuildCounter()
            .Name(name)
            .Register(this->registry->metrics)
            .Add(labels)
            .Increment(amount);
}

void Metrics::set(const std::string &name, const Labels &labels, double value)
{
    prometheus::BuildGauge().Name(name).Register(this->registry->metrics).Add(labels).Set(value);
}

void Metrics::observe(const std::string &name, const Labels &labels, double value)
{
    prometheus::BuildHistogram()
            .Name(name)
            .Register(this->registry->metrics)
            .Add(labels, latencyBuckets())
            .Observe(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->metrics.Collect());
}

} // namespace Nutmegrill
