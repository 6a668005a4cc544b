#include "testing/worker_agent.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "clients/wire_format.h"
#include "kernel/random.h"
#include "testing/instance_standin.h"
#include "testing/json_route.h"

namespace apricotwheel::standins {

namespace {

using nlohmann::json;

// The clocks of agents differ by up to this offset, so that tests detect code
// that compares clocks of two workers or of a worker and a daemon.
constexpr std::int64_t kMaxClockOffsetMs = 1000000;
constexpr std::size_t kMaxConnections = 64;

struct hosted_task {
  task_status status;
  std::int64_t started_ms = 0;
  std::int64_t lease_expires_ms = 0;
  std::int64_t progress_updated_ms = 0;
  std::int64_t cpu_limit = 0;         // In thousandths of a core; 0: no limit.
  std::uint64_t changed_version = 0;  // List version of the last change.
  std::unique_ptr<instance_standin> instance;
};

resource_vector Scale(const resource_vector& amounts, std::int64_t percent) {
  return {amounts.cpu_milli * percent / 100, amounts.memory_mib * percent / 100,
          amounts.accelerators};
}

}  // namespace

struct worker_agent::state {
  worker_agent_options options;
  mutable std::mutex mutex;
  std::condition_variable state_changed;
  worker_faults faults;
  bool stopping = false;
  std::shared_ptr<std::atomic<std::uint64_t>> epoch =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  std::string owner;
  std::uint64_t released_epoch = 0;
  std::optional<std::int64_t> renewed_ms;           // For the current epoch.
  std::optional<std::int64_t> previous_renewed_ms;  // For an earlier epoch.
  std::map<std::string, hosted_task> tasks;
  // Starts at random, so that callers notice when the agent restarts.
  std::uint64_t list_version = SystemRandom().state >> 16;
  std::vector<std::unique_ptr<instance_standin>> ended_instances;
  std::int64_t usage_sampled_ms = 0;
  std::uint64_t capacity_breaches = 0;
  std::uint64_t use_breaches = 0;
  std::uint64_t late_starts = 0;
  std::uint64_t stale_refused = 0;
  std::map<std::string, std::uint64_t> calls;
  std::unique_ptr<http_listener> listener;

  using lock = std::unique_lock<std::mutex>;

  std::int64_t ClockMs() const {
    const auto offset = static_cast<std::int64_t>(
        std::hash<std::string>()(options.vm.id) % kMaxClockOffsetMs);
    return offset + std::chrono::duration_cast<milliseconds>(
                        options.clock->Now().time_since_epoch())
                        .count();
  }

  void LogTaskEvent(const char* event, const task_status& task) const {
    options.event_journal->Append({{"event", event},
                                   {"worker", options.vm.id},
                                   {"task", task.spec.task_id},
                                   {"job", task.spec.job_id},
                                   {"workload", task.spec.workload},
                                   {"team", task.spec.team},
                                   {"resources", ToJson(task.spec.resources)},
                                   {"epoch", epoch->load()},
                                   {"message", task.message}});
  }

  void EndTask(hosted_task& task, task_state end_state,
               const std::string& message) {
    task.status.state = end_state;
    task.status.message = message;
    task.status.used = {};
    task.changed_version = ++list_version;
    if (task.instance) {
      task.instance->Kill();
      ended_instances.push_back(std::move(task.instance));
    }
    LogTaskEvent(
        end_state == task_state::kFinished ? "task_finished" : "task_ended",
        task.status);
  }

  resource_vector ActualUse(const hosted_task& task) const {
    auto use = Scale(task.status.spec.resources, faults.actual_percent);
    if (task.cpu_limit > 0)
      use.cpu_milli = std::min(use.cpu_milli, task.cpu_limit);
    return use;
  }

  // Updates run times and ends tasks that are due. Each call does this first,
  // so that a delayed call cannot extend a lease that has expired.
  void UpdateTasks() {
    const auto now = ClockMs();
    const bool sample =
        now - usage_sampled_ms >=
        std::chrono::duration_cast<milliseconds>(options.usage_lag).count();
    if (sample) usage_sampled_ms = now;
    for (auto& [id, task] : tasks) {
      auto& status = task.status;
      if (status.state != task_state::kRunning) continue;
      // A task makes no progress after its lease expires.
      const auto progress_end = std::min(now, task.lease_expires_ms);
      auto elapsed =
          std::max<std::int64_t>(progress_end - task.progress_updated_ms, 0);
      task.progress_updated_ms = now;
      const auto declared = status.spec.resources.cpu_milli;
      if (task.cpu_limit > 0 && task.cpu_limit < declared) {
        elapsed = elapsed * task.cpu_limit / declared;
      }
      status.ran_ms += elapsed;
      if (sample) {
        const auto used = Scale(ActualUse(task), faults.report_percent);
        if (used != status.used) task.changed_version = ++list_version;
        status.used = used;
      }
      if (faults.fail_tasks) {
        EndTask(task, task_state::kFailed, "the worker fails every task");
      } else if (status.spec.kind != task_kind::kService &&
                 status.ran_ms >= status.spec.run_ms) {
        EndTask(task, task_state::kFinished, "");
      } else if (now >= task.lease_expires_ms) {
        EndTask(task, task_state::kStopped, "the task lease expired");
      }
    }
  }

  // Returns false if the epoch of the call is stale or released. Records a
  // higher epoch as the current one, which clears the owner.
  bool AdmitEpoch(const json& call) {
    const auto call_epoch = call.at("epoch").get<std::uint64_t>();
    const auto highest = epoch->load();
    if (options.ignore_epochs) {
      if (call_epoch > highest) epoch->store(call_epoch);
      return true;
    }
    if (call_epoch < highest || call_epoch <= released_epoch) {
      ++stale_refused;
      return false;
    }
    if (call_epoch > highest) {
      epoch->store(call_epoch);
      owner.clear();
      if (renewed_ms) previous_renewed_ms = renewed_ms;
      renewed_ms.reset();
    }
    return true;
  }

  // Returns all tasks, or those that changed after version `after`.
  worker_snapshot MakeSnapshot(std::optional<std::uint64_t> after = {}) const {
    worker_snapshot snapshot;
    snapshot.version = list_version;
    snapshot.partial = after && *after <= list_version;
    snapshot.task_count = tasks.size();
    snapshot.worker_clock_ms = ClockMs();
    snapshot.highest_epoch = epoch->load();
    snapshot.capacity = options.vm.capacity;
    if (previous_renewed_ms) {
      snapshot.previous_renewal_age_ms =
          snapshot.worker_clock_ms - *previous_renewed_ms;
    }
    for (const auto& [id, task] : tasks) {
      if (snapshot.partial && task.changed_version <= *after) continue;
      snapshot.tasks.push_back(task.status);
      snapshot.tasks.back().age_ms = snapshot.worker_clock_ms - task.started_ms;
    }
    return snapshot;
  }

  json_response Claim(const json& call) {
    const auto claimant = call.at("owner").get<std::string>();
    // Only one owner can hold an epoch; the second claimant is rejected.
    if (!options.ignore_epochs && !owner.empty() && owner != claimant &&
        call.at("epoch").get<std::uint64_t>() == epoch->load()) {
      return {409};
    }
    owner = claimant;
    return {200, ToJson(MakeSnapshot())};
  }

  json_response Renew(const json& call) {
    const auto expires = call.at("expires_at_ms").get<std::int64_t>();
    renewed_ms = ClockMs();
    for (auto& [id, task] : tasks) {
      task.lease_expires_ms = std::max(task.lease_expires_ms, expires);
    }
    for (const auto& id : call.at("acknowledged")) {
      const auto it = tasks.find(id.get<std::string>());
      if (it != tasks.end() &&
          it->second.status.state != task_state::kRunning) {
        tasks.erase(it);
      }
    }
    std::optional<std::uint64_t> after;
    if (call.contains("after")) after = call["after"].get<std::uint64_t>();
    return {200, ToJson(MakeSnapshot(after))};
  }

  // Counts and logs a start that exceeds the capacity by its declared resources
  // or by the actual use. Returns whether the declared resources fit.
  bool CheckCapacity(const task_spec& spec) {
    resource_vector declared = spec.resources;
    resource_vector actual = Scale(spec.resources, faults.actual_percent);
    for (const auto& [id, task] : tasks) {
      if (task.status.state != task_state::kRunning) continue;
      declared = declared + task.status.spec.resources;
      actual = actual + ActualUse(task);
    }
    const bool fits = Fits(declared, options.vm.capacity);
    const bool use_fits = Fits(actual, options.vm.capacity);
    if (!fits) ++capacity_breaches;
    if (!use_fits) ++use_breaches;
    if (!fits || !use_fits) {
      options.event_journal->Append(
          {{"event", fits ? "use_breach" : "capacity_breach"},
           {"worker", options.vm.id},
           {"task", spec.task_id},
           {"declared", ToJson(declared)},
           {"actual", ToJson(actual)},
           {"capacity", ToJson(options.vm.capacity)}});
    }
    return fits;
  }

  json_response StartTask(const json& call) {
    const auto spec = TaskSpecFromJson(call.at("spec"));
    const auto expires = call.at("expires_at_ms").get<std::int64_t>();
    const auto found = tasks.find(spec.task_id);
    if (found != tasks.end()) return {200, ToJson(found->second.status)};
    const auto now = ClockMs();
    if (expires <= now) {
      ++late_starts;
      return {410};
    }
    if (!CheckCapacity(spec) && options.refuse_over_capacity) return {507};

    hosted_task task;
    task.status.spec = spec;
    task.started_ms = task.progress_updated_ms = now;
    task.lease_expires_ms = expires;
    const auto& checkpoint = spec.checkpoint;
    std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(),
                    task.status.ran_ms);
    if (spec.kind == task_kind::kService) {
      instance_standin_options instance;
      instance.listen =
          options.vm.address.substr(0, options.vm.address.rfind(':')) + ":0";
      instance.worker_id = options.vm.id;
      instance.task_id = spec.task_id;
      instance.slots = spec.slots;
      instance.connections = spec.connections;
      instance.epoch = epoch;
      instance.ignore_epochs = options.ignore_epochs;
      instance.event_journal = options.event_journal;
      instance.clock = options.clock;
      auto started = Attempt([&] { return instance_standin::Start(instance); });
      if (!started) return {500, {{"error", started.failure.message}}};
      task.instance = std::move(*started);
      task.status.address = task.instance->Address();
    }
    task.changed_version = ++list_version;
    LogTaskEvent("task_started", task.status);
    const auto response = ToJson(task.status);
    tasks[spec.task_id] = std::move(task);
    return {200, response};
  }

  json_response StopTask(const json& call) {
    const auto it = tasks.find(call.at("task_id").get<std::string>());
    const bool checkpoint = call.at("mode").get<std::string>() == "checkpoint";
    if (it == tasks.end()) return {404};
    auto& task = it->second;
    if (task.status.state != task_state::kRunning) return {};
    if (checkpoint && task.status.spec.kind != task_kind::kService) {
      task.status.checkpoint = std::to_string(task.status.ran_ms);
      EndTask(task, task_state::kCheckpointed, "");
    } else {
      EndTask(task, task_state::kStopped, "stopped by the owner");
    }
    return {};
  }

  json_response Throttle(const json& call) {
    const auto it = tasks.find(call.at("task_id").get<std::string>());
    const auto limit = call.at("cpu_milli").get<std::int64_t>();
    if (limit < 1) return {400};
    if (it == tasks.end() || it->second.status.state != task_state::kRunning) {
      return {404};
    }
    it->second.cpu_limit = limit;
    return {};
  }

  json_response Release(const json& call) {
    released_epoch = call.at("epoch").get<std::uint64_t>();
    renewed_ms.reset();
    return {};
  }

  void AddCallRoute(const char* kind,
                    json_response (state::*apply)(const json&)) {
    RouteJson(listener->Server(), std::string("/v1/") + kind,
              [this, kind, apply](const json& call) {
                lock held(mutex);
                ++calls[kind];
                options.clock->WaitUntil(
                    held, state_changed, time_point::max(),
                    [&] { return stopping || !faults.frozen || faults.dead; });
                if (stopping || faults.dead) {
                  DropConnection();
                  return json_response{503};
                }
                UpdateTasks();
                if (!AdmitEpoch(call)) {
                  return json_response{409, {{"highest_epoch", epoch->load()}}};
                }
                auto response = (this->*apply)(call);
                if (faults.delay_ms > 0) {
                  options.clock->WaitFor(held, state_changed,
                                         milliseconds(faults.delay_ms),
                                         [&] { return stopping; });
                }
                if (faults.lose_replies > 0) {
                  --faults.lose_replies;
                  DropConnection();
                }
                return response;
              });
  }

  void ReplaceFaults(const worker_faults& next) {
    const std::lock_guard held(mutex);
    UpdateTasks();
    faults = next;
    if (faults.dead) {
      for (auto& [id, task] : tasks) {
        if (task.status.state == task_state::kRunning) {
          EndTask(task, task_state::kStopped, "the VM failed");
        }
      }
      tasks.clear();
    }
    state_changed.notify_all();
  }

  void AddRoutes() {
    AddCallRoute("claim", &state::Claim);
    AddCallRoute("renew", &state::Renew);
    AddCallRoute("start", &state::StartTask);
    AddCallRoute("stop", &state::StopTask);
    AddCallRoute("throttle", &state::Throttle);
    AddCallRoute("release", &state::Release);
    auto& server = listener->Server();
    RouteJson(server, "/admin/faults", [this](const json& call) {
      const auto number = [&call](const char* name, std::int64_t otherwise) {
        return call.value(name, otherwise);
      };
      ReplaceFaults({call.value("fail_tasks", false),
                     call.value("frozen", false), call.value("dead", false),
                     number("report_percent", 100),
                     number("actual_percent", 100), number("delay_ms", 0),
                     number("lose_replies", 0)});
      return json_response{};
    });
    server.Get("/admin/stats", [this](const httplib::Request&,
                                      httplib::Response& response) {
      const std::lock_guard held(mutex);
      UpdateTasks();
      WriteJsonResponse(response, {200,
                                   {{"worker", options.vm.id},
                                    {"calls", calls},
                                    {"owner", owner},
                                    {"capacity_breaches", capacity_breaches},
                                    {"use_breaches", use_breaches},
                                    {"late_starts", late_starts},
                                    {"stale_refused", stale_refused},
                                    {"snapshot", ToJson(MakeSnapshot())}}});
    });
  }
};

worker_agent::worker_agent(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

worker_agent::~worker_agent() {
  {
    const std::lock_guard held(state_->mutex);
    state_->stopping = true;
    state_->state_changed.notify_all();
  }
  state_->listener->Stop();
}

result<std::unique_ptr<worker_agent>> worker_agent::Start(
    worker_agent_options options) {
  auto initial = std::make_unique<state>();
  initial->options = std::move(options);
  http_listener_options listen;
  listen.address = initial->options.vm.address;
  listen.max_connections = kMaxConnections;
  BOOST_LEAF_ASSIGN(initial->listener, http_listener::Bind(listen));
  initial->AddRoutes();
  BOOST_LEAF_CHECK(initial->listener->Start());
  return std::unique_ptr<worker_agent>(new worker_agent(std::move(initial)));
}

const std::string& worker_agent::Address() const {
  return state_->listener->Address();
}

void worker_agent::SetFaults(const worker_faults& faults) {
  state_->ReplaceFaults(faults);
}

void worker_agent::AdvanceTasks() {
  std::vector<std::unique_ptr<instance_standin>> ended;
  {
    const std::lock_guard held(state_->mutex);
    state_->UpdateTasks();
    ended.swap(state_->ended_instances);
  }
  // The destructors of the instances join threads, so they run without the
  // lock.
}

std::uint64_t worker_agent::CapacityBreachCount() const {
  const std::lock_guard held(state_->mutex);
  return state_->capacity_breaches;
}

}  // namespace apricotwheel::standins
