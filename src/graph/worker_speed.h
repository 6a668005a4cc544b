#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "kernel/clock.h"

namespace apricotwheel {

// Estimates the speed of each worker of a pool from measured run times. Runs
// are compared with the other runs of their step only: these differ by 15 to
// 30%, whereas the submitters' estimates are off by up to 90%. The progress in
// percent that workers report isn't used: most runs end within a second, before
// two reports show progress, and lasting tasks report something else in it.

// What is known about the speed of one incarnation of a worker.
struct speed_estimate {
  double log_speed = 0;  // Natural logarithm, in proportion to any speed.
  double weight = 0;     // Number of runs that it comes from.
};

// What is common to the workers of a pool.
struct pool_speed {
  double usual_log_speed = 0;  // Median of the workers.
  // Of the logarithm of run times on one worker.
  double variance = 0.09;
  double weight = 0;  // Number of runs that the variance comes from.
};

// A run of a step that ended with a result.
struct measured_run {
  std::string worker;
  std::int64_t incarnation = 0;
  double log_run_time = 0;  // Natural logarithm of milliseconds.
};

// Run times of one step that are to be compared. They are compared when the
// step is complete, because the first ends alone are those of fast workers.
struct run_time_group {
  std::vector<measured_run> runs;
};

// A group of this size is compared at once. This bounds the memory of steps
// with many tasks.
inline constexpr std::size_t kMaxRunsCompared = 32;

// A measured run and the estimate of its worker.
struct speed_sample {
  speed_estimate* worker = nullptr;
  double log_run_time = 0;
};

// Updates the estimates from run times of one step. Returns the logarithm of
// the run time that the step's tasks have at the pool's usual speed.
double UpdateSpeeds(std::span<const speed_sample> samples, pool_speed& pool);

// Sets the usual speed from the workers' estimates.
void UpdateUsualSpeed(std::span<const speed_estimate* const> workers,
                      pool_speed& pool);

// Speed in steps of 20%: 0 if the worker doesn't differ significantly from the
// others, negative if it is slower. Between -kMaxSpeedClass and kMaxSpeedClass.
inline constexpr int kMaxSpeedClass = 8;
int SpeedClassOf(const speed_estimate& estimate, const pool_speed& pool);
// Returns the speed of a class in proportion to the pool's usual one.
double SpeedOfClass(int speed_class);

// Returns true if enough workers differ significantly that this is not chance.
bool IsUneven(std::size_t measured_workers, std::size_t different_workers);

// How the run times of a queue's tasks compare with their estimates.
struct run_time_ratio {
  double log_ratio = 0;  // Of measured to estimated run time.
  double variance = 0.16;
  double weight = 0;
};

// Adds the measured run time of a step.
void UpdateRatio(run_time_ratio& ratio, double log_run_time, duration estimate);
// Returns the estimate as corrected by the ratio.
duration CorrectEstimate(const run_time_ratio& ratio, duration estimate);

}  // namespace apricotwheel
