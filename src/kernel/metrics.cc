#include "kernel/metrics.h"

namespace apricotwheel {

prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05,
          0.1,    0.25,    0.5,    1,     2.4,   5,     10,   30,    60};
}

}  // namespace apricotwheel
