#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "kernel/random.h"
#include "kernel/resources.h"

namespace apricotwheel::bench {

using json = nlohmann::json;

// Prints `name value unit`, and the target and whether it is met if the input
// file has a target of that name.
class figure_printer {
 public:
  explicit figure_printer(json targets) : targets_(std::move(targets)) {}
  void PrintFigure(const std::string& name, double value,
                   const std::string& unit) const;

 private:
  json targets_;
};

// The value below which the part `quantile` of the samples lies; sorts them.
double Quantile(std::vector<double>& samples, double quantile);

// Exponentially distributed with the given mean.
double Exponential(random_source& random, double mean);

// An index with a probability in proportion to the "weight" of the element.
std::size_t PickWeighted(const json& elements, random_source& random);

resource_vector ReadResources(const json& element);

// Memory allocations of this process so far.
std::uint64_t AllocationCount();

// Decision time, allocations and cost by cell size.
void RunScaleBench(const json& input, const figure_printer& out);
// Waiting time, packing and urgent starts of one deployment. Returns the worse
// p99 of urgent starts under the two policies that are not baselines.
double RunDeploymentBench(const json& input, const figure_printer& out);
// Waiting time of requests: shared queue, owner dispatch and random choice.
void RunRequestBench(const std::string& deployment, const json& input,
                     const figure_printer& out);

}  // namespace apricotwheel::bench
