#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/resources.h"

namespace apricotwheel {

enum class task_kind { kService, kBatch, kGang };

// What a worker needs to run a task, and what a new owner needs to know about
// it. The worker returns it unchanged in its task list.
struct task_spec {
  std::string task_id;  // `<job id>/<index>` or `service/<name>/<index>`
  std::string job_id;   // Empty for a service.
  std::string workload;
  std::string team;
  task_kind kind = task_kind::kBatch;
  priority_class priority = priority_class::kBatch;
  std::uint32_t shard = 0;        // Shard of the team.
  std::uint64_t shard_epoch = 0;  // Epoch of the shard at the start.
  resource_vector resources;
  std::int64_t run_ms = 0;  // Run time for a batch or gang task.
  std::uint32_t slots = 0;  // For a service: concurrent requests.
  std::uint32_t connections = 0;
  std::string checkpoint;  // Opaque state to resume from, or empty.
};

enum class task_state { kRunning, kFinished, kFailed, kCheckpointed, kStopped };

struct task_status {
  task_spec spec;
  task_state state = task_state::kRunning;
  resource_vector used;     // As last reported; lags by seconds.
  std::string address;      // ip:port of a service instance.
  std::string checkpoint;   // State when `checkpointed`.
  std::string message;      // Why it failed.
  std::int64_t age_ms = 0;  // Time since the start.
  std::int64_t ran_ms = 0;  // Run time so far, in all attempts.
};

struct worker_snapshot {
  std::int64_t worker_clock_ms = 0;  // The worker's own monotonic clock.
  // Age of the last renewal by an earlier epoch, or absent if it released the
  // worker or none ever was.
  std::optional<std::int64_t> previous_renewal_age_ms;
  std::uint64_t highest_epoch = 0;
  resource_vector capacity;
  std::vector<task_status> tasks;
  // Of the task list: it rises with each change of a task. `worker_client`
  // uses the three fields to ask only for changes; what it returns is whole.
  std::uint64_t version = 0;
  bool partial = false;        // Only tasks that changed since a version.
  std::size_t task_count = 0;  // Of the whole list.
};

enum class stop_mode { kKill, kCheckpoint };

struct worker_client_options {
  std::string address;  // ip:port
  duration call_timeout = milliseconds(1000);
};

// HTTP client of one worker agent, safe for many threads. Every call carries
// the epoch of the worker's partition and fails with `stale_epoch` if the
// worker has seen a higher one. The protocol is in docs/contracts/worker.md.
class worker_client {
 public:
  static result<std::unique_ptr<worker_client>> Create(
      worker_client_options options);
  ~worker_client();

  // Makes `epoch` the highest seen and returns what runs here.
  result<worker_snapshot> Claim(std::uint64_t epoch, std::string_view owner);

  // Extends all task leases to `expires_at_ms` on the worker's clock and
  // drops the finished tasks named in `acknowledged` from its list. The worker
  // sends only the tasks that changed since the last answer.
  result<worker_snapshot> Renew(std::uint64_t epoch, std::int64_t expires_at_ms,
                                std::span<const std::string> acknowledged);

  // Starts a task whose lease ends at `expires_at_ms` on the worker's clock.
  // Repeating a start of a task that runs here succeeds and starts nothing.
  // Fails with `capacity` if the declared resources do not fit.
  result<task_status> Start(std::uint64_t epoch, const task_spec& spec,
                            std::int64_t expires_at_ms);

  result<void> Stop(std::uint64_t epoch, std::string_view task_id,
                    stop_mode mode);

  // Limits the task's processor use to `cpu_milli`.
  result<void> Throttle(std::uint64_t epoch, std::string_view task_id,
                        std::int64_t cpu_milli);

  // Ends this owner's authority over the worker at once; tasks run on until
  // their leases lapse.
  result<void> Release(std::uint64_t epoch);

 private:
  struct state;
  explicit worker_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel
