#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "kernel/random.h"
#include "kernel/resources.h"

namespace apricotwheel::bench {

using json = nlohmann::json;

// Prints figures as `name value unit`. Adds the target and whether it is met if
// the input file has a target of that name.
class figure_printer {
 public:
  explicit figure_printer(json targets) : targets_(std::move(targets)) {}
  void PrintFigure(const std::string& name, double value,
                   const std::string& unit) const;

 private:
  json targets_;
};

// Returns the quantile, which is between 0 and 1, by rank. Sorts the samples.
double Quantile(std::vector<double>& samples, double quantile);

// Returns an exponentially distributed number with the given mean.
double Exponential(random_source& random, double mean);

// Returns a random index with probability proportional to the element's
// "weight".
std::size_t PickWeighted(const json& elements, random_source& random);

resource_vector ReadResources(const json& element);

// Returns the number of memory allocations of this process so far.
std::uint64_t AllocationCount();

// Measures decision time, allocations, and the cost of doubling the cell size.
void RunScaleBench(const json& input, const figure_printer& out);
// Measures waiting time, packing and the start of urgent tasks in one
// deployment. Returns the higher p99 of urgent starts of the two policies that
// are not baselines.
double RunDeploymentBench(const json& input, const figure_printer& out);
// Simulates the waiting time of requests with a shared queue, with dispatch to
// owners and with random choice.
void RunRequestBench(const std::string& deployment, const json& input,
                     const figure_printer& out);

}  // namespace apricotwheel::bench
