#include "graph/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace apricotwheel {

namespace {

// An estimate counts as that many runs at the usual speed before the first run.
constexpr double kPriorRuns = 4;
// A run moves an estimate as if it differed by at most this much (65%). A
// straggler takes up to seven times as long, which says nothing of its worker.
constexpr double kMaxDeviation = 0.5;
// Estimates follow a change of speed within about this many runs.
constexpr double kMaxWeight = 100;
// Steps on fewer workers carry less.
constexpr std::size_t kFullComparison = 3;
constexpr double kPairWeight = 0.25;
// The variance follows the last runs of the pool, and starts from its default.
constexpr double kNoisePriorRuns = 50;
constexpr double kMaxNoiseWeight = 1000;
constexpr double kMinVariance = 0.01;
constexpr double kMaxVariance = 0.25;
// A difference counts if it exceeds this many standard errors. In an even pool
// of 252 workers 0.1 of them exceed that by chance.
constexpr double kSignificantErrors = 3.5;
// Width of a class in the logarithm of the speed.
constexpr double kClassWidth = 0.2;
// Part of the workers that differ in an uneven pool.
constexpr std::size_t kMinDifferentWorkers = 2;
constexpr std::size_t kDifferentOneIn = 20;
// The ratio of a queue follows the last steps of this number.
constexpr double kMaxRatioWeight = 50;
constexpr double kRatioPriorSteps = 4;
constexpr double kMaxRatioDeviation = 1.0;

double MedianOf(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 == 1) return *middle;
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

std::size_t CountWorkers(std::span<const speed_sample> samples) {
  std::vector<const speed_estimate*> workers;
  workers.reserve(samples.size());
  for (const speed_sample& each : samples) workers.push_back(each.worker);
  std::sort(workers.begin(), workers.end());
  return static_cast<std::size_t>(std::unique(workers.begin(), workers.end()) -
                                  workers.begin());
}

void AddDeviation(speed_estimate& estimate, double deviation, double weight,
                  pool_speed& pool) {
  if (estimate.weight >= kPriorRuns) {
    pool.weight = std::min(pool.weight + weight, kMaxNoiseWeight);
    pool.variance += weight * (deviation * deviation - pool.variance) /
                     (pool.weight + kNoisePriorRuns);
    pool.variance = std::clamp(pool.variance, kMinVariance, kMaxVariance);
  }
  estimate.weight = std::min(estimate.weight + weight, kMaxWeight);
  estimate.log_speed += weight * deviation / (estimate.weight + kPriorRuns);
}

}  // namespace

double UpdateSpeeds(std::span<const speed_sample> samples, pool_speed& pool) {
  if (samples.empty()) return 0;
  // Run times at the usual speed. Without this correction, slow workers that
  // get a step for themselves would seem to be as fast as the others.
  std::vector<double> corrected;
  corrected.reserve(samples.size());
  for (const speed_sample& each : samples) {
    corrected.push_back(each.log_run_time + each.worker->log_speed);
  }
  const double usual = MedianOf(std::move(corrected));
  const std::size_t workers = CountWorkers(samples);
  if (workers >= 2) {
    const double weight = workers < kFullComparison ? kPairWeight : 1;
    std::vector<double> deviations;
    deviations.reserve(samples.size());
    double mean = 0;
    for (const speed_sample& each : samples) {
      deviations.push_back(
          std::clamp(usual - each.log_run_time - each.worker->log_speed,
                     -kMaxDeviation, kMaxDeviation));
      mean += deviations.back() / static_cast<double>(samples.size());
    }
    for (std::size_t i = 0; i < samples.size(); ++i) {
      // Stragglers make the mean negative, so that without this all estimates
      // would fall.
      AddDeviation(*samples[i].worker, deviations[i] - mean, weight, pool);
    }
  }
  return usual - pool.usual_log_speed;
}

void UpdateUsualSpeed(std::span<const speed_estimate* const> workers,
                      pool_speed& pool) {
  std::vector<double> speeds;
  for (const speed_estimate* each : workers) {
    if (each->weight >= kPriorRuns) speeds.push_back(each->log_speed);
  }
  if (!speeds.empty()) pool.usual_log_speed = MedianOf(std::move(speeds));
}

int SpeedClassOf(const speed_estimate& estimate, const pool_speed& pool) {
  const double error = std::sqrt(pool.variance * estimate.weight) /
                       (estimate.weight + kPriorRuns);
  const double difference = estimate.log_speed - pool.usual_log_speed;
  if (estimate.weight < kPriorRuns ||
      std::abs(difference) <= kSignificantErrors * error) {
    return 0;
  }
  const long speed_class = std::lround(difference / kClassWidth);
  return static_cast<int>(
      std::clamp<long>(speed_class, -kMaxSpeedClass, kMaxSpeedClass));
}

double SpeedOfClass(int speed_class) {
  return std::exp(kClassWidth * speed_class);
}

bool IsUneven(std::size_t measured_workers, std::size_t different_workers) {
  return different_workers >= kMinDifferentWorkers &&
         different_workers * kDifferentOneIn >= measured_workers;
}

void UpdateRatio(run_time_ratio& ratio, double log_run_time,
                 duration estimate) {
  const double estimate_ms =
      std::chrono::duration<double, std::milli>(estimate).count();
  if (estimate_ms < 1) return;
  const double deviation =
      std::clamp(log_run_time - std::log(estimate_ms) - ratio.log_ratio,
                 -kMaxRatioDeviation, kMaxRatioDeviation);
  ratio.weight = std::min(ratio.weight + 1, kMaxRatioWeight);
  ratio.log_ratio += deviation / (ratio.weight + kRatioPriorSteps);
  ratio.variance += (deviation * deviation - ratio.variance) /
                    (ratio.weight + kRatioPriorSteps);
}

duration CorrectEstimate(const run_time_ratio& ratio, duration estimate) {
  return std::chrono::duration_cast<duration>(estimate *
                                              std::exp(ratio.log_ratio));
}

}  // namespace apricotwheel
