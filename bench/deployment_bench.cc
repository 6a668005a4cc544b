#include <algorithm>
#include <functional>
#include <map>
#include <queue>

#include "bench/bench_report.h"
#include "placement/cell_state.h"
#include "placement/team_queue.h"

namespace apricotwheel::bench {
namespace {

struct generated_task {
  double arrival = 0;
  double run_time = 0;
  resource_vector need;
  priority_class priority = priority_class::kBatch;
};

struct loop_result {
  std::vector<double> waits;
  std::vector<double> urgent_waits;
  double used_over_opened = 0;
};

time_point ToTimePoint(double seconds) {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds)));
}

std::vector<worker_index> AddWorkers(const json& pools, cell_state& cell) {
  std::vector<worker_index> workers;
  std::size_t pool_number = 0;
  for (const json& pool : pools) {
    for (std::size_t i = 0; i < pool.at("workers"); ++i) {
      const std::size_t rack = i / pool.at("rack_size").get<std::size_t>();
      workers.push_back(cell.UpsertWorker(
          {"vm-" + std::to_string(pool_number) + "-" + std::to_string(i),
           "d" + std::to_string(rack % 3),
           "r" + std::to_string(pool_number) + "-" + std::to_string(rack),
           ReadResources(pool)}));
    }
    ++pool_number;
  }
  return workers;
}

// Generates the tasks of all pools by arrival. `load` is the offered load as a
// fraction of the capacity of the scarcest resource.
std::vector<generated_task> GenerateTasks(const json& input, double load,
                                          std::uint64_t urgent_percent,
                                          std::uint64_t seed) {
  random_source random{seed};
  std::vector<generated_task> tasks;
  double end = 0;
  for (const json& pool : input.at("pools")) {
    double weight = 0;
    double cpu = 0;
    double memory = 0;
    double accelerators = 0;
    for (const json& size : pool.at("sizes")) {
      const resource_vector need = ReadResources(size);
      const double weighted_seconds =
          size.at("weight").get<double>() * size.at("mean_s").get<double>();
      weight += size.at("weight").get<double>();
      cpu += weighted_seconds * static_cast<double>(need.cpu_milli);
      memory += weighted_seconds * static_cast<double>(need.memory_mib);
      accelerators += weighted_seconds * static_cast<double>(need.accelerators);
    }
    const resource_vector capacity = ReadResources(pool);
    const double workers = pool.at("workers");
    double rate = workers * static_cast<double>(capacity.cpu_milli) / cpu;
    rate = std::min(
        rate, workers * static_cast<double>(capacity.memory_mib) / memory);
    if (accelerators > 0) {
      rate =
          std::min(rate, workers * static_cast<double>(capacity.accelerators) /
                             accelerators);
    }
    rate *= load * weight;
    // The tasks of all pools arrive over the same time span.
    double now = 0;
    const auto count = input.at("tasks").get<std::size_t>();
    if (end == 0) end = static_cast<double>(count) / rate;
    while (true) {
      now += Exponential(random, 1 / rate);
      if (now > end) break;
      const json& size =
          pool.at("sizes")[PickWeighted(pool.at("sizes"), random)];
      const bool urgent = NextBelow(random, 100) < urgent_percent;
      tasks.push_back(
          {now, Exponential(random, size.at("mean_s").get<double>()),
           ReadResources(size),
           urgent ? priority_class::kUrgent : priority_class::kBatch});
    }
  }
  std::sort(tasks.begin(), tasks.end(),
            [](const generated_task& a, const generated_task& b) {
              return a.arrival < b.arrival;
            });
  return tasks;
}

// Runs the queue and the cell with simulated arrivals and ends of tasks. Does
// not simulate the cluster: starts take no time except for the checkpoint of
// victims.
class event_loop {
 public:
  event_loop(const json& input, std::string policy,
             std::vector<generated_task> tasks)
      : policy_(std::move(policy)),
        checkpoint_seconds_(input.at("checkpoint_ms").get<double>() / 1000),
        tasks_(std::move(tasks)),
        generation_(tasks_.size(), 0),
        started_(tasks_.size(), -1),
        worker_by_task_(tasks_.size(), kNoWorker) {
    AddWorkers(input.at("pools"), *cell_);
    queue_.cell_capacity = cell_->TotalCapacity();
    for (const char* team : {"t0", "t1", "t2", "t3"}) {
      SetTeam(queue_, team, queue_.cell_capacity, 1);
    }
  }

  loop_result Run() {
    std::size_t next = 0;
    const double last = tasks_.empty() ? 0 : tasks_.back().arrival;
    double now = 0;
    while (true) {
      double at = 1e300;
      if (next < tasks_.size()) at = tasks_[next].arrival;
      if (!events_.empty()) at = std::min(at, events_.top().time);
      at = std::min(at, NextRetryTime(now));
      if (at >= 1e300) break;
      if (now < last) RecordUsage(std::min(at, last) - now);
      now = at;
      while (next < tasks_.size() && tasks_[next].arrival <= now) {
        EnqueueTask(next, tasks_[next].arrival);
        ++next;
      }
      while (!events_.empty() && events_.top().time <= now) {
        const event done = events_.top();
        events_.pop();
        if (generation_[done.task] == done.generation) EndTask(done.task, now);
      }
      ReserveForOldest(now);
      ScheduleQueuedTasks(now);
    }
    result_.used_over_opened =
        opened_cpu_seconds_ > 0 ? used_cpu_seconds_ / opened_cpu_seconds_ : 0;
    return std::move(result_);
  }

 private:
  struct event {
    double time;
    std::size_t task;
    int generation;
    bool operator>(const event& other) const { return time > other.time; }
  };

  queue_entry MakeQueueEntry(std::size_t task, double since) const {
    return {std::to_string(task),
            "t" + std::to_string(task % 4),
            tasks_[task].priority,
            tasks_[task].need,
            1,
            "",
            ToTimePoint(since)};
  }
  void EnqueueTask(std::size_t task, double since) {
    Enqueue(queue_, MakeQueueEntry(task, since));
  }

  double NextRetryTime(double now) const {
    double wake = 1e300;
    for (const auto& [key, lane] : queue_.lanes) {
      if (lane.entries.empty() || lane.not_before <= ToTimePoint(now)) continue;
      wake = std::min(wake, std::chrono::duration<double>(
                                lane.not_before.time_since_epoch())
                                    .count() +
                                1e-6);
    }
    return wake;
  }

  void ReleaseTask(std::size_t task) {
    const worker_index worker = worker_by_task_[task];
    cell_->ReleaseTask(std::to_string(task));
    used_cpu_ -= static_cast<double>(tasks_[task].need.cpu_milli);
    if (--tasks_by_worker_[worker] == 0) {
      opened_cpu_ -=
          static_cast<double>(cell_->Shape(worker).capacity.cpu_milli);
    }
    worker_by_task_[task] = kNoWorker;
  }

  void EndTask(std::size_t task, double now) {
    const worker_index worker = worker_by_task_[task];
    ReleaseTask(task);
    EndBackoff(queue_, cell_->FreeCapacity(worker), ToTimePoint(now));
    const queue_entry entry = MakeQueueEntry(task, 0);
    Refund(queue_, entry.team, TotalNeed(entry));
  }

  void PreemptTask(std::size_t victim, double now) {
    EndTask(victim, now);
    ++generation_[victim];
    // The checkpoint preserves the progress, so only the rest runs again.
    tasks_[victim].run_time =
        std::max(tasks_[victim].run_time - (now - started_[victim]), 0.0);
    EnqueueTask(victim, now);
  }

  void StartTask(std::size_t task, const placement_request& request,
                 worker_index worker, double now, double delay) {
    if (!Attempt([&] { return cell_->Allocate(worker, request); }))
      std::abort();
    used_cpu_ += static_cast<double>(request.need.cpu_milli);
    if (tasks_by_worker_[worker]++ == 0) {
      opened_cpu_ +=
          static_cast<double>(cell_->Shape(worker).capacity.cpu_milli);
    }
    worker_by_task_[task] = worker;
    // The first fifth of the tasks fills the empty cell and is not measured.
    if (started_[task] < 0 && task > tasks_.size() / 5) {
      const double wait = now + delay - tasks_[task].arrival;
      result_.waits.push_back(wait);
      if (request.priority == priority_class::kUrgent) {
        result_.urgent_waits.push_back(wait);
      }
    }
    started_[task] = now + delay;
    events_.push(
        {now + delay + tasks_[task].run_time, task, generation_[task]});
  }

  void ScheduleQueuedTasks(double now) {
    while (const auto entry = TakeNext(queue_, ToTimePoint(now))) {
      const std::size_t task = std::stoul(entry->id);
      placement_request request;
      request.task_id = entry->id;
      request.workload = "w";
      request.team = entry->team;
      request.priority = entry->priority;
      request.need = entry->need;
      request.policy = policy_;
      request.excluded_workers =
          ReservedForOthers(queue_, *entry, ToTimePoint(now));
      const auto decision = cell_->Decide(request, random_);
      if (decision.outcome == placement_outcome::kPlaced ||
          decision.outcome == placement_outcome::kPreempt) {
        for (const std::string& victim : decision.victims) {
          PreemptTask(std::stoul(victim), now);
        }
        StartTask(task, request, decision.worker, now,
                  decision.victims.empty() ? 0 : checkpoint_seconds_);
        ConfirmStarted(queue_, entry->id);
      } else {
        ReturnUnplaced(queue_, entry->id, ToTimePoint(now), random_);
      }
    }
  }

  // Reserves workers for the oldest entry that does not fit.
  void ReserveForOldest(double now) {
    const auto entry = ReservationCandidate(queue_, ToTimePoint(now));
    if (!entry) return;
    Reserve(queue_, entry->id,
            cell_->WorkersToReserve(entry->need, entry->parts),
            ToTimePoint(now));
  }

  void RecordUsage(double span) {
    used_cpu_seconds_ += used_cpu_ * span;
    opened_cpu_seconds_ += opened_cpu_ * span;
  }

  std::string policy_;
  double checkpoint_seconds_;
  std::vector<generated_task> tasks_;
  // Number of preemptions of each task. An end event with an older number is
  // ignored.
  std::vector<int> generation_;
  std::vector<double> started_;
  std::vector<worker_index> worker_by_task_;
  std::unique_ptr<cell_state> cell_ = cell_state::Create();
  team_queue queue_;
  random_source random_{5};
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<worker_index, int> tasks_by_worker_;
  double used_cpu_ = 0;
  double opened_cpu_ = 0;
  double used_cpu_seconds_ = 0;
  double opened_cpu_seconds_ = 0;
  loop_result result_;
};

// Returns a lower bound of the number of workers that can hold the needs: the
// maximum of the total need of each resource over the capacity of a worker, and
// of the number of needs above half a worker, of which no two fit together.
std::size_t WorkerLowerBound(const std::vector<resource_vector>& needs,
                             const resource_vector& capacity) {
  resource_vector sum;
  std::size_t large = 0;
  for (const resource_vector& need : needs) {
    sum = sum + need;
    large += need.cpu_milli * 2 > capacity.cpu_milli ||
             need.memory_mib * 2 > capacity.memory_mib ||
             need.accelerators * 2 > capacity.accelerators;
  }
  const auto volume = [](std::int64_t all, std::int64_t one) {
    return one > 0 ? (all + one - 1) / one : 0;
  };
  return std::max(
      {static_cast<std::size_t>(volume(sum.cpu_milli, capacity.cpu_milli)),
       static_cast<std::size_t>(volume(sum.memory_mib, capacity.memory_mib)),
       static_cast<std::size_t>(
           volume(sum.accelerators, capacity.accelerators)),
       large});
}

// Places tasks in arrival order until the lower bound reaches 80% of each pool.
// Returns the ratio of used workers to the lower bound. Both keep tasks without
// accelerators off workers with accelerators.
double MeasurePackingOverBound(const json& input, const std::string& policy) {
  constexpr int kRounds = 40;
  constexpr double kFillFraction = 0.8;
  std::size_t opened = 0;
  std::size_t bound = 0;
  for (int round = 0; round < kRounds; ++round) {
    random_source random{static_cast<std::uint64_t>(round) + 100};
    const auto cell = cell_state::Create();
    const auto workers = AddWorkers(input.at("pools"), *cell);
    std::size_t next = 0;
    for (const json& pool : input.at("pools")) {
      const resource_vector capacity = ReadResources(pool);
      const auto limit = static_cast<std::size_t>(
          kFillFraction * pool.at("workers").get<double>());
      std::vector<resource_vector> needs;
      while (true) {
        needs.push_back(ReadResources(
            pool.at("sizes")[PickWeighted(pool.at("sizes"), random)]));
        if (WorkerLowerBound(needs, capacity) > limit) break;
        const std::string id = std::to_string(next++);
        placement_request request;
        request.task_id = id;
        request.workload = "w";
        request.policy = policy;
        request.need = needs.back();
        const auto decision = cell->Decide(request, random);
        if (!Attempt(
                [&] { return cell->Allocate(decision.worker, request); })) {
          break;
        }
      }
      needs.pop_back();
      bound += WorkerLowerBound(needs, capacity);
    }
    for (const worker_index worker : workers) {
      opened += cell->FreeCapacity(worker) != cell->Shape(worker).capacity;
    }
  }
  return static_cast<double>(opened) / static_cast<double>(bound);
}

}  // namespace

double RunDeploymentBench(const json& input, const figure_printer& out) {
  const std::string name = input.at("name");
  double urgent_p99 = 0;
  double best = 1e300;
  for (const std::string& policy : PolicyNames()) {
    const std::string suffix = "." + name + "." + policy;
    // Combines the samples of all seeds, because a single run has too few large
    // tasks for a p99.9.
    const auto run = [&](const char* load, std::uint64_t urgent_percent) {
      loop_result all;
      const auto runs = input.at("runs").get<std::uint64_t>();
      for (std::uint64_t i = 0; i < runs; ++i) {
        const auto seed = input.at("seed").get<std::uint64_t>() + i;
        const auto one = event_loop(input, policy,
                                    GenerateTasks(input, input.at(load),
                                                  urgent_percent, seed))
                             .Run();
        all.waits.insert(all.waits.end(), one.waits.begin(), one.waits.end());
        all.urgent_waits.insert(all.urgent_waits.end(),
                                one.urgent_waits.begin(),
                                one.urgent_waits.end());
        all.used_over_opened +=
            one.used_over_opened / static_cast<double>(runs);
      }
      return all;
    };
    const auto mean = [](const std::vector<double>& samples) {
      double sum = 0;
      for (const double each : samples) sum += each;
      return sum / static_cast<double>(samples.size());
    };
    auto result = run("load", 0);
    out.PrintFigure("waiting_p50_s" + suffix, Quantile(result.waits, 0.5), "s");
    out.PrintFigure("waiting_p99_s" + suffix, Quantile(result.waits, 0.99),
                    "s");
    out.PrintFigure("waiting_p999_s" + suffix, Quantile(result.waits, 0.999),
                    "s");
    auto heavy = run("heavy_load", 0);
    out.PrintFigure("waiting_mean_s" + suffix, mean(result.waits), "s");
    out.PrintFigure("heavy_waiting_mean_s" + suffix, mean(heavy.waits), "s");
    out.PrintFigure("heavy_waiting_p50_s" + suffix, Quantile(heavy.waits, 0.5),
                    "s");
    out.PrintFigure("heavy_waiting_p99_s" + suffix, Quantile(heavy.waits, 0.99),
                    "s");
    out.PrintFigure("heavy_waiting_p999_s" + suffix,
                    Quantile(heavy.waits, 0.999), "s");
    out.PrintFigure("packing_used_over_opened" + suffix,
                    result.used_over_opened, "ratio");
    const double over_bound = MeasurePackingOverBound(input, policy);
    out.PrintFigure("packing_over_bound" + suffix, over_bound, "ratio");
    if (policy == "packing-first") best = over_bound;
    auto full = run("full_load", 5);
    const double urgent = Quantile(full.urgent_waits, 0.99);
    out.PrintFigure("urgent_start_p99_s" + suffix, urgent, "s");
    if (policy == "packing-first" || policy == "waiting-first") {
      urgent_p99 = std::max(urgent_p99, urgent);
    }
  }
  out.PrintFigure("packing_over_bound." + name, best, "ratio");
  return urgent_p99;
}

}  // namespace apricotwheel::bench
