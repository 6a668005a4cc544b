#include <algorithm>
#include <chrono>

#include "bench/bench_report.h"
#include "placement/cell_state.h"

namespace apricotwheel::bench {
namespace {

using steady = std::chrono::steady_clock;

double MicrosecondsSince(steady::time_point start) {
  return std::chrono::duration<double, std::micro>(steady::now() - start)
      .count();
}

// A cell under constant load. Each step releases one task and places another.
class loaded_cell {
 public:
  loaded_cell(const json& input, std::size_t factor, std::string policy)
      : input_(input),
        policy_(std::move(policy)),
        random_{input.at("seed").get<std::uint64_t>()} {
    const auto workers = input.at("workers").get<std::size_t>() * factor;
    const auto domains = input.at("failure_domains").get<std::size_t>();
    const auto rack_size = input.at("rack_size").get<std::size_t>();
    for (std::size_t i = 0; i < workers; ++i) {
      const std::size_t rack = i / rack_size;
      cell_->UpsertWorker(
          {"vm-" + std::to_string(i), "d" + std::to_string(rack % domains),
           "r" + std::to_string(rack),
           ReadResources(
               input.at("shapes")[PickWeighted(input.at("shapes"), random_)])});
    }
    for (const json& size : input.at("sizes")) {
      needs_.push_back(ReadResources(size));
    }
    const auto tasks = input.at("tasks").get<std::size_t>() * factor;
    ids_.resize(tasks);
    for (std::size_t i = 0; i < tasks; ++i) PlaceTask(i);
  }

  // Places a new task as task `slot`. Returns the time of the decision without
  // its commit, in microseconds.
  double PlaceTask(std::size_t slot) {
    ids_[slot] = "t" + std::to_string(next_++);
    const std::string workload = "w" + std::to_string(NextBelow(random_, 2000));
    placement_request request;
    request.task_id = ids_[slot];
    request.workload = workload;
    request.team = "team";
    request.policy = policy_;
    request.need = needs_[PickWeighted(input_.at("sizes"), random_)];
    // A fifth of the tasks are service instances, which are spread over failure
    // domains and racks.
    request.spread = NextBelow(random_, 5) == 0;
    request.priority =
        request.spread ? priority_class::kService : priority_class::kBatch;
    const std::uint64_t before = AllocationCount();
    const auto start = steady::now();
    const auto decision = cell_->Decide(request, random_);
    const double elapsed = MicrosecondsSince(start);
    allocations_ += AllocationCount() - before;
    ++decisions_;
    if (decision.outcome == placement_outcome::kPlaced) {
      const auto commit = steady::now();
      (void)Attempt([&] { return cell_->Allocate(decision.worker, request); });
      commit_us_ += MicrosecondsSince(commit);
    } else {
      ++unplaced_;
    }
    return elapsed;
  }

  // Releases a random task and places a new one in its stead.
  double ReplaceRandomTask() {
    const std::size_t slot = NextBelow(random_, ids_.size());
    const auto start = steady::now();
    cell_->ReleaseTask(ids_[slot]);
    commit_us_ += MicrosecondsSince(start);
    return PlaceTask(slot);
  }

  void SetPolicy(const std::string& policy) { policy_ = policy; }
  void ResetCounts() {
    allocations_ = 0;
    decisions_ = 0;
    unplaced_ = 0;
    commit_us_ = 0;
  }
  double AllocationsPerDecision() const {
    return static_cast<double>(allocations_) / static_cast<double>(decisions_);
  }
  double CommitMicroseconds() const { return commit_us_; }
  double PlacedFraction() const {
    return 1 - static_cast<double>(unplaced_) / static_cast<double>(decisions_);
  }
  std::size_t TaskCount() const { return cell_->TaskCount(); }

 private:
  const json& input_;
  std::string policy_;
  random_source random_;
  std::unique_ptr<cell_state> cell_ = cell_state::Create();
  std::vector<resource_vector> needs_;
  std::vector<std::string> ids_;
  std::uint64_t next_ = 0;
  std::uint64_t allocations_ = 0;
  std::uint64_t decisions_ = 0;
  std::uint64_t unplaced_ = 0;
  double commit_us_ = 0;
};

struct cell_cost {
  double p99_us = 0;
  double decisions_per_second = 0;
};

cell_cost MeasurePolicy(loaded_cell& cell, const std::string& policy,
                        std::size_t count, const figure_printer& out) {
  cell.SetPolicy(policy);
  cell.ResetCounts();
  std::vector<double> times;
  double total = 0;
  for (std::size_t i = 0; i < count; ++i) {
    times.push_back(cell.ReplaceRandomTask());
    total += times.back();
  }
  cell_cost cost;
  cost.p99_us = Quantile(times, 0.99);
  // The total cost of a placement includes its commit and its later release.
  cost.decisions_per_second =
      static_cast<double>(count) * 1e6 / (total + cell.CommitMicroseconds());
  out.PrintFigure("decision_p50_us." + policy, Quantile(times, 0.5), "us");
  out.PrintFigure("decision_p99_us." + policy, cost.p99_us, "us");
  out.PrintFigure("decisions_per_second_core." + policy,
                  cost.decisions_per_second, "1/s");
  out.PrintFigure("allocations_per_decision." + policy,
                  cell.AllocationsPerDecision(), "allocations");
  out.PrintFigure("placed_part." + policy, cell.PlacedFraction(), "ratio");
  return cost;
}

// Returns the median cost ratio over blocks that alternate between both cells,
// so that machine noise affects both equally.
double MeasureDoublingRatio(loaded_cell& single, loaded_cell& twice) {
  constexpr int kBlocks = 40;
  constexpr int kSteps = 500;
  std::vector<double> ratios;
  for (int block = 0; block < kBlocks; ++block) {
    double one = 0;
    double two = 0;
    for (int i = 0; i < kSteps; ++i) one += single.ReplaceRandomTask();
    for (int i = 0; i < kSteps; ++i) two += twice.ReplaceRandomTask();
    ratios.push_back(two / one);
  }
  return Quantile(ratios, 0.5);
}

}  // namespace

void RunScaleBench(const json& input, const figure_printer& out) {
  cell_cost worst{0, 1e18};
  double worst_ratio = 0;
  for (const std::string policy : {"waiting-first", "packing-first"}) {
    loaded_cell single(input, 1, policy);
    out.PrintFigure("running_tasks." + policy,
                    static_cast<double>(single.TaskCount()), "tasks");
    const cell_cost cost =
        MeasurePolicy(single, policy, input.at("decisions"), out);
    worst.p99_us = std::max(worst.p99_us, cost.p99_us);
    worst.decisions_per_second =
        std::min(worst.decisions_per_second, cost.decisions_per_second);
    {
      loaded_cell twice(input, 2, policy);
      const double ratio = MeasureDoublingRatio(single, twice);
      out.PrintFigure("doubling_cost_ratio." + policy, ratio, "ratio");
      worst_ratio = std::max(worst_ratio, ratio);
    }
    if (policy == "packing-first") {
      for (const std::string baseline : {"first-fit", "random"}) {
        MeasurePolicy(single, baseline, input.at("baseline_decisions"), out);
      }
    }
  }
  out.PrintFigure("decisions_per_second_core", worst.decisions_per_second,
                  "1/s");
  out.PrintFigure("decision_p99_us", worst.p99_us, "us");
  out.PrintFigure("doubling_cost_ratio", worst_ratio, "ratio");
}

}  // namespace apricotwheel::bench
