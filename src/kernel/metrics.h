#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>

namespace apricotwheel {

// The metrics registry of one process. Each package registers its metric
// families here under names that start with "apricotwheel_"; docs/metrics.md
// lists them all.
using metrics_ptr = std::shared_ptr<prometheus::Registry>;

// Returns histogram bounds in seconds for wait and response times, from 100 us
// to 60 s.
prometheus::Histogram::BucketBoundaries LatencyBuckets();

}  // namespace apricotwheel
