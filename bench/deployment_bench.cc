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
  double run = 0;
  resource_vector need;
  priority_class priority = priority_class::kBatch;
};

struct loop_result {
  std::vector<double> waits;
  std::vector<double> urgent_waits;
  double used_over_opened = 0;
};

time_point At(double seconds) {
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

// Arrivals of all pools; `load` is the offered part of the scarcest resource.
std::vector<generated_task> Generate(const json& input, double load,
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
      const double part =
          size.at("weight").get<double>() * size.at("mean_s").get<double>();
      weight += size.at("weight").get<double>();
      cpu += part * static_cast<double>(need.cpu_milli);
      memory += part * static_cast<double>(need.memory_mib);
      accelerators += part * static_cast<double>(need.accelerators);
    }
    const resource_vector whole = ReadResources(pool);
    const double workers = pool.at("workers");
    double rate = workers * static_cast<double>(whole.cpu_milli) / cpu;
    rate = std::min(rate,
                    workers * static_cast<double>(whole.memory_mib) / memory);
    if (accelerators > 0) {
      rate = std::min(rate, workers * static_cast<double>(whole.accelerators) /
                                accelerators);
    }
    rate *= load * weight;
    // Pools arrive over the same span.
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

// Feeds queue and cell with the tasks' arrivals and ends. Not a simulator of
// the cluster: starts take no time, apart from the checkpoint of victims.
class event_loop {
 public:
  event_loop(const json& input, std::string policy,
             std::vector<generated_task> tasks)
      : policy_(std::move(policy)),
        checkpoint_(input.at("checkpoint_ms").get<double>() / 1000),
        tasks_(std::move(tasks)),
        generation_(tasks_.size(), 0),
        started_(tasks_.size(), -1),
        host_(tasks_.size(), kNoWorker) {
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
      if (!events_.empty()) at = std::min(at, events_.top().at);
      at = std::min(at, NextWake(now));
      if (at >= 1e300) break;
      if (now < last) Observe(std::min(at, last) - now);
      now = at;
      while (next < tasks_.size() && tasks_[next].arrival <= now) {
        Submit(next, tasks_[next].arrival);
        ++next;
      }
      while (!events_.empty() && events_.top().at <= now) {
        const event done = events_.top();
        events_.pop();
        if (generation_[done.task] == done.generation) End(done.task, now);
      }
      ReserveForOldest(now);
      Schedule(now);
    }
    result_.used_over_opened = opened_sum_ > 0 ? used_sum_ / opened_sum_ : 0;
    return std::move(result_);
  }

 private:
  struct event {
    double at;
    std::size_t task;
    int generation;
    bool operator>(const event& other) const { return at > other.at; }
  };

  queue_entry EntryOf(std::size_t task, double since) const {
    return {std::to_string(task),
            "t" + std::to_string(task % 4),
            tasks_[task].priority,
            tasks_[task].need,
            1,
            "",
            At(since)};
  }
  void Submit(std::size_t task, double since) {
    Enqueue(queue_, EntryOf(task, since));
  }

  double NextWake(double now) const {
    double wake = 1e300;
    for (const auto& [key, lane] : queue_.lanes) {
      if (lane.entries.empty() || lane.not_before <= At(now)) continue;
      wake = std::min(wake, std::chrono::duration<double>(
                                lane.not_before.time_since_epoch())
                                    .count() +
                                1e-6);
    }
    return wake;
  }

  void Release(std::size_t task) {
    const worker_index worker = host_[task];
    cell_->ReleaseTask(std::to_string(task));
    used_ -= static_cast<double>(tasks_[task].need.cpu_milli);
    if (--on_worker_[worker] == 0) {
      opened_ -= static_cast<double>(cell_->Shape(worker).capacity.cpu_milli);
    }
    host_[task] = kNoWorker;
  }

  void End(std::size_t task, double now) {
    const worker_index worker = host_[task];
    Release(task);
    EndBackoff(queue_, cell_->FreeCapacity(worker), At(now));
    const queue_entry entry = EntryOf(task, 0);
    Refund(queue_, entry.team, TotalNeed(entry));
  }

  void Stop(std::size_t victim, double now) {
    End(victim, now);
    ++generation_[victim];
    // The checkpoint keeps the progress.
    tasks_[victim].run =
        std::max(tasks_[victim].run - (now - started_[victim]), 0.0);
    Submit(victim, now);
  }

  void Start(std::size_t task, const placement_request& request,
             worker_index worker, double now, double delay) {
    if (!Attempt([&] { return cell_->Allocate(worker, request); }))
      std::abort();
    used_ += static_cast<double>(request.need.cpu_milli);
    if (on_worker_[worker]++ == 0) {
      opened_ += static_cast<double>(cell_->Shape(worker).capacity.cpu_milli);
    }
    host_[task] = worker;
    // The first fifth fills the empty cell and is not measured.
    if (started_[task] < 0 && task > tasks_.size() / 5) {
      const double wait = now + delay - tasks_[task].arrival;
      result_.waits.push_back(wait);
      if (request.priority == priority_class::kUrgent) {
        result_.urgent_waits.push_back(wait);
      }
    }
    started_[task] = now + delay;
    events_.push({now + delay + tasks_[task].run, task, generation_[task]});
  }

  void Schedule(double now) {
    while (const auto entry = TakeNext(queue_, At(now))) {
      const std::size_t task = std::stoul(entry->id);
      placement_request request;
      request.task_id = entry->id;
      request.workload = "w";
      request.team = entry->team;
      request.priority = entry->priority;
      request.need = entry->need;
      request.policy = policy_;
      request.excluded_workers = ReservedForOthers(queue_, *entry, At(now));
      const auto decision = cell_->Decide(request, random_);
      if (decision.outcome == placement_outcome::kPlaced ||
          decision.outcome == placement_outcome::kPreempt) {
        for (const std::string& victim : decision.victims) {
          Stop(std::stoul(victim), now);
        }
        Start(task, request, decision.worker, now,
              decision.victims.empty() ? 0 : checkpoint_);
        ConfirmStarted(queue_, entry->id);
      } else {
        ReturnUnplaced(queue_, entry->id, At(now), random_);
      }
    }
  }

  // Keeps one worker free for the oldest entry that does not fit.
  void ReserveForOldest(double now) {
    const auto entry = ReservationCandidate(queue_, At(now));
    if (!entry) return;
    Reserve(queue_, entry->id,
            cell_->WorkersToReserve(entry->need, entry->parts), At(now));
  }

  void Observe(double span) {
    used_sum_ += used_ * span;
    opened_sum_ += opened_ * span;
  }

  std::string policy_;
  double checkpoint_;
  std::vector<generated_task> tasks_;
  std::vector<int> generation_;
  std::vector<double> started_;
  std::vector<worker_index> host_;
  std::unique_ptr<cell_state> cell_ = cell_state::Create();
  team_queue queue_;
  random_source random_{5};
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<worker_index, int> on_worker_;
  double used_ = 0;
  double opened_ = 0;
  double used_sum_ = 0;
  double opened_sum_ = 0;
  loop_result result_;
};

// The fewest workers of a pool that can hold the needs: the larger of the
// volume bound of each resource and the bound by the largest items, of which no
// two fit together.
std::size_t LowerBound(const std::vector<resource_vector>& needs,
                       const resource_vector& whole) {
  resource_vector sum;
  std::size_t large = 0;
  for (const resource_vector& need : needs) {
    sum = sum + need;
    large += need.cpu_milli * 2 > whole.cpu_milli ||
             need.memory_mib * 2 > whole.memory_mib ||
             need.accelerators * 2 > whole.accelerators;
  }
  const auto volume = [](std::int64_t all, std::int64_t one) {
    return one > 0 ? (all + one - 1) / one : 0;
  };
  return std::max(
      {static_cast<std::size_t>(volume(sum.cpu_milli, whole.cpu_milli)),
       static_cast<std::size_t>(volume(sum.memory_mib, whole.memory_mib)),
       static_cast<std::size_t>(volume(sum.accelerators, whole.accelerators)),
       large});
}

// Places tasks of the mix in arrival order until 80% of each pool is needed,
// and compares the opened workers with the lower bound. Both keep work without
// accelerators off the workers that have some.
double PackingOverBound(const json& input, const std::string& policy) {
  constexpr int kRounds = 40;
  constexpr double kFill = 0.8;
  std::size_t opened = 0;
  std::size_t bound = 0;
  for (int round = 0; round < kRounds; ++round) {
    random_source random{static_cast<std::uint64_t>(round) + 100};
    const auto cell = cell_state::Create();
    const auto workers = AddWorkers(input.at("pools"), *cell);
    std::size_t next = 0;
    for (const json& pool : input.at("pools")) {
      const resource_vector whole = ReadResources(pool);
      const auto limit =
          static_cast<std::size_t>(kFill * pool.at("workers").get<double>());
      std::vector<resource_vector> needs;
      while (true) {
        needs.push_back(ReadResources(
            pool.at("sizes")[PickWeighted(pool.at("sizes"), random)]));
        if (LowerBound(needs, whole) > limit) break;
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
      bound += LowerBound(needs, whole);
    }
    for (const worker_index worker : workers) {
      opened += cell->FreeCapacity(worker) != cell->Shape(worker).capacity;
    }
  }
  return static_cast<double>(opened) / static_cast<double>(bound);
}

}  // namespace

double RunDeployment(const json& input, const report& out) {
  const std::string name = input.at("name");
  double urgent_p99 = 0;
  double best = 1e300;
  for (const std::string& policy : PolicyNames()) {
    const std::string suffix = "." + name + "." + policy;
    // The samples of all seeds are put together: one run has too few large
    // tasks for its p99.9.
    const auto run = [&](const char* load, std::uint64_t urgent_percent) {
      loop_result all;
      const auto runs = input.at("runs").get<std::uint64_t>();
      for (std::uint64_t i = 0; i < runs; ++i) {
        const auto seed = input.at("seed").get<std::uint64_t>() + i;
        const auto one =
            event_loop(input, policy,
                       Generate(input, input.at(load), urgent_percent, seed))
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
    out.Line("waiting_p50_s" + suffix, Quantile(result.waits, 0.5), "s");
    out.Line("waiting_p99_s" + suffix, Quantile(result.waits, 0.99), "s");
    out.Line("waiting_p999_s" + suffix, Quantile(result.waits, 0.999), "s");
    auto heavy = run("heavy_load", 0);
    out.Line("waiting_mean_s" + suffix, mean(result.waits), "s");
    out.Line("heavy_waiting_mean_s" + suffix, mean(heavy.waits), "s");
    out.Line("heavy_waiting_p50_s" + suffix, Quantile(heavy.waits, 0.5), "s");
    out.Line("heavy_waiting_p99_s" + suffix, Quantile(heavy.waits, 0.99), "s");
    out.Line("heavy_waiting_p999_s" + suffix, Quantile(heavy.waits, 0.999),
             "s");
    out.Line("packing_used_over_opened" + suffix, result.used_over_opened,
             "ratio");
    const double over_bound = PackingOverBound(input, policy);
    out.Line("packing_over_bound" + suffix, over_bound, "ratio");
    if (policy == "packing-first") best = over_bound;
    auto full = run("full_load", 5);
    const double urgent = Quantile(full.urgent_waits, 0.99);
    out.Line("urgent_start_p99_s" + suffix, urgent, "s");
    if (policy == "packing-first" || policy == "waiting-first") {
      urgent_p99 = std::max(urgent_p99, urgent);
    }
  }
  out.Line("packing_over_bound." + name, best, "ratio");
  return urgent_p99;
}

}  // namespace apricotwheel::bench
